"""Estimates how long a caller that retries has already waited.

In a burst, some hundred refused callers retry within seconds. Their latency target
counts from their first attempt, so that most of them are late when they retry. Without
the estimate they would be served before requests that can still be on time. Retries can
be recognised because callers state how long they will still wait: most first attempts
on a route state the same deadline, and a retry states a shorter one.

Uses no network and no clock.
"""

from collections import Counter, deque

__all__ = ["TypicalDeadlines"]

# Stated deadlines that are kept for each route: a few seconds of a burst.
KEPT_DEADLINES = 64
# Fraction of the kept deadlines that must be equal to be the typical deadline; if there
# is none, callers count as not having waited. Even in an overload, first attempts are
# over a third of the requests, and the deadlines that retries state all differ.
TYPICAL_FRACTION = 0.3


class TypicalDeadlines:
    """The typical deadline of a first attempt on each route, in seconds."""

    def __init__(self) -> None:
        self._stated_by_route: dict[str, deque[float]] = {}

    def record(self, route: str, stated_s: float) -> float:
        """Record a stated deadline; return how long the caller has already waited."""
        stated = self._stated_by_route.setdefault(route, deque(maxlen=KEPT_DEADLINES))
        stated.append(stated_s)
        typical_s, count = Counter(stated).most_common(1)[0]
        if count < 2 or count < TYPICAL_FRACTION * len(stated):
            return 0.0
        return max(0.0, typical_s - stated_s)

    def longest(self, route: str) -> float:
        """Return the longest deadline that callers of a route have stated lately.

        It is 0 if none is known.
        """
        return max(self._stated_by_route.get(route, ()), default=0.0)
