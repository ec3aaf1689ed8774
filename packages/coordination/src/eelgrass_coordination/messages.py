"""The messages of the membership protocol, and the queue of updates to send."""

from enum import Enum

import msgspec

from .ids import Revision
from .members import Member

__all__ = ["BroadcastQueue", "Exchange", "GossipItem", "Message", "MessageKind"]


class MessageKind(Enum):
    """The type of a message."""

    PROBE = "probe"
    ACK = "ack"
    PROBE_FOR = "probe_for"
    GOSSIP = "news"
    COMPARE = "compare"
    COMPARE_BACK = "compare_back"
    RECORDS = "records"


class GossipItem(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A named fact with a version number that only grows.

    For example, a backend server that is leaving.
    """

    kind: str
    name: str
    number: int


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """One datagram. ``confirmed_ms`` is the age of the revision's confirmation.

    ``digest`` summarizes all records that the sender has, and is 0 if the sender does
    not provide it; ``fingerprints`` lists the records one by one.
    """

    kind: MessageKind
    sender: Member
    number: int = 0
    target: Member | None = None
    revision: Revision = Revision(0)
    confirmed_ms: int = 0
    updates: tuple[Member, ...] = ()
    marks: tuple[GossipItem, ...] = ()
    digest: int = 0
    fingerprints: bytes = b""


class Exchange(msgspec.Struct, frozen=True):
    """All member records and gossip items of a node, for a full exchange."""

    members: tuple[Member, ...]
    marks: tuple[GossipItem, ...] = ()


class BroadcastQueue:
    """Updates to send, each a limited number of times."""

    def __init__(self) -> None:
        self._sends: dict[object, int] = {}
        self._payload_by_key: dict[object, object] = {}

    def put(self, key: object, payload: object, times: int) -> None:
        """Send ``payload`` ``times`` times; it replaces an older payload of its key."""
        self._payload_by_key[key] = payload
        self._sends[key] = times

    def take(self, most: int) -> tuple:
        """Return up to ``most`` payloads, those with the most sends left first."""
        keys = sorted(self._sends, key=self._sends.__getitem__, reverse=True)[:most]
        batch = tuple(self._payload_by_key[key] for key in keys)
        for key in keys:
            self._sends[key] -= 1
            if self._sends[key] <= 0:
                del self._sends[key]
                del self._payload_by_key[key]
        return batch
