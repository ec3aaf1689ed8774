"""Estimates the time from the end of a request's stages to the start of its response.

The stages must be complete this long before the latency target. Engines of one
client account read a prompt in 0.05 s, those of another in half a second. If the
estimate is too high, requests that could be on time are treated as late and yield to
others; if it is too low, requests become late.

Uses no network and no clock.
"""

from eelgrass_coordination import MovingAverage

__all__ = ["FinalCallLatency"]

# Used until there are measurements: a typical engine reads the prompt of a large
# request in a quarter of a second.
INITIAL_ESTIMATE_S = 0.35
# The estimate is the mean plus this many mean deviations, so that three of four
# responses begin within it.
DEVIATIONS = 1.0
# Weight of the newest measurement: averages over some ten responses of a route, which
# is a few seconds at one node.
WEIGHT = 0.1


class FinalCallLatency:
    """The latency of the final call of each route, in seconds."""

    def __init__(self) -> None:
        self._average_by_route: dict[str, MovingAverage] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record how long after the stages a response began."""
        average = self._average_by_route.get(route)
        if average is None:
            average = MovingAverage(INITIAL_ESTIMATE_S, WEIGHT)
            average.record(INITIAL_ESTIMATE_S)
            self._average_by_route[route] = average
        average.record(took_s)

    def expected_s(self, route: str) -> float:
        """Return the time to reserve after the stages of a request of a route."""
        average = self._average_by_route.get(route)
        return INITIAL_ESTIMATE_S if average is None else average.upper(DEVIATIONS)
