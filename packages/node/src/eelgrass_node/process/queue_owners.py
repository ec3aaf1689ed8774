"""Which node holds the queue of a service, as one node sees it.

The owner of a service's queue is found by hashing over the live members, so
that all nodes agree without a word. Ownership is a matter of efficiency only:
pieces may be made again, and a backend server says when it is full. Nodes that
disagree for a while, or an owner that is dead, frozen or cut off, therefore
break no promise. An owner that fails to answer is passed over for a while, in
favour of one in the own data centre, which a cut between data centres leaves in
reach.

The pattern that capacities answer: hosts are of unequal size (0.5 to 2.2 cores,
links of 5 to 100 Mbit/s on the grown sheets). A queue on a small one was late with
every answer in a burst, so that each node went its own way.
"""

from collections import Counter
from collections.abc import Callable

from eelgrass_coordination import Member, ranked
from eelgrass_coordination.ids import DataCentre, NodeId

from .high_capacity_nodes import high_capacity_nodes
from .reachability import DataCentreReachability

__all__ = ["QueueOwners"]

# An owner that failed is asked again after this long, doubled with each further
# failure; membership takes some 5 s to find a node dead, and a frozen one wakes
# after a few.
BACKOFF_S = 1.5
MAX_BACKOFF_S = 6.0


class QueueOwners:
    """The owners of the queues, for the node ``own`` in ``data_centre``.

    ``capacity`` is that of this node, in cores like those of the members.
    """

    def __init__(
        self,
        own: NodeId,
        data_centre: DataCentre,
        capacity: float,
        members: Callable[[], list[Member]],
        reach: DataCentreReachability,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._capacity = capacity
        self._members = members
        self._reach = reach
        self._clock = clock
        self._backed_off_until: dict[NodeId, float] = {}
        self._failures: Counter[NodeId] = Counter()
        self._leaving = False

    def leave(self) -> None:
        """Own no queue any more, unless nobody else can."""
        self._leaving = True

    def candidates(self, service: str) -> list[Member | None]:
        """Return the owners to try, in order; None stands for this node.

        The first is the owner for everybody, the next the one for this data
        centre; this node itself ends the list.
        """
        trusted = [m for m in self._members() if self._is_trusted(m)]
        near = [m for m in trusted if m.data_centre == self._data_centre]
        candidates: list[Member | None] = []
        for group in (trusted, near):
            first = self._first(group, service)
            if first is None:
                break
            if first not in candidates:
                candidates.append(first)
        return [*candidates, None]

    def on_failure(self, owner: Member) -> None:
        """Pass a node over for a while, because it did not answer.

        Calls that fail together, as those to a node that stands still, are one failure.
        """
        self._reach.record_timeout(owner.data_centre, owner.id)
        if self.is_backed_off(owner):
            return
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** self._failures[owner.id])
        self._failures[owner.id] += 1
        self._backed_off_until[owner.id] = self._clock() + backoff_s

    def is_backed_off(self, owner: Member) -> bool:
        """Return whether a node is passed over because it did not answer."""
        return self._clock() < self._backed_off_until.get(owner.id, float("-inf"))

    def on_answer(self, owner: Member) -> None:
        """Trust a node again, because it answered."""
        self._failures.pop(owner.id, None)
        self._backed_off_until.pop(owner.id, None)
        self._reach.record_answer(owner.data_centre)

    def _first(self, members: list[Member], service: str) -> Member | None:
        """Return the owner among ``members`` and this node; None for this node."""
        names: list[Member | None] = list(members)
        if not self._leaving or not members:
            names.append(None)
        strong = high_capacity_nodes(names, self._capacity_of)
        return ranked(strong, service, name=self._name)[0]

    def _capacity_of(self, member: Member | None) -> float:
        return self._capacity if member is None else member.capacity

    def _name(self, member: Member | None) -> str:
        return self._own if member is None else member.id

    def _is_trusted(self, member: Member) -> bool:
        if self._reach.is_suspected(member.data_centre):
            return False
        return not self.is_backed_off(member)
