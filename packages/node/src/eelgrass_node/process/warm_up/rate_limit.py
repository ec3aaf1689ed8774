"""How fast one node may let requests go to a cold server."""

from collections.abc import Callable

import msgspec

from ...version.deployment import Deployment, ServiceName

__all__ = ["RateLimiter", "WarmUpBounds", "WarmUpRates", "permitted_per_s"]

# Nodes may disagree for a moment on who hands out the permits of a server: after a cut,
# or while a node joins or leaves.
OWNERS_AT_ONCE = 2
# Requests let go within this many seconds may arrive within one: the first ones on new
# connections, the last ones on kept ones.
ARRIVAL_SPREAD_S = 1.35


class WarmUpBounds(msgspec.Struct, frozen=True):
    """What a cold server gets at most in a second, over all nodes.

    That is ``ratio`` times what it is said to bear, and ``slack`` requests more.
    """

    ratio: float = 1.0
    slack: float = 0.0

    def max_per_s(self, per_s: float) -> float:
        """Return the most requests in a second for a server that bears ``per_s``."""
        return per_s * self.ratio + self.slack


def permitted_per_s(per_s: float, bounds: WarmUpBounds) -> float:
    """Return how many permits a second one owner may hand out; 0 for none at all.

    A pace lets one more go than its rate says in any span.
    """
    most = bounds.max_per_s(per_s) / OWNERS_AT_ONCE - 1
    return max(0.0, min(per_s, most / ARRIVAL_SPREAD_S))


class WarmUpRates:
    """What cold servers of each service get, by the configuration in force."""

    def __init__(
        self, bounds: WarmUpBounds, deployment: Callable[[], Deployment | None]
    ) -> None:
        self._bounds = bounds
        self._deployment = deployment

    def is_bounded(self, service: str) -> bool:
        """Return whether servers of a service bear only so much while they are cold."""
        return self._told_per_s(service) > 0

    def permitted_per_s(self, service: str) -> float:
        """Return how many permits a second the owner of a server hands out."""
        return permitted_per_s(self._told_per_s(service), self._bounds)

    def _told_per_s(self, service: str) -> float:
        deployment = self._deployment()
        known = deployment and deployment.service_by_name.get(ServiceName(service))
        return known.warm_up_per_s if known else 0.0


class RateLimiter:
    """Lets ``per_s`` requests go in a second, evenly; times are in seconds."""

    def __init__(self, per_s: float, now: float) -> None:
        self._gap_s = 1 / per_s
        self._next_at = now

    def acquire(self, now: float) -> float:
        """Let one go and return 0, or return after how long the next one may."""
        if now < self._next_at:
            return self._next_at - now
        self._next_at = now + self._gap_s
        return 0.0
