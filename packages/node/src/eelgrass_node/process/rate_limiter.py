"""Rate limits whose permits one node issues for all."""

__all__ = ["MAX_CONCURRENT_OWNERS", "RateLimiter", "permitted_per_s"]

# Nodes may disagree for a moment on which node issues the permits of a server: after a
# partition, while a node joins or leaves, or does not answer some of them.
MAX_CONCURRENT_OWNERS = 2
# Requests may arrive this much later than they were permitted: the first ones on new
# connections, the last ones on reused connections.
ARRIVAL_SPREAD_S = 0.35


def permitted_per_s(max_requests: float, window_s: float, burst: float = 1.0) -> float:
    """Return how many permits per second one owner may issue; 0 for none at all.

    At most ``max_requests`` then arrive in any ``window_s`` seconds. In any interval a
    rate limiter passes ``burst`` requests more than its rate.
    """
    own_requests = max_requests / MAX_CONCURRENT_OWNERS - burst
    return max(0.0, own_requests / (window_s + ARRIVAL_SPREAD_S))


class RateLimiter:
    """Passes ``per_s`` requests per second, evenly spaced; times are in seconds.

    After a pause up to ``burst`` requests pass at once. The rate may change.
    """

    def __init__(self, per_s: float, now: float, burst: float = 1.0) -> None:
        self._next_at = now
        self.set_rate(per_s, now, burst)

    def set_rate(self, per_s: float, now: float, burst: float = 1.0) -> None:
        """Change the rate; a wait that was due to a lower rate becomes shorter."""
        self._interval_s = 1 / per_s
        self._tolerance_s = (burst - 1) / per_s
        latest_at = now + self._tolerance_s + self._interval_s
        self._next_at = min(self._next_at, latest_at)

    def acquire(self, now: float) -> float:
        """Pass one request and return 0, or return the seconds until the next."""
        wait_s = self.wait_s(now)
        if wait_s == 0.0:
            self._next_at = max(now, self._next_at) + self._interval_s
        return wait_s

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next request may pass; 0 if one may now."""
        return max(0.0, self._next_at - self._tolerance_s - now)
