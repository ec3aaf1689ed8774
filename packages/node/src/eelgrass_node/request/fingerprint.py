"""What a request is recognised by when its caller sends it again.

A repeat has an attempt id of its own and may reach any node. Its host, target, client
account and body are those of the first attempt.
"""

from hashlib import blake2b

from ..process.crash_detector import Fingerprint
from .incoming_request import RoutedRequest

__all__ = ["fingerprint_of"]

DIGEST_BYTES = 8
# Before each part goes its length, so that no two requests join to the same bytes.
LENGTH_BYTES = 8


def fingerprint_of(routed: RoutedRequest) -> Fingerprint:
    """Return the same text for all attempts at one request of an account."""
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
