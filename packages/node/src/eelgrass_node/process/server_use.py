"""The use of one server by a batch queue: calls, held results and slowness."""

from eelgrass_coordination import MovingAverage

__all__ = ["ServerUse"]

# Weight of the latest call in a server's slowness. The average settles within a few
# calls, and a call takes a fifth of a second.
SLOWNESS_WEIGHT = 0.3
# Half-life of the slowness of a server that is not called, so that a server that was
# slow is tried again.
SLOWNESS_HALF_LIFE_S = 3.0


class ServerUse:
    """The use of one server by one queue, since ``used_since``.

    Times are in seconds.
    """

    def __init__(self, used_since: float) -> None:
        self.used_since = used_since
        self.calls = 0
        self.free_at = 0.0
        self._slowness = MovingAverage(1.0, SLOWNESS_WEIGHT)
        self._called_at = 0.0
        self._bytes_by_handle: dict[str, tuple[float, int]] = {}

    def hold(self, handle: str, size: int, until: float) -> None:
        """Record a result that occupies memory until it is freed or expires."""
        self._bytes_by_handle[handle] = (until, size)

    def free(self, handle: str) -> None:
        """Record that a result was freed."""
        self._bytes_by_handle.pop(handle, None)

    def held_bytes(self, now: float) -> int:
        """Return the size of the results that are held and have not expired."""
        expired = [h for h, (until, _) in self._bytes_by_handle.items() if until <= now]
        for handle in expired:
            del self._bytes_by_handle[handle]
        return sum(size for _, size in self._bytes_by_handle.values())

    def record_call(self, ratio: float, now: float) -> None:
        """Record the ratio of a call's duration to the expected duration.

        For a call that was abandoned, it is a lower bound.
        """
        self._slowness.record(ratio)
        self._called_at = now

    def slowness(self, now: float) -> float:
        """Return the mean ratio of actual to expected duration, at least 1."""
        excess = max(0.0, self._slowness.mean - 1.0)
        age_s = now - self._called_at
        return 1.0 + excess * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)

    def summary(self, now: float) -> dict[str, float]:
        """Return the calls in progress, megabytes held and slowness, for a log line."""
        return {
            "calls": self.calls,
            "held_mb": round(self.held_bytes(now) / 1e6, 2),
            "slowness": round(self.slowness(now), 2),
        }
