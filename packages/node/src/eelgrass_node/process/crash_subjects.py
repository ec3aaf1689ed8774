"""What servers may crash under: requests, and shared parts of their prompts."""

from typing import NewType

import msgspec

from eelgrass_coordination.ids import SoftwareVersion

from .host_entry import ServerIncarnation

__all__ = ["Fingerprint", "PartCrash", "PartKey"]

# Identifies a request; it is the same for all attempts.
Fingerprint = NewType("Fingerprint", str)
# Identifies a shared part of the prompts for one service.
PartKey = NewType("PartKey", str)


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a server while it was running requests with some parts."""

    server: ServerIncarnation
    version: SoftwareVersion
    parts: tuple[PartKey, ...]
