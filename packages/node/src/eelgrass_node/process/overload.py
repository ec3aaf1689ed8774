"""Measures how long a queue has been overloaded, to tell refused callers when to retry.

Callers that are refused in a burst of several seconds and retry within a second arrive
in the same burst and are refused for good. The length of an overload cannot be known in
advance, so the rest of it is expected to be as long as the part that has passed.

This module does no I/O and reads no clock; times are in seconds.
"""

from .batch_items import ItemFailure, ItemOutcome

__all__ = ["Overload"]

# An overload has ended if nothing was refused for this long; in a burst some requests
# are refused every second.
QUIET_PERIOD_S = 1.0


class Overload:
    """The current overload of one queue, derived from its refusals."""

    def __init__(self) -> None:
        self._since = 0.0
        self._last = float("-inf")

    def record_refusal(self, now: float) -> None:
        """Record that a request was refused."""
        if now - self._last > QUIET_PERIOD_S:
            self._since = now
        self._last = now

    def refuse_late(self, now: float) -> ItemOutcome:
        """Record and return the refusal of an item that cannot run in time."""
        self.record_refusal(now)
        return ItemOutcome(failure=ItemFailure.LATE, retry_after_s=self.duration_s(now))

    def duration_s(self, now: float) -> float:
        """Return how long the overload has lasted so far, 0 if there is none."""
        return now - self._since if now - self._last <= QUIET_PERIOD_S else 0.0
