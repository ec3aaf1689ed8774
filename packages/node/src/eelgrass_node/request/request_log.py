"""The log line and the metric with which a request ends."""

import asyncio

from ..log import Part, log
from .incoming_request import RoutedRequest
from .retry_limits import RetryLimits
from .serving_context import ServingContext

__all__ = ["RequestLog"]


class RequestLog:
    """Reports how one request ended."""

    def __init__(
        self, context: ServingContext, routed: RoutedRequest, limits: RetryLimits
    ) -> None:
        self._context = context
        self._routed = routed
        self._limits = limits

    def elapsed_s(self) -> float:
        """Return the seconds since the request arrived."""
        return asyncio.get_running_loop().time() - self._routed.incoming.arrived_at

    def end(self, sentence: str, **fields: object) -> None:
        """Log the end; the sentence becomes a label value of the metric."""
        routed = self._routed
        log(
            Part.REQUESTS,
            sentence,
            id=routed.incoming.request_id,
            route=routed.route.name,
            account=routed.account_name,
            resumes=routed.incoming.resumes,
            runs=self._limits.runs,
            refused_calls=self._limits.refused_calls,
            may_have_run=self._limits.may_have_run,
            took_s=round(self.elapsed_s(), 3),
            **fields,
        )
        outcome = sentence.rstrip(".").lower().replace(" ", "_")
        self._context.metrics.record_request(outcome, self.elapsed_s())

    def end_without_answer(self, sentence: str, is_cut: bool, **fields: object) -> None:
        """Log the end of a request that is refused, or whose answer is cut."""
        if is_cut:
            self._context.count("answer.cut")
        self.end(sentence, is_cut=is_cut, **fields)
