"""Anti-entropy: two nodes compare their member records and send those that differ.

An update is gossiped only a limited number of times. When nearly two hundred nodes
start at once, some nodes miss updates that nobody sends them again. Without
anti-entropy the nodes then disagree for many seconds on which of them owns a queue or
reads a table for their data centre.

Every message carries a digest of its sender's records. If the digests of two nodes
differ, one sends the other the fingerprints of its records, four bytes each, and each
sends the records that the other lacks. Nothing is sent in a group that agrees.
"""

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Protocol

from .ids import NodeId
from .members import Member
from .messages import Message, MessageKind

__all__ = ["AntiEntropy", "Fingerprints"]

# Size of a fingerprint. Two of 400 records collide once in 50,000 comparisons, and the
# next change of either record resolves the collision.
FINGERPRINT_BYTES = 4
# Most records in one datagram. At some 110 bytes each they fit into one packet.
MAX_RECORDS = 8


class SendMessage(Protocol):
    """Signature of a function that sends fingerprints or records."""

    def __call__(
        self,
        address: str,
        kind: MessageKind,
        *,
        fingerprints: bytes = b"",
        records: tuple[Member, ...] = (),
    ) -> None:
        """Send a message of this kind to an address."""


class Fingerprints:
    """Fingerprints of member records; the last one of each member is cached."""

    def __init__(self) -> None:
        self._cached_by_id: dict[NodeId, tuple[Member, int]] = {}

    def of(self, member: Member) -> int:
        """Return the fingerprint of a record: a hash of id, epoch, version and state.

        Records that differ in these have different fingerprints, except for rare
        collisions.
        """
        cached = self._cached_by_id.get(member.id)
        if cached is not None and cached[0] is member:
            return cached[1]
        parts = (member.id, member.epoch, member.version, member.state.value)
        data = "/".join(map(str, parts)).encode()
        number = int.from_bytes(blake2b(data, digest_size=FINGERPRINT_BYTES).digest())
        self._cached_by_id[member.id] = (member, number)
        return number

    def digest(self, members: Iterable[Member]) -> int:
        """Return one number for all records, independent of their order."""
        combined = 0
        for member in members:
            combined ^= self.of(member)
        return combined

    def pack(self, members: Iterable[Member]) -> bytes:
        """Return the concatenated fingerprints of all records."""
        numbers = (self.of(member) for member in members)
        return b"".join(number.to_bytes(FINGERPRINT_BYTES) for number in numbers)

    @staticmethod
    def unpack(data: bytes) -> set[int]:
        """Return the fingerprints in ``data``; a truncated one is ignored."""
        starts = range(0, len(data) - FINGERPRINT_BYTES + 1, FINGERPRINT_BYTES)
        return {
            int.from_bytes(data[start : start + FINGERPRINT_BYTES]) for start in starts
        }


class AntiEntropy:
    """Compares this node's records with those of others.

    ``live`` returns the records of all live members, including this node's own, and
    ``send`` sends a message.
    """

    def __init__(self, live: Callable[[], Sequence[Member]], send: SendMessage) -> None:
        self._live = live
        self._send = send
        self._fingerprints = Fingerprints()

    def digest(self) -> int:
        """Return one number for all records of this node."""
        return self._fingerprints.digest(self._live())

    def begin(self, member: Member) -> None:
        """Ask a member for the records that differ from this node's."""
        self._send_fingerprints(member, MessageKind.COMPARE)

    def begin_if_different(self, message: Message) -> None:
        """Compare with the sender of a message if its digest differs from this node's.

        Older releases send no digest, which reads as 0 and is ignored.
        """
        if message.digest not in (0, self.digest()):
            self.begin(message.sender)

    def answer(self, message: Message) -> None:
        """Send the records that the sender lacks, and ask for those this node lacks."""
        theirs = self._fingerprints.unpack(message.fingerprints)
        live = self._live()
        missing_there = [m for m in live if self._fingerprints.of(m) not in theirs]
        self.send_records(message.sender, missing_there)
        missing_here = theirs.difference(map(self._fingerprints.of, live))
        if message.kind is MessageKind.COMPARE and missing_here:
            self._send_fingerprints(message.sender, MessageKind.COMPARE_BACK)

    def send_records(self, member: Member, records: Sequence[Member]) -> None:
        """Send records to a member, in as many datagrams as needed."""
        for begin in range(0, len(records), MAX_RECORDS):
            batch = tuple(records[begin : begin + MAX_RECORDS])
            self._send(member.gossip, MessageKind.RECORDS, records=batch)

    def _send_fingerprints(self, member: Member, kind: MessageKind) -> None:
        packed = self._fingerprints.pack(self._live())
        self._send(member.gossip, kind, fingerprints=packed)
