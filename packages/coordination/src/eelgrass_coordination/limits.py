"""Retry budgets, per-node shares of a limit, and moving averages."""

import math

__all__ = ["MovingAverage", "RetryBudget", "share_of_limit"]


class RetryBudget:
    """Limits retries to a fraction of requests, which prevents retry storms.

    ``ratio`` is the long-run number of retries per request and ``reserve`` the number
    of retries that may be spent at once.

    Example::

        budget = RetryBudget(ratio=0.1, reserve=10)
        budget.record_request()
        if budget.try_spend():
            ...
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def record_request(self) -> None:
        """Credit the budget with the share of one request."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class MovingAverage:
    """An exponentially weighted mean and deviation of observed values."""

    def __init__(self, initial: float, weight: float = 0.1) -> None:
        self.mean = initial
        self.deviation = 0.0
        self._weight = weight
        self._seen = False

    def record(self, value: float) -> None:
        """Add one observation."""
        if not self._seen:
            self.mean = value
            self._seen = True
            return
        error = value - self.mean
        self.mean += self._weight * error
        self.deviation += self._weight * (abs(error) - self.deviation)

    def upper(self, deviations: float) -> float:
        """Return the mean plus ``deviations`` times the mean deviation."""
        return self.mean + deviations * self.deviation


def share_of_limit(limit: int, live_nodes: int, headroom: float = 1.5) -> int:
    """Return one node's share of a backend server's limit, from 1 to the full limit.

    ``headroom`` lets the shares add up to more than the limit, because all nodes are
    seldom busy at the same server at once.
    """
    share = math.ceil(limit * headroom / max(1, live_nodes))
    return max(1, min(limit, share))
