"""Chooses the nodes through which this node reaches servers.

A relay that has just worked is used again. Otherwise those in the node's own data
centre come first, and one of another data centre early on, because all hosts of a data
centre may have lost the same paths.
"""

import random
from collections.abc import Callable, Mapping

from eelgrass_coordination import Member, MemberState
from eelgrass_coordination.ids import NodeId

__all__ = ["RelayChoice"]

# Relays that are tried for one connection.
MAX_RELAYS = 6
# How long a node is tried last after it could not help: it may have lost the same
# paths, or be of a release without relays.
UNFIT_S = 2.0


class RelayChoice:
    """The relays of one node, in the order in which to try them.

    ``own`` and ``members`` return the node's own record and those of the reachable
    nodes. ``region_by_data_centre`` tells which nodes may be used: a connection to a
    server stays within the region of this node and that of the server.
    """

    def __init__(
        self,
        own: Callable[[], Member],
        members: Callable[[], list[Member]],
        region_by_data_centre: Mapping[str, str],
        clock: Callable[[], float],
        randomness: random.Random | None = None,
    ) -> None:
        self._own = own
        self._members = members
        self._region_by_data_centre = region_by_data_centre
        self._clock = clock
        self._random = randomness or random.Random()
        self._unfit_until: dict[NodeId, float] = {}
        self._last_fit: NodeId | None = None

    def candidates(self, data_centre: str) -> list[Member]:
        """Return the relays to try for a server in a data centre, in order."""
        own = self._own()
        regions = {self._region(own.data_centre), self._region(data_centre)}
        allowed = [
            member
            for member in self._members()
            if self._region(member.data_centre) in regions
        ]
        self._random.shuffle(allowed)
        # Sorting is stable: those that are equally suitable stay in random order.
        allowed.sort(key=lambda member: self._rank(member, own.data_centre))
        return _mixed(allowed, own.data_centre)[:MAX_RELAYS]

    def on_fit(self, member: Member) -> None:
        """Record that a relay has opened a connection."""
        self._last_fit = member.id
        self._unfit_until.pop(member.id, None)

    def on_unfit(self, member: Member) -> None:
        """Record that a relay has not opened a connection."""
        now = self._clock()
        self._unfit_until = {
            node: until for node, until in self._unfit_until.items() if until > now
        }
        self._unfit_until[member.id] = now + UNFIT_S
        if self._last_fit == member.id:
            self._last_fit = None

    def _rank(self, member: Member, own_data_centre: str) -> tuple[bool, ...]:
        return (
            member.id != self._last_fit,
            self._clock() < self._unfit_until.get(member.id, float("-inf")),
            member.state is not MemberState.ALIVE,
            member.data_centre != own_data_centre,
        )

    def _region(self, data_centre: str) -> str:
        return self._region_by_data_centre.get(data_centre, data_centre)


def _mixed(members: list[Member], own_data_centre: str) -> list[Member]:
    """Move the first member of another data centre to the second place."""
    for index, member in enumerate(members):
        if index > 1 and member.data_centre != own_data_centre:
            return [members[0], member, *members[1:index], *members[index + 1 :]]
    return members
