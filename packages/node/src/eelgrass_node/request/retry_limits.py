"""Counts the failed calls of one request, and limits how often it is retried."""

import asyncio

from ..exceptions import CallFailed, RequestRefused
from ..process.retry_budget import RetryBudgets
from ..version.deployment import RouteKind
from .incoming_request import RoutedRequest
from .reasons import FREE_RETRY_REASONS

__all__ = ["RETRY_FULL_S", "RetryLimits"]

# Calls per request that may be refused without being run, or not reach a server.
MAX_REFUSED_CALLS = 4
# Timeouts for the head of a response if another server can be tried, in seconds: well
# above what queueing and reading a long prompt take in normal operation.
STREAM_HEAD_TIMEOUT_S = 2.5
PLAIN_HEAD_TIMEOUT_S = 1.2
# The part of the time left in which a body has to end if another server can be tried.
BODY_FRACTION = 0.5
# Retry-After in seconds if the servers are full: a slot becomes free within a call or
# two.
RETRY_FULL_S = 0.4


class RetryLimits:
    """The failed calls of one request.

    ``runs`` counts those that may have run, and ``refused_calls`` those that certainly
    did not. Retries draw on the budget that all nodes share.
    """

    def __init__(self, routed: RoutedRequest, budgets: RetryBudgets) -> None:
        self._routed = routed
        self._budgets = budgets
        self.runs = 0
        self.refused_calls = 0
        # Whether the budget has granted the next retry, while the call before goes on.
        self._is_retry_reserved = False

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run in one of the failed calls."""
        return self.runs > 0

    def record_failure(self, failed: CallFailed) -> None:
        """Count a failed call."""
        if failed.not_run:
            self.refused_calls += 1
        else:
            self.runs += 1

    def check_retry(self, failed: CallFailed) -> None:
        """Raise :class:`RequestRefused` if the request may not be retried."""
        route = self._routed.route
        reason = failed.reason.value
        if not failed.not_run:
            if not route.repeatable:
                raise RequestRefused(f"the request may have run: {reason}")
            if self.runs >= route.max_attempts:
                raise RequestRefused(
                    f"the last permitted attempt failed: {reason}", RETRY_FULL_S
                )
        elif self.refused_calls >= MAX_REFUSED_CALLS:
            raise RequestRefused(
                f"too many calls did not run the request: {reason}", RETRY_FULL_S
            )
        # A call that reached no server puts no load on one, so that its retry needs no
        # budget.
        is_free = failed.reason in FREE_RETRY_REASONS
        if not is_free and not self._take_reserved_retry() and not self._try_spend():
            raise RequestRefused(
                f"the retry budget is exhausted: {reason}", RETRY_FULL_S
            )

    def body_timeout_s(self) -> float:
        """Return how long to wait for the end of a body before another server."""
        if not self.may_run_again():
            return float("inf")
        left_s = self._routed.deadline - asyncio.get_running_loop().time()
        return max(PLAIN_HEAD_TIMEOUT_S, BODY_FRACTION * left_s)

    def head_timeout_s(self) -> float:
        """Return how long to wait for a response head before trying another server."""
        route = self._routed.route
        if not self.may_run_again():
            return float("inf")
        if route.kind is RouteKind.STREAM:
            return STREAM_HEAD_TIMEOUT_S
        return PLAIN_HEAD_TIMEOUT_S

    def may_run_again(self) -> bool:
        """Return whether a request that has run once more may go to another server."""
        route = self._routed.route
        return route.repeatable and self.runs + 1 < route.max_attempts

    def may_reserve_retry(self) -> bool:
        """Return whether the budget may allow a retry; nothing is spent."""
        return self._is_retry_reserved or self._budgets.has_tokens(self._routed.service)

    def reserve_retry(self) -> bool:
        """Spend a token of the budget for the next retry, while a call still goes on.

        Return whether the retry is granted; it stays so until it is made.
        """
        self._is_retry_reserved = self._is_retry_reserved or self._try_spend()
        return self._is_retry_reserved

    def _take_reserved_retry(self) -> bool:
        is_reserved, self._is_retry_reserved = self._is_retry_reserved, False
        return is_reserved

    def _try_spend(self) -> bool:
        return self._budgets.try_spend(
            self._routed.service, self._routed.incoming.request_id
        )
