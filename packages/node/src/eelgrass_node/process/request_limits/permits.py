"""Permits for requests to servers that name a limit, issued by one node for each.

A node that does not answer is followed by the next one by hash, because a limit may
hold for minutes. Two nodes that issue at the same time stay within the bound: each
keeps back what the other one may issue.
"""

from collections.abc import Callable

import msgspec

from ..host_entry import ServerIncarnation
from ..permit_owners import PermitOwners
from ..rate_limiter import RateLimiter
from .named_limits import NamedLimit, NamedLimits
from .rates import PermitRate

__all__ = ["MAX_OWNERS", "LimitPermit", "LimitPermitRequest", "LimitPermits"]

# Nodes that are asked for a permit, in the order of their hashes.
MAX_OWNERS = 3
# Rate limiters that are kept, each of some 200 bytes.
MAX_LIMITERS = 4096


class LimitPermitRequest(msgspec.Struct, frozen=True):
    """Asks for a permit; ``limit`` is what the asking node knows."""

    server: ServerIncarnation
    limit: NamedLimit


class LimitPermit(msgspec.Struct, frozen=True):
    """Whether a request may be sent; the next permit is due after ``next_s`` seconds.

    A node that ``is_owner`` is false for issues no permits for the server. ``limit`` is
    what the answering node knows.
    """

    is_owner: bool
    granted: bool = False
    next_s: float = 0.0
    limit: NamedLimit | None = None


class LimitPermits:
    """The permits that one node issues; ``clock`` returns seconds."""

    def __init__(
        self, owners: PermitOwners, limits: NamedLimits, clock: Callable[[], float]
    ) -> None:
        self._owners = owners
        self._limits = limits
        self._clock = clock
        self._limiter_by_incarnation: dict[ServerIncarnation, RateLimiter] = {}

    def issue(self, request: LimitPermitRequest) -> LimitPermit:
        """Return a permit for one request to a server, granted or refused."""
        server = request.server
        self._limits.merge(server, request.limit, "another node")
        known = self._limits.limit(server)
        if not self._may_issue(server):
            return LimitPermit(False, limit=known)
        rate = self._limits.permit_rate(server)
        if rate is None:
            return LimitPermit(True, True, limit=known)
        now = self._clock()
        limiter = self._limiter(server, rate, now)
        granted = limiter.acquire(now) == 0.0
        return LimitPermit(True, granted, limiter.wait_s(now), known)

    def _may_issue(self, server: ServerIncarnation) -> bool:
        if not self._owners.has_joined():
            return False
        owners = self._owners.reachable(server, MAX_OWNERS)
        return any(self._owners.is_own(owner.id) for owner in owners)

    def _limiter(
        self, server: ServerIncarnation, rate: PermitRate, now: float
    ) -> RateLimiter:
        limiter = self._limiter_by_incarnation.pop(server, None)
        if limiter is None:
            limiter = RateLimiter(rate.per_s, now, rate.burst)
        else:
            limiter.set_rate(rate.per_s, now, rate.burst)
        self._limiter_by_incarnation[server] = limiter
        if len(self._limiter_by_incarnation) > MAX_LIMITERS:
            del self._limiter_by_incarnation[next(iter(self._limiter_by_incarnation))]
        return limiter
