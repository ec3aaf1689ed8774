"""Identifies a request across the attempts of its caller.

A retry has its own attempt id and may reach any node, but it has the host, target,
client account and body of the first attempt.
"""

from hashlib import blake2b

from ..process.crash_detector import Fingerprint
from .incoming_request import RoutedRequest

__all__ = ["fingerprint_of"]

DIGEST_BYTES = 8
# Each part is prefixed with its length, so that the joined parts of two different
# requests are never the same bytes.
LENGTH_BYTES = 8


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
