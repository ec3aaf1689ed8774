"""The messages of the membership, and the news that waits to be sent."""

from enum import Enum

import msgspec

from .ids import Revision
from .members import Member

__all__ = ["Exchange", "GossipItem", "Message", "MessageKind", "BroadcastQueue"]


class MessageKind(Enum):
    """What a message asks for."""

    PROBE = "probe"
    ACK = "ack"
    PROBE_FOR = "probe_for"
    NEWS = "news"
    COMPARE = "compare"
    COMPARE_BACK = "compare_back"
    RECORDS = "records"


class GossipItem(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A named fact with a number that only grows, such as a leaving back end."""

    kind: str
    name: str
    number: int


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """One datagram. ``confirmed_ms`` is the age of the revision's confirmation.

    ``digest`` stands for all records that the sender knows, 0 where it does not
    tell; ``fingerprints`` lists them one by one.
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
    """All that a node knows of members and marks, for a full exchange."""

    members: tuple[Member, ...]
    marks: tuple[GossipItem, ...] = ()


class BroadcastQueue:
    """News with the number of times each is still to be sent."""

    def __init__(self) -> None:
        self._left: dict[object, int] = {}
        self._news: dict[object, object] = {}

    def put(self, key: object, news: object, times: int) -> None:
        """Send ``news`` that many times, instead of older news of its key."""
        self._news[key] = news
        self._left[key] = times

    def take(self, most: int) -> tuple:
        """Return the news that was sent least, ``most`` pieces of it."""
        keys = sorted(self._left, key=self._left.__getitem__, reverse=True)[:most]
        taken = tuple(self._news[key] for key in keys)
        for key in keys:
            self._left[key] -= 1
            if self._left[key] <= 0:
                del self._left[key]
                del self._news[key]
        return taken
