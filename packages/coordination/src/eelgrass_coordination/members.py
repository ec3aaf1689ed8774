"""What one node knows of the others: records and the order between them."""

from enum import Enum

import msgspec

from .ids import DataCentre, NodeId

__all__ = ["Member", "MemberState", "MemberTable"]


class MemberState(Enum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A record of a member.

    ``epoch`` grows with each start of the node and ``version`` with each time
    it denies being dead. Addresses are IP numbers and ports. ``capacity`` says how
    much work for all nodes it can take on, in processor cores.
    """

    id: NodeId
    data_centre: DataCentre
    internal: str
    gossip: str
    epoch: int
    version: int = 0
    state: MemberState = MemberState.ALIVE
    capacity: float = 1.0

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than another of the same member."""
        return self._order() > other._order()

    def _order(self) -> tuple[int, int, int]:
        return (self.epoch, self.version, _RANK[self.state])


class MemberTable:
    """The newest record of each member by id, without the node's own.

    ``changes`` counts records taken in, so that readers can tell when to look.
    """

    def __init__(self) -> None:
        self.by_id: dict[NodeId, Member] = {}
        self.changes = 0

    def merge(self, member: Member) -> bool:
        """Take a record if it is news; returns whether it was."""
        known = self.by_id.get(member.id)
        if known is not None and not member.supersedes(known):
            return False
        self.by_id[member.id] = member
        self.changes += 1
        return True

    def forget(self, node: NodeId) -> None:
        """Drop the record of a member that has been gone for long."""
        if self.by_id.pop(node, None) is not None:
            self.changes += 1

    def reachable(self) -> list[Member]:
        """Return the members that are alive or only suspected."""
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [member for member in self.by_id.values() if member.state in states]

    def unreachable(self) -> list[Member]:
        """Return the members believed dead, which may be cut off only."""
        return [m for m in self.by_id.values() if m.state is MemberState.DEAD]
