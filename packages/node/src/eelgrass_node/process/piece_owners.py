"""Which node holds the queue of a service, as one node sees it.

The owner of a service's queue is found by hashing over the live members, so
that all nodes agree without a word. Ownership is a matter of efficiency only:
pieces may be made again, and a backend server says when it is full. Nodes that
disagree for a while, or an owner that is dead, frozen or cut off, therefore
break no promise. An owner that fails to answer is passed over for a while, in
favour of one in the own data centre, which a cut between data centres leaves in
reach.
"""

from collections.abc import Callable

from eelgrass_coordination import Member, ranked
from eelgrass_coordination.ids import DataCentre, NodeId

__all__ = ["PieceOwners"]

# An owner that failed is asked again after this long; membership takes some 5 s
# to find a node dead, and a frozen one wakes after a few.
DISTRUST_S = 2.0


class PieceOwners:
    """The owners of the queues, for the node ``own`` in ``data_centre``."""

    def __init__(
        self,
        own: NodeId,
        data_centre: DataCentre,
        members: Callable[[], list[Member]],
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._members = members
        self._clock = clock
        self._distrusted_until: dict[NodeId, float] = {}

    def candidates(self, service: str) -> list[Member | None]:
        """Return the owners to try, in order; None stands for this node.

        The first is the owner for everybody, the next the one for this data
        centre; this node itself ends the list.
        """
        trusted = [m for m in self._members() if not self._is_distrusted(m.id)]
        near = [m for m in trusted if m.data_centre == self._data_centre]
        candidates: list[Member | None] = []
        for group in (trusted, near):
            first = self._first(group, service)
            if first is None:
                break
            if first not in candidates:
                candidates.append(first)
        return [*candidates, None]

    def distrust(self, node: NodeId) -> None:
        """Pass a node over for a while, because it did not answer."""
        self._distrusted_until[node] = self._clock() + DISTRUST_S

    def _first(self, members: list[Member], service: str) -> Member | None:
        """Return the owner among ``members`` and this node; None for this node."""
        names: list[Member | None] = [*members, None]
        return ranked(names, service, name=self._name)[0]

    def _name(self, member: Member | None) -> str:
        return self._own if member is None else member.id

    def _is_distrusted(self, node: NodeId) -> bool:
        return self._distrusted_until.get(node, 0.0) > self._clock()
