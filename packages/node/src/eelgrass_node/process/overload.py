"""How long a queue has been overloaded, and when refused callers should come back.

The pattern it answers: in a burst of some seconds callers that are refused come
back within a second, into the same burst, and are refused for good. How long an
overload will last nobody knows; one that has lasted for some time is expected to
last as long again.

No network and no clock here; times are in seconds.
"""

__all__ = ["Overload"]

# An overload is over where nothing was refused for this long; in a burst some
# requests are refused each second.
CALM_S = 1.0


class Overload:
    """The present overload of one queue, as its refusals show it."""

    def __init__(self) -> None:
        self._since = 0.0
        self._last = float("-inf")

    def record_refusal(self, now: float) -> None:
        """Note that a request was refused."""
        if now - self._last > CALM_S:
            self._since = now
        self._last = now

    def duration_s(self, now: float) -> float:
        """Return how long the overload has lasted, nothing where there is none."""
        return now - self._since if now - self._last <= CALM_S else 0.0
