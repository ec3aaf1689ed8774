"""Records of the members of the group, and the order that decides which is newer."""

from enum import Enum

import msgspec

from .ids import DataCentre, NodeId

__all__ = ["Member", "MemberState", "MemberTable"]


class MemberState(Enum):
    """The state that a node assigns to a member."""

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

    ``epoch`` grows with each start of the node, and ``version`` each time it refutes
    a record that calls it suspected or dead. ``internal`` and ``gossip`` are IP
    addresses with ports. ``capacity`` is the amount of work for the whole group that
    the node can take on, in processor cores.
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
    """The newest record of each other member, by id.

    ``changes`` counts the updates of the table, so that readers can detect a change.
    """

    def __init__(self) -> None:
        self.by_id: dict[NodeId, Member] = {}
        self.changes = 0

    def merge(self, member: Member) -> bool:
        """Apply a record if it is newer; return whether it was."""
        current = self.by_id.get(member.id)
        if current is not None and not member.supersedes(current):
            return False
        self.by_id[member.id] = member
        self.changes += 1
        return True

    def forget(self, node: NodeId) -> None:
        """Drop the record of a member that died or left a long time ago."""
        if self.by_id.pop(node, None) is not None:
            self.changes += 1

    def reachable(self) -> list[Member]:
        """Return the members that are alive or suspected."""
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [member for member in self.by_id.values() if member.state in states]

    def dead(self) -> list[Member]:
        """Return the members that are considered dead; they may only be cut off."""
        members = self.by_id.values()
        return [member for member in members if member.state is MemberState.DEAD]

    def absent(self) -> list[Member]:
        """Return the members that left or are considered dead.

        They may have started again, or may only be partitioned off.
        """
        states = (MemberState.DEAD, MemberState.LEFT)
        return [member for member in self.by_id.values() if member.state in states]
