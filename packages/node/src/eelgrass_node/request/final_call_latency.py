"""How long a request takes after its stages until its answer begins.

The pattern it answers: stages must be done so long before the target. Engines of
one customer read a prompt in 0.05 s, those of another in half a second; a figure
that is too large makes requests late on paper, which then yield to others, and
one that is too small makes them late.

No network and no clock here.
"""

from eelgrass_coordination import MovingAverage

__all__ = ["FinalCallLatency"]

# Until answers have told: the prompt of a large request is read in a quarter of
# a second on the sheets.
UNKNOWN_S = 0.35
# The mean and this many mean deviations, so that three of four answers begin in
# time.
DEVIATIONS = 1.0
# Weight of the newest answer: some ten answers of a route, a few seconds at one
# node.
WEIGHT = 0.1


class FinalCallLatency:
    """The times of each route, in seconds."""

    def __init__(self) -> None:
        self._average_by_route: dict[str, MovingAverage] = {}

    def note(self, route: str, took_s: float) -> None:
        """Take in how long an answer took to begin after the stages."""
        average = self._average_by_route.get(route)
        if average is None:
            average = MovingAverage(UNKNOWN_S, WEIGHT)
            average.record(UNKNOWN_S)
            self._average_by_route[route] = average
        average.record(took_s)

    def expected_s(self, route: str) -> float:
        """Return the time to keep for a request of a route after its stages."""
        average = self._average_by_route.get(route)
        return UNKNOWN_S if average is None else average.upper(DEVIATIONS)
