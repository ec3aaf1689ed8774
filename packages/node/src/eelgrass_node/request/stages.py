"""Runs one stage of a request: attempts, retries and their limits.

This is the only layer that retries. An attempt that did not run is retried at another
server; one that may have run is retried only if the stage is idempotent.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from eelgrass_coordination import RetryBudget, running_time
from eelgrass_coordination.ids import SoftwareVersion

from ..exceptions import Refused
from ..process.backends import Backend
from ..process.dispatch import Dispatch, ServiceQueue
from ..version import Stage, StageKind
from .attempt import Attempt, AttemptOutcome, AttemptResult, new_attempt_id, run_call
from .generation import Generation
from .model import CallerRequest, Emit, StageCost, StageResult
from .reasons import DiscardReason, Outcome, RefusalReason, RetryReason

__all__ = ["StageEnvironment", "StageRun"]

MAX_ATTEMPTS = 4
UNCOUNTED_REASONS = frozenset({RetryReason.BACKEND_LEAVING})
TIMEOUT_DEVIATIONS = 6.0
# A stage is not started with less than this fraction of its expected run time left.
MIN_RUN_FRACTION = 0.8


class StageEnvironment(msgspec.Struct, frozen=True):
    """The parts of the process that a stage uses, and callbacks to it.

    ``first_byte_floor_s`` and ``chunk_gap_floor_s`` are the shortest timeouts for a
    silent connection, in seconds: before the first byte and between chunks.
    """

    dispatch: Dispatch
    budget: RetryBudget
    first_byte_floor_s: float
    chunk_gap_floor_s: float
    on_retry: Callable[[RetryReason], None]
    on_discard: Callable[[DiscardReason], None]
    on_leaving: Callable[[Backend], None]
    on_cost_unknown: Callable[[Attempt], None]


class StageRun:
    """One stage of one request in progress.

    ``dispatched`` is whether an attempt that may have had an effect has started.
    """

    def __init__(
        self,
        environment: StageEnvironment,
        request: CallerRequest,
        stage: Stage,
        rest_s: float,
        emit: Emit | None,
    ) -> None:
        self._environment = environment
        self._request = request
        self._stage = stage
        self._rest_s = rest_s
        self._queue: ServiceQueue = environment.dispatch.queue(stage.service)
        self._tried: frozenset[str] = frozenset()
        self._generation = self._new_generation(emit)
        # The software version that wrote the chunks so far: those of another one do not
        # continue them.
        self._version: SoftwareVersion | None = None
        self.dispatched = False
        self.cost = StageCost(stage.name)

    async def run(self, stage_input: Any) -> StageResult:
        """Run the stage until its result is complete; raises :class:`Refused`."""
        self._environment.budget.record_request()
        while True:
            backend = await self._acquire()
            try:
                result = await self._attempt(backend, stage_input)
                if result.reason is RetryReason.BACKEND_OVERLOADED:
                    self._queue.on_refused_as_full(backend)
            finally:
                self._queue.release(backend)
            if result.outcome is AttemptOutcome.COMPLETED:
                backend.record_success()
                return StageResult(result.output, result.chunks)
            if result.reason is RetryReason.BACKEND_OVERLOADED:
                # The request returns to the queue, where it keeps its position by
                # priority and deadline: a full server does not count as a failure.
                self._environment.on_retry(result.reason)
                continue
            self._check_version(backend)
            if result.reason is not RetryReason.TOO_SLOW:
                backend.suspect()
            self._tried |= {backend.entry.id}
            self._check_retry(result)

    def _check_version(self, backend: Backend) -> None:
        """Note the version of the first chunks; raise :class:`Refused` if unknown."""
        if self._generation is None or not self._generation.chunks:
            return
        if backend.is_version_uncertain:
            raise Refused(
                RefusalReason.ATTEMPTS_EXHAUSTED,
                self._outcome(),
                f"The server of stage {self._stage.name!r} was restarted with another "
                "software version.",
                self._queue.retry_after(),
            )
        self._version = self._version or backend.entry.version

    async def _acquire(self) -> Backend:
        request = self._request
        min_run_s = self._queue.expected_run(self._stage) * MIN_RUN_FRACTION
        latest = request.deadline - self._rest_s - min_run_s
        try:
            return await self._queue.acquire(
                request, self._tried, latest, self._version
            )
        except TimeoutError as error:
            raise Refused(
                RefusalReason.DEADLINE_INFEASIBLE,
                self._outcome(),
                f"No server was available in time for stage {self._stage.name!r}.",
                self._queue.retry_after(),
            ) from error
        except Refused as refused:
            # Earlier attempts may have run, which the queue does not know.
            raise Refused(
                refused.reason, self._outcome(), refused.detail, refused.retry_after
            ) from refused

    async def _attempt(self, backend: Backend, stage_input: Any) -> AttemptResult:
        # Checked after the wait in the queue: the process may have stalled meanwhile,
        # and the caller may have given up long ago.
        if self._request.remaining() <= 0:
            raise Refused(RefusalReason.DEADLINE_PASSED, self._outcome())
        attempt = self._new_attempt(backend)
        started = running_time()
        was_dispatched = self.dispatched
        self.dispatched = True
        try:
            result = await self._run_attempt(attempt, stage_input)
        except BaseException:
            # Cancelled from outside; the cost is reported later, if at all.
            self.cost.attempts += 1
            self.cost.unreported += 1
            raise
        if result.outcome is AttemptOutcome.NOT_RUN:
            self.dispatched = was_dispatched
        self._record_cost(backend, result, running_time() - started)
        return result

    async def _run_attempt(self, attempt: Attempt, stage_input: Any) -> AttemptResult:
        if self._generation is not None:
            return await self._generation.run(attempt, stage_input)
        return await run_call(attempt, stage_input)

    def _new_attempt(self, backend: Backend) -> Attempt:
        environment = self._environment
        return Attempt(
            attempt_id=new_attempt_id(),
            request=self._request,
            stage=self._stage,
            backend=backend,
            idle_timeout_s=self._first_byte_timeout_s(),
            on_leaving=environment.on_leaving,
            on_discard=environment.on_discard,
            on_cost_unknown=environment.on_cost_unknown,
        )

    def _first_byte_timeout_s(self) -> float:
        remaining = max(0.001, self._request.remaining())
        if not self._stage.idempotent:
            # Giving up early gains nothing, because the stage may not be retried.
            return remaining
        average = self._queue.service_time_s
        if self._generation is not None:
            average = self._queue.first_token_s
        expected = average.upper(TIMEOUT_DEVIATIONS) * 2
        return min(remaining, max(self._environment.first_byte_floor_s, expected))

    def _record_cost(
        self, backend: Backend, result: AttemptResult, took_s: float
    ) -> None:
        cost = self.cost
        if result.reason is RetryReason.BACKEND_OVERLOADED:
            return
        cost.attempts += 1
        if result.outcome is AttemptOutcome.COMPLETED:
            cost.useful_ms += result.cost_ms or 0.0
            cost.tokens += result.chunks
        elif result.cost_ms is None:
            cost.unreported += 1
        else:
            cost.wasted_ms += result.cost_ms
        if result.outcome is not AttemptOutcome.NOT_RUN:
            backend.record_call(took_s)
            self._queue.service_time_s.record(took_s)

    def _check_retry(self, result: AttemptResult) -> None:
        reason = result.reason or RetryReason.BAD_ANSWER
        may_have_run = result.outcome is AttemptOutcome.UNKNOWN
        if may_have_run and not self._stage.idempotent:
            raise Refused(
                RefusalReason.STAGE_OUTCOME_UNKNOWN,
                Outcome.UNKNOWN,
                f"Stage {self._stage.name!r} failed: {reason.value}.",
            )
        if reason is RetryReason.TOO_SLOW or self._request.remaining() <= self._rest_s:
            raise Refused(
                RefusalReason.DEADLINE_PASSED,
                self._outcome(),
                f"Stage {self._stage.name!r} failed: {reason.value}.",
                self._queue.retry_after(),
            )
        if self.cost.attempts >= MAX_ATTEMPTS and reason not in UNCOUNTED_REASONS:
            raise self._give_up(RefusalReason.ATTEMPTS_EXHAUSTED, reason)
        if reason not in UNCOUNTED_REASONS and not self._environment.budget.try_spend():
            raise self._give_up(RefusalReason.RETRY_BUDGET_SPENT, reason)
        self._environment.on_retry(reason)

    def _give_up(self, refusal: RefusalReason, reason: RetryReason) -> Refused:
        detail = f"Stage {self._stage.name!r} failed: {reason.value}."
        return Refused(refusal, self._outcome(), detail, self._queue.retry_after())

    def _outcome(self) -> Outcome:
        if not self.dispatched:
            return Outcome.NOT_RUN
        return Outcome.NO_EFFECT if self._stage.idempotent else Outcome.UNKNOWN

    def _new_generation(self, emit: Emit | None) -> Generation | None:
        if self._stage.kind is not StageKind.GENERATE:
            return None
        expected = self._queue.token_interval_s.upper(TIMEOUT_DEVIATIONS) * 4
        chunk_gap_timeout_s = max(self._environment.chunk_gap_floor_s, expected)
        return Generation(
            emit,
            chunk_gap_timeout_s,
            self._queue.first_token_s,
            self._queue.token_interval_s,
        )
