"""Identifies a request across the attempts of its caller, and what it shares.

A retry has its own attempt id and may reach any node, but it has the host, target,
client account and body of the first attempt. Different requests may share parts of
their prompts.
"""

from hashlib import blake2b

from ..process.crash_subjects import Fingerprint, PartKey
from ..version.deployment import ServiceName
from .incoming_request import RoutedRequest

__all__ = ["fingerprint_of", "part_keys_of"]

DIGEST_BYTES = 8
# Each part is prefixed with its length, so that the joined parts of two different
# requests are never the same bytes.
LENGTH_BYTES = 8
# Shared parts that are examined; the header of a request bounds their number, too.
MAX_PARTS = 256


def fingerprint_of(routed: RoutedRequest) -> Fingerprint:
    """Return a digest that is the same for all attempts at one request."""
    incoming = routed.incoming
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (
        incoming.host.encode(),
        incoming.target.encode(),
        (routed.account_name or "").encode(),
        incoming.body,
    ):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def part_keys_of(routed: RoutedRequest) -> frozenset[PartKey]:
    """Return the keys of the shared parts of a prompt, for the request's service.

    Ids of parts may be long, so the keys are digests of them.
    """
    shared = routed.incoming.prompt.shared_parts()[:MAX_PARTS]
    return frozenset(_part_key(routed.service, part) for part in shared)


def _part_key(service: ServiceName, part: str) -> PartKey:
    text = f"{service}/{part}".encode()
    return PartKey(blake2b(text, digest_size=DIGEST_BYTES).hexdigest())
