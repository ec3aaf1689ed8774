"""How long callers of a route have waited already when they come back.

The pattern it answers: in a burst some hundred refused callers come back within
seconds. Their time counts from their first try, so most of them are late when
they come, and yet would go before those that can still be on time. What tells
them apart is that a caller states how long it still waits: the first try of most
requests of a route states the same figure, and one that comes back states less.

No network and no clock here.
"""

from collections import Counter, deque

__all__ = ["TypicalDeadlines"]

# Figures that are remembered of a route: a few seconds of a burst.
REMEMBERED = 64
# The part of the remembered figures that must be the same for it to be the usual
# one; without one nothing is concluded. Even in an overload the first tries are
# over a third, and those that come back state figures that all differ.
USUAL_FRACTION = 0.3


class TypicalDeadlines:
    """The figure that most callers of each route state, in seconds."""

    def __init__(self) -> None:
        self._stated_by_route: dict[str, deque[float]] = {}

    def note(self, route: str, stated_s: float) -> float:
        """Take in what a caller states; return how long it has waited already."""
        stated = self._stated_by_route.setdefault(route, deque(maxlen=REMEMBERED))
        stated.append(stated_s)
        usual_s, count = Counter(stated).most_common(1)[0]
        if count < 2 or count < USUAL_FRACTION * len(stated):
            return 0.0
        return max(0.0, usual_s - stated_s)
