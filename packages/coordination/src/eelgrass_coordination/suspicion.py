"""How long members have been suspected or considered dead, in probe periods."""

from .ids import NodeId
from .members import Member, MemberState

__all__ = ["Suspicions"]

# Time that a suspected member has to refute the suspicion. An update reaches all
# members, and the refutation reaches them too, within two or three periods.
SUSPICION_PERIODS = 4
# Time for which a dead member is remembered, some two hours at one period a second, so
# that a delayed message does not bring it back.
FORGET_PERIODS = 7200


class Suspicions:
    """The members that are suspected or considered dead, and since which period."""

    def __init__(self) -> None:
        self._suspected_since: dict[NodeId, int] = {}
        self._dead_since: dict[NodeId, int] = {}

    def record(self, member: Member, period: int) -> None:
        """Record the new state of a member."""
        self._suspected_since.pop(member.id, None)
        self._dead_since.pop(member.id, None)
        if member.state is MemberState.SUSPECT:
            self._suspected_since[member.id] = period
        elif member.state in (MemberState.DEAD, MemberState.LEFT):
            self._dead_since[member.id] = period

    def recent(self, since: int) -> list[NodeId]:
        """Return the members that are suspected, dead or left since a period."""
        known = (*self._suspected_since.items(), *self._dead_since.items())
        return [node for node, period in known if period >= since]

    def pop_expired_suspects(self, period: int) -> list[NodeId]:
        """Remove and return the members that did not refute their suspicion in time."""
        return _pop_due(self._suspected_since, period - SUSPICION_PERIODS)

    def pop_forgotten(self, period: int) -> list[NodeId]:
        """Remove and return the members that have been dead long enough to forget."""
        return _pop_due(self._dead_since, period - FORGET_PERIODS)


def _pop_due(since_by_id: dict[NodeId, int], latest: int) -> list[NodeId]:
    due = [node for node, since in since_by_id.items() if since <= latest]
    for node in due:
        del since_by_id[node]
    return due
