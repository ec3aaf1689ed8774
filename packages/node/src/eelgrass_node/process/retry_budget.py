"""Retry budgets that all nodes share, by service.

In any window, the retries of all nodes may make up a ratio of the requests plus a
slack. Each node uses the ratio of its own requests and its share of the slack
(:mod:`.budget_shares`), so that the sum over the nodes keeps the limit without
coordination.

Each process has a token bucket for each service. Its capacity is a part of what a
window allows; the rest accrues with requests and with time. In any window a process
therefore spends at most that part of the previous window's allowance, and the rest of
the window's own allowance. A bucket starts empty, so that the sum stays the same when a
process replaces another one, or takes over its requests.

A node that gets most of the requests may borrow from nodes that get few
(:mod:`.retry_loans`). What is lent leaves the lender's bucket, and is lost if it is not
used at once, so that the sum over the nodes stays the same.

In a large deployment the share of a node may be less than one retry. A bucket whose
capacity is less than one token grants retries at random: its tokens are the
probability of a retry.
"""

import random
from collections import deque
from collections.abc import Callable

from ..log import Part, log

__all__ = ["RetryBudgets"]

# The part of the allowance that is used. The limit counts a retry when it arrives,
# which is later than it is counted here.
USED_FRACTION = 0.9
# The parts of the slack and of the ratio that can be saved up for bursts of failures;
# the rest is for failures that persist.
SAVED_SLACK_FRACTION = 0.5
SAVED_RATIO_FRACTION = 0.25
# Reduces the probability of random grants, so that many nodes that grant at the same
# time do not exceed the limit.
DRAWN_FRACTION = 0.6
# The part of its tokens that a node lends to a busier one, and how much busier that
# must be.
LENT_FRACTION = 0.5
BUSIER_FACTOR = 2
# Borrowed tokens are used within this time: later ones would count in another window
# than the lender's.
LOAN_S = 1.0


class RetryBudgets:
    """The budgets of one process; times are of ``clock``, in seconds.

    ``sharing_nodes`` is the number of nodes that share the slack. While it is None
    (unknown), no slack is used; that of this time accrues as soon as the number is
    known. ``draw`` returns a random number from 0 to 1.
    ``on_exhausted`` is called with a service whose bucket is empty.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        clock: Callable[[], float],
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._ratio = ratio * USED_FRACTION
        self._slack = slack * USED_FRACTION
        self._window_s = window_s
        self._clock = clock
        self._draw = draw
        self._started_at = clock()
        self._bucket_by_service: dict[str, _Bucket] = {}
        self.sharing_nodes: int | None = None
        self.on_exhausted: Callable[[str], None] = lambda service: None

    def record_requests(self, service: str, count: int = 1) -> None:
        """Count requests for a service, or batch items for one that runs stages."""
        now = self._clock()
        bucket = self._refilled(service, now)
        bucket.record_requests(now, count)
        bucket.tokens += (1 - SAVED_RATIO_FRACTION) * self._ratio * count

    def try_spend(self, service: str, request_id: str) -> bool:
        """Take a token for a retry; return whether there was one."""
        bucket = self._refilled(service, self._clock())
        tokens, borrowed = bucket.tokens, bucket.borrowed
        granted = self._take_token(bucket) or self._take_borrowed(bucket)
        log(
            Part.REQUESTS,
            "A retry is allowed." if granted else "The retry budget is exhausted.",
            id=request_id,
            service=service,
            requests=bucket.requested,
            tokens=round(tokens, 2),
            borrowed=round(borrowed, 2),
            capacity=round(self._capacity(bucket), 2),
            nodes=self.sharing_nodes,
        )
        if not granted:
            bucket.exhausted_at = self._clock()
            self.on_exhausted(service)
        return granted

    def has_tokens(self, service: str) -> bool:
        """Return whether a retry may be allowed now; without tokens some are asked for.

        Nothing is spent, so another request may take the token first.
        """
        bucket = self._refilled(service, self._clock())
        is_drawn = self._capacity(bucket) < 1 and bucket.tokens > 0
        has_tokens = is_drawn or bucket.tokens >= 1 or bucket.borrowed >= 1
        if not has_tokens:
            bucket.exhausted_at = self._clock()
            self.on_exhausted(service)
        return has_tokens

    def requested(self, service: str) -> int:
        """Return the number of requests for a service in the last window."""
        return self._refilled(service, self._clock()).requested

    def lend(self, service: str, requested: int) -> float:
        """Give up tokens for a node that got ``requested`` requests; return how many.

        Nothing is lent to a node that is not much busier, or while this node needs its
        tokens itself.
        """
        now = self._clock()
        bucket = self._refilled(service, now)
        if requested < BUSIER_FACTOR * max(1, bucket.requested):
            return 0.0
        if now - bucket.exhausted_at < self._window_s:
            return 0.0
        lent = bucket.tokens * LENT_FRACTION
        bucket.tokens -= lent
        return lent

    def borrow(self, service: str, tokens: float) -> None:
        """Add tokens that another node has lent."""
        now = self._clock()
        bucket = self._refilled(service, now)
        bucket.borrowed += tokens
        bucket.borrowed_until = now + LOAN_S

    def _take_borrowed(self, bucket: "_Bucket") -> bool:
        if bucket.borrowed < 1:
            return False
        bucket.borrowed -= 1
        return True

    def _take_token(self, bucket: "_Bucket") -> bool:
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return True
        if self._capacity(bucket) >= 1:
            return False
        granted = self._draw() < bucket.tokens * DRAWN_FRACTION
        bucket.tokens = 0.0
        return granted

    def _refilled(self, service: str, now: float) -> "_Bucket":
        """Return the bucket of a service, refilled up to ``now``."""
        bucket = self._bucket_by_service.get(service)
        if bucket is None:
            bucket = self._bucket_by_service[service] = _Bucket(self._started_at)
        bucket.forget_before(now - self._window_s)
        if now >= bucket.borrowed_until:
            bucket.borrowed = 0.0
        accrued = 0.0
        if self.sharing_nodes is not None:
            passed = (now - bucket.refilled_at) / self._window_s
            bucket.refilled_at = now
            accrued = (1 - SAVED_SLACK_FRACTION) * self._slack_share() * passed
        bucket.tokens = min(bucket.tokens + accrued, self._capacity(bucket))
        return bucket

    def _capacity(self, bucket: "_Bucket") -> float:
        """Return how many tokens a bucket can hold."""
        saved_slack = SAVED_SLACK_FRACTION * self._slack_share()
        return saved_slack + SAVED_RATIO_FRACTION * self._ratio * bucket.requested

    def _slack_share(self) -> float:
        return self._slack / self.sharing_nodes if self.sharing_nodes else 0.0


class _Bucket:
    """The tokens of one service, and how much was ``requested`` in the last window.

    ``refilled_at`` is the time up to which the tokens that accrue with time were added.
    """

    def __init__(self, filled_since: float) -> None:
        self.tokens = 0.0
        self.borrowed = 0.0
        self.borrowed_until = float("-inf")
        self.exhausted_at = float("-inf")
        self.refilled_at = filled_since
        self.requested = 0
        self._counts: deque[tuple[float, int]] = deque()

    def record_requests(self, now: float, count: int) -> None:
        """Count requests that arrive now."""
        self._counts.append((now, count))
        self.requested += count

    def forget_before(self, time: float) -> None:
        """Drop the requests that arrived before a time."""
        while self._counts and self._counts[0][0] < time:
            self.requested -= self._counts.popleft()[1]
