"""Two nodes compare which records of members they know, and send what differs.

The pattern it answers: nearly two hundred nodes start at once. News that is passed on
a limited number of times misses some of them, and what a node has missed nobody tells
it again. Nodes then disagree for many seconds on who holds a queue or reads a table for
their data centre.

Every message carries a digest of what its sender knows. Where the digests of two
nodes differ, one sends the other the fingerprints of its records, four bytes each, and
each sends the records that the other lacks. In a group that agrees nothing is sent.
"""

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Protocol

from .ids import NodeId
from .members import Member
from .messages import Message, MessageKind

__all__ = ["AntiEntropy", "Fingerprints"]

# Bytes of one fingerprint: two of 400 records are taken for one another once in
# 50,000 comparisons, and the next change of either sets it right.
SIZE = 4
# Records in one datagram: some 110 bytes each, which fits into one packet.
MAX_RECORDS = 8


class Send(Protocol):
    """Sends a message with fingerprints or records."""

    def __call__(
        self,
        address: str,
        kind: MessageKind,
        *,
        fingerprints: bytes = b"",
        records: tuple[Member, ...] = (),
    ) -> None:
        """Send it to an address."""


class Fingerprints:
    """Fingerprints of records; each is worked out once."""

    def __init__(self) -> None:
        self._known_by_id: dict[NodeId, tuple[Member, int]] = {}

    def of(self, member: Member) -> int:
        """Return a number that differs where a record does, but for a rare chance."""
        known = self._known_by_id.get(member.id)
        if known is not None and known[0] is member:
            return known[1]
        parts = (member.id, member.epoch, member.version, member.state.value)
        data = "/".join(map(str, parts)).encode()
        number = int.from_bytes(blake2b(data, digest_size=SIZE).digest())
        self._known_by_id[member.id] = (member, number)
        return number

    def digest(self, members: Iterable[Member]) -> int:
        """Return one number for all records, in whatever order."""
        together = 0
        for member in members:
            together ^= self.of(member)
        return together

    def pack(self, members: Iterable[Member]) -> bytes:
        """Return the fingerprints of all records as bytes."""
        numbers = (self.of(member) for member in members)
        return b"".join(number.to_bytes(SIZE) for number in numbers)

    @staticmethod
    def unpack(data: bytes) -> set[int]:
        """Return the fingerprints in ``data``; one that is cut off is left out."""
        starts = range(0, len(data) - SIZE + 1, SIZE)
        return {int.from_bytes(data[start : start + SIZE]) for start in starts}


class AntiEntropy:
    """Compares this node's records with those of others.

    ``live`` returns the records of all live members, this node's own among them, and
    ``send`` sends a message.
    """

    def __init__(self, live: Callable[[], Sequence[Member]], send: Send) -> None:
        self._live = live
        self._send = send
        self._fingerprints = Fingerprints()

    def digest(self) -> int:
        """Return one number for all that is known here."""
        return self._fingerprints.digest(self._live())

    def begin(self, member: Member) -> None:
        """Ask a member for the records that differ from those here."""
        self._tell(member, MessageKind.COMPARE)

    def begin_if_different(self, message: Message) -> None:
        """Compare with the sender of a message whose digest is another than ours.

        A release that sends no digest leaves it at 0.
        """
        if message.digest not in (0, self.digest()):
            self.begin(message.sender)

    def answer(self, message: Message) -> None:
        """Send the records that the sender lacks, and ask for those it has."""
        theirs = self._fingerprints.unpack(message.fingerprints)
        live = self._live()
        lacking = [m for m in live if self._fingerprints.of(m) not in theirs]
        self.send_records(message.sender, lacking)
        unknown = theirs.difference(map(self._fingerprints.of, live))
        if message.kind is MessageKind.COMPARE and unknown:
            self._tell(message.sender, MessageKind.COMPARE_BACK)

    def send_records(self, member: Member, records: Sequence[Member]) -> None:
        """Send records to a member, in as many datagrams as they take."""
        for begin in range(0, len(records), MAX_RECORDS):
            part = tuple(records[begin : begin + MAX_RECORDS])
            self._send(member.gossip, MessageKind.RECORDS, records=part)

    def _tell(self, member: Member, kind: MessageKind) -> None:
        packed = self._fingerprints.pack(self._live())
        self._send(member.gossip, kind, fingerprints=packed)
