"""Permits for requests to cold servers, issued by one node for each server.

Unreachable members keep their place in the hash, because a partition must not create
owners on both of its sides. The servers that they own get no requests until they are
warm, a few seconds later.
"""

from collections.abc import Callable, Sequence

import msgspec

from eelgrass_coordination import Member
from eelgrass_coordination.ids import NodeId

from ..host_entry import ServerIncarnation
from ..joined import JoinState
from ..permit_owners import PermitOwners
from ..rate_limiter import RateLimiter
from .rate_limit import WarmUpRates

__all__ = ["Permit", "WarmUpPermits"]

# When to request a permit again if the time of the next one is unknown.
RETRY_AFTER_S = 0.5
# Rate limiters that are kept; a rate limiter matters for a second.
MAX_LIMITERS = 1024


class Permit(msgspec.Struct, frozen=True):
    """Whether a request may go to a cold server; if not, retry after ``after_s``."""

    granted: bool
    after_s: float = 0.0


class WarmUpPermits:
    """The permits that one node issues for the servers that it owns.

    ``own`` and ``members`` return the node's own record and those of all others,
    including unreachable nodes. A node that has not joined the others issues none: it
    does not know them yet, nor the permits that the previous owner has issued.
    ``rates`` are those of its own configuration, whatever the requesting node's are.
    """

    def __init__(
        self,
        own: Callable[[], Member],
        members: Callable[[], Sequence[Member]],
        join_state: JoinState,
        rates: WarmUpRates,
        clock: Callable[[], float],
    ) -> None:
        self._owners = PermitOwners(own, members, join_state)
        self._rates = rates
        self._clock = clock
        self._limiter_by_incarnation: dict[ServerIncarnation, RateLimiter] = {}

    def owner(self, incarnation: ServerIncarnation) -> Member:
        """Return the node that issues the permits of a server."""
        return self._owners.first(incarnation)

    def is_own(self, node: NodeId) -> bool:
        """Return whether a node is this one."""
        return self._owners.is_own(node)

    def issue(self, incarnation: ServerIncarnation, service: str) -> Permit:
        """Return a permit for one request to a cold server, granted or refused."""
        now = self._clock()
        per_s = self._rates.permitted_per_s(service)
        if per_s <= 0 or not self._owners.has_joined():
            return Permit(False, RETRY_AFTER_S)
        if not self.is_own(self.owner(incarnation).id):
            return Permit(False, RETRY_AFTER_S)
        after_s = self._limiter(incarnation, per_s, now).acquire(now)
        return Permit(after_s == 0.0, after_s)

    def _limiter(
        self, incarnation: ServerIncarnation, per_s: float, now: float
    ) -> RateLimiter:
        limiter = self._limiter_by_incarnation.get(incarnation)
        if limiter is None:
            if len(self._limiter_by_incarnation) >= MAX_LIMITERS:
                del self._limiter_by_incarnation[
                    next(iter(self._limiter_by_incarnation))
                ]
            limiter = self._limiter_by_incarnation[incarnation] = RateLimiter(
                per_s, now
            )
        return limiter
