"""Chooses the nodes that keep a copy of the origin of a stream.

The choice follows from the id of the stream and the live members, so that a node where
the stream is resumed finds the same ones. One is in the node's own data centre,
which stays reachable when data centres are partitioned from each other; the others are
in other data centres, so that the loss of one leaves a copy.
"""

import itertools
from collections.abc import Callable, Mapping, Sequence

from eelgrass_coordination import Member, ranked
from eelgrass_coordination.ids import DataCentre, NodeId

__all__ = ["COPIES", "ReplicaChoice"]

# Copies beside the node's own. With three of nine hosts killed together, one of which
# served the stream, a copy is left.
COPIES = 3


class ReplicaChoice:
    """The choice as seen by a node in ``data_centre``.

    Data centres of its region are preferred: streams are resumed near their callers,
    and answers from other regions take long. ``is_reachable`` returns whether a data
    centre is expected to answer, and ``clock`` returns seconds.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        region_by_data_centre: Mapping[str, str],
        members: Callable[[], Sequence[Member]],
        is_reachable: Callable[[DataCentre], bool],
        clock: Callable[[], float],
    ) -> None:
        self._data_centre = data_centre
        self._region_by_data_centre = region_by_data_centre
        self._members = members
        self._is_reachable = is_reachable
        self._clock = clock
        # By node and start, because a node may answer after it has restarted.
        self._silent_until: dict[tuple[NodeId, int], float] = {}

    def replicas(self, stream: str) -> list[Member]:
        """Return up to :data:`COPIES` nodes, those of different data centres first."""
        groups = self._groups_in_order(stream)
        ranks = [ranked(group, stream, name=_name) for group in groups[:COPIES]]
        by_turns = itertools.chain.from_iterable(itertools.zip_longest(*ranks))
        return [member for member in by_turns if member is not None][:COPIES]

    def on_silence(self, member: Member, for_s: float) -> None:
        """Pass a node over for ``for_s`` seconds, because it does not answer."""
        now = self._clock()
        self._silent_until = {k: t for k, t in self._silent_until.items() if t > now}
        self._silent_until[member.id, member.epoch] = now + for_s

    def on_answer(self, member: Member) -> None:
        """Choose a node again, because it has answered."""
        self._silent_until.pop((member.id, member.epoch), None)

    def _is_available(self, member: Member) -> bool:
        silent_until = self._silent_until.get((member.id, member.epoch), 0.0)
        return silent_until <= self._clock() and self._is_reachable(member.data_centre)

    def _groups_in_order(self, stream: str) -> list[list[Member]]:
        """Return the available members by data centre, this node's own first."""
        by_data_centre: dict[str, list[Member]] = {}
        for member in self._members():
            if self._is_available(member):
                by_data_centre.setdefault(member.data_centre, []).append(member)
        own = by_data_centre.pop(self._data_centre, [])
        order = ranked(by_data_centre, stream, name=str)
        order.sort(key=lambda data_centre: not self._is_near(data_centre))
        return [group for group in (own, *map(by_data_centre.get, order)) if group]

    def _is_near(self, data_centre: str) -> bool:
        region_of = self._region_by_data_centre.get
        return region_of(data_centre) == region_of(self._data_centre)


def _name(member: Member) -> str:
    return member.id
