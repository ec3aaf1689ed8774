"""Permits for requests to cold servers, handed out by one node for each server.

The pattern it answers: 65 nodes see a few requests a second each, and a cold engine
bears nine a second over all of them. A share by the number of nodes is less than one
request in three seconds for each, and whole requests cannot be shared so. One node,
found by hashing over the members, therefore counts for all.

Members that are out of reach keep their place in the hash: a cut must not make owners
on both of its sides. What they own gets nothing until it is warm, a few seconds later.
"""

from collections.abc import Callable, Sequence

import msgspec

from eelgrass_coordination import Member, MemberState, ranked
from eelgrass_coordination.ids import NodeId

from ..backends import ServerIncarnation
from .rate_limit import RateLimiter, WarmUpRates

__all__ = ["Permit", "WarmUpPermits", "owner_of"]

# A node that has just started does not know the others yet, and not what the owner
# before it has let go.
SETTLE_S = 2.5
# Permits are asked for again after this where nothing better is known.
RETRY_AFTER_S = 0.5
# Servers whose pace is remembered; a pace matters for a second.
MAX_PACES = 1024


class Permit(msgspec.Struct, frozen=True):
    """Whether a request may go to a cold server; if not, after how many seconds."""

    granted: bool
    after_s: float = 0.0


def owner_of(
    incarnation: ServerIncarnation, own: Member, members: Sequence[Member]
) -> Member:
    """Return the node that hands out the permits of a server."""
    staying = [m for m in members if m.state is not MemberState.LEFT]
    key = f"warm-up/{incarnation.id}"
    return ranked([*staying, own], key, name=lambda member: member.id)[0]


class WarmUpPermits:
    """The permits that one node hands out, for the servers that it owns.

    ``own`` and ``members`` return its own record and all others, also of nodes that are
    out of reach. ``seeds`` are the other nodes that its settings name: one that has
    heard of no other node, and should have, hands out none. ``rates`` are those of its
    own configuration, whatever the asking node believes.
    """

    def __init__(
        self,
        own: Callable[[], Member],
        members: Callable[[], Sequence[Member]],
        seeds: Sequence[str],
        rates: WarmUpRates,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._members = members
        self._seeds = seeds
        self._rates = rates
        self._clock = clock
        self._settled_at = clock() + SETTLE_S
        self._pace_by_life: dict[ServerIncarnation, RateLimiter] = {}

    def owner(self, incarnation: ServerIncarnation) -> Member:
        """Return the node that hands out the permits of a server."""
        return owner_of(incarnation, self._own(), self._members())

    def is_own(self, node: NodeId) -> bool:
        """Return whether a node is this one."""
        return node == self._own().id

    def issue(self, incarnation: ServerIncarnation, service: str) -> Permit:
        """Hand out a permit for one request to a cold server of a service."""
        now = self._clock()
        per_s = self._rates.permitted_per_s(service)
        if per_s <= 0 or now < self._settled_at or self._is_alone():
            return Permit(False, RETRY_AFTER_S)
        if not self.is_own(self.owner(incarnation).id):
            return Permit(False, RETRY_AFTER_S)
        after_s = self._pace(incarnation, per_s, now).acquire(now)
        return Permit(after_s == 0.0, after_s)

    def _is_alone(self) -> bool:
        return bool(self._seeds) and not self._members()

    def _pace(
        self, incarnation: ServerIncarnation, per_s: float, now: float
    ) -> RateLimiter:
        pace = self._pace_by_life.get(incarnation)
        if pace is None:
            if len(self._pace_by_life) >= MAX_PACES:
                del self._pace_by_life[next(iter(self._pace_by_life))]
            pace = self._pace_by_life[incarnation] = RateLimiter(per_s, now)
        return pace
