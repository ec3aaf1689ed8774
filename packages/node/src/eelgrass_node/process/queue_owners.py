"""Determines which node holds the queue of a service, as seen by one node.

The owner of a service's queue is chosen by hashing over the live members, so all nodes
agree without exchanging messages. A single owner is only needed for efficiency: items
can be run again, and a backend server refuses calls when it is full. It is therefore
safe if nodes disagree for a while, or if an owner is dead, frozen or partitioned off.
An owner that does not answer is skipped for a while in favour of one in this node's
data centre, which stays reachable when data centres are partitioned from each other.

Only high-capacity nodes own queues, because hosts differ in size: from 0.5 to 2.2
cores, with links of 5 to 100 Mbit/s. A queue on a small host answered every request of
a burst too late, so that each node fell back to a queue of its own.
"""

from collections import Counter
from collections.abc import Callable

from eelgrass_coordination import Member, ranked
from eelgrass_coordination.ids import DataCentre, NodeId

from .high_capacity_nodes import high_capacity_nodes
from .reachability import DataCentreReachability

__all__ = ["QueueOwners"]

# How long an owner that failed is skipped, doubled with each further failure.
# Membership takes about 5 s to detect a dead node, and a frozen one recovers after a
# few seconds.
BACKOFF_S = 1.5
MAX_BACKOFF_S = 6.0


class QueueOwners:
    """The queue owners, as seen by the node ``own`` in ``data_centre``.

    ``capacity`` is the capacity of this node in cores, as it is for members.
    """

    def __init__(
        self,
        own: NodeId,
        data_centre: DataCentre,
        capacity: float,
        members: Callable[[], list[Member]],
        reachability: DataCentreReachability,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._capacity = capacity
        self._members = members
        self._reachability = reachability
        self._clock = clock
        self._backed_off_until: dict[NodeId, float] = {}
        self._failures: Counter[NodeId] = Counter()
        self._leaving = False

    def leave(self) -> None:
        """Stop owning queues, unless there is no other node."""
        self._leaving = True

    def candidates(self, service: str) -> list[Member | None]:
        """Return the owners to try, in order; None stands for this node.

        The first is the owner among all nodes, the second the owner among the nodes of
        this data centre. This node itself ends the list.
        """
        available = [m for m in self._members() if self._is_available(m)]
        local = [m for m in available if m.data_centre == self._data_centre]
        candidates: list[Member | None] = []
        for group in (available, local):
            first = self._owner_among(group, service)
            if first is None:
                break
            if first not in candidates:
                candidates.append(first)
        return [*candidates, None]

    def on_failure(self, owner: Member) -> None:
        """Back off from a node that did not answer.

        Calls that fail together, such as those to a frozen node, count as one failure.
        """
        self._reachability.record_timeout(owner.data_centre, owner.id)
        if self.is_backed_off(owner):
            return
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** self._failures[owner.id])
        self._failures[owner.id] += 1
        self._backed_off_until[owner.id] = self._clock() + backoff_s

    def is_backed_off(self, owner: Member) -> bool:
        """Return whether a node is skipped because it did not answer."""
        return self._clock() < self._backed_off_until.get(owner.id, float("-inf"))

    def on_answer(self, owner: Member) -> None:
        """End the backoff of a node that answered."""
        self._failures.pop(owner.id, None)
        self._backed_off_until.pop(owner.id, None)
        self._reachability.record_answer(owner.data_centre)

    def _owner_among(self, members: list[Member], service: str) -> Member | None:
        """Return the owner among ``members`` and this node; None is this node."""
        nodes: list[Member | None] = list(members)
        if not self._leaving or not members:
            nodes.append(None)
        eligible = high_capacity_nodes(nodes, self._capacity_of)
        return ranked(eligible, service, name=self._name)[0]

    def _capacity_of(self, member: Member | None) -> float:
        return self._capacity if member is None else member.capacity

    def _name(self, member: Member | None) -> str:
        return self._own if member is None else member.id

    def _is_available(self, member: Member) -> bool:
        if self._reachability.is_suspected(member.data_centre):
            return False
        return not self.is_backed_off(member)
