"""The walk of one routed request: decide, run its stages, call, answer.

There is one layer of repeats, and it is here. A call that surely did not run is
made again elsewhere; one that may have run only where the route allows it. Both
draw on the budget that all nodes share.
"""

import asyncio
from enum import Enum
from functools import cached_property

from aiohttp import web

from eelgrass_coordination import deadline_timeout, running_time

from ..exceptions import (
    CallerGone,
    CallFailed,
    RequestQuarantined,
    RequestRefused,
    StagesFailed,
)
from ..log import Part, log
from ..process.backends import Backend, ServerIncarnation
from ..process.batch_items import BatchItem, ItemOutcome
from ..process.crash_detector import Fingerprint
from ..process.server_choice import ServerCriteria
from ..version.deployment import RouteKind, ServiceName
from .caller_response import CallerAnswer
from .engine_call import EngineCall, Reply
from .events import EventSplitter
from .fingerprint import fingerprint_of
from .graph import StageGraph
from .incoming_request import ResponseHead, RoutedRequest
from .reasons import FAILING, LOST, SILENCES, SUSPICIOUS, UNCONNECTED, RetryReason
from .server_selection import admitted_server
from .serving_context import ServingContext

__all__ = ["ANSWER_MARGIN_S", "RequestExecution"]

# Calls that a server refuses unrun, or that never reached one, a request.
MAX_REFUSED_CALLS = 4
# The wait for the head of an answer, where another server may be asked: well
# over the time that a queue and a long prompt take when all is well.
STREAM_SILENCE_S = 2.5
PLAIN_SILENCE_S = 1.2
# A stream that may go on elsewhere is given up after this pause: callers leave
# after 2 s or more, and a pause over 0.8 s is late already.
STREAM_GAP_S = 1.8
# Time kept back, so that the answer reaches the caller before its deadline.
ANSWER_MARGIN_S = 0.03
# A model engine fetches the results of stages at once and reads its prompt then;
# 30 MB take 25 ms at the sheets' 10 Gbit/s. Results are freed after this, since
# memory for them is scarcer than anything else in a burst. One that is asked
# for later is gone, and the engine says so without having run.
RESULT_FETCH_S = 0.06
# When to come back, in seconds: a place comes free within a call or two.
RETRY_FULL_S = 0.4
# Callers wait at most a third of the time that they have left (the users'
# protocol); what they are told is spread upwards by up to a third.
RETRY_FRACTION = 0.25
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500


class Step(Enum):
    """Where a request is on its way, for the log line of its end."""

    ADMISSION = "admission"
    STAGES = "stages"
    CALL = "call"
    ANSWER = "answer"


class RequestExecution:
    """One request on its way; :meth:`serve` returns its answer."""

    def __init__(
        self, parts: ServingContext, routed: RoutedRequest, answer: CallerAnswer
    ) -> None:
        self._parts = parts
        self._routed = routed
        self._answer = answer
        self._tried: frozenset[ServerIncarnation] = frozenset()
        self._runs = 0
        self._refused_calls = 0
        self._may_have_run = False
        self._calling = False
        self._step = Step.ADMISSION
        self._staged_at = self._staged_awake = 0.0
        self._headed_at = 0.0
        self._fetched: asyncio.TimerHandle | None = None
        self._last_reply: Reply | None = None
        self._events = EventSplitter(routed.incoming.last_event_id)
        self._graph = StageGraph(
            routed,
            parts.plan(routed),
            self._run_items,
            parts.free_results,
            parts.data_centre_of,
            parts.has_ended,
            self._fingerprint if routed.route.stages else Fingerprint(""),
        )

    async def serve(self) -> web.StreamResponse:
        """Serve the request; raises :class:`CallerGone` where nobody waits."""
        self._parts.retries.record_requests(self._routed.service)
        try:
            async with deadline_timeout(self._routed.deadline):
                return await self._serve()
        except TimeoutError:
            return self._timed_out()
        except RequestRefused as refused:
            return self._refuse(refused)
        except (CallerGone, asyncio.CancelledError):
            self._log_end("The caller left.", at=self._step.value)
            raise
        finally:
            self._graph.release()

    async def _serve(self) -> web.StreamResponse:
        self._check_quarantine()
        hopeless_s = self._parts.infeasible_retry_after_s(self._routed)
        if hopeless_s is not None:
            raise RequestRefused("the stages have no room in time", hopeless_s)
        inputs = await self._run_stages()
        self._staged_at, self._staged_awake = _now(), running_time()
        if self._routed.route.stages:
            self._parts.metrics.record_stages(self._routed.route.name, self._age_s())
        while True:
            out_of_reach = self._parts.reach.is_suspected(self._inputs_at())
            if out_of_reach or self._graph.has_lost_results():
                # No server could fetch them.
                self._graph.release()
            if self._graph.released:
                inputs = await self._run_stages()
            self._check_quarantine()
            backend = await admitted_server(self._parts, self._criteria())
            backend.in_flight += 1
            self._calling = True
            try:
                return await self._call(backend, inputs)
            except CallFailed as failed:
                self._calling = False
                self._note_failure(backend, failed)
                self._check_again(failed)
                await self._parts.poison.crash_detector.wait_for_check(backend)
                if failed.reason is RetryReason.INPUT_GONE:
                    self._graph.release()
            finally:
                backend.in_flight -= 1

    async def _run_stages(self) -> tuple[str, ...]:
        if not self._routed.route.stages:
            return ()
        self._step = Step.STAGES
        try:
            return await self._graph.run()
        except StagesFailed as failed:
            raise RequestRefused(
                f"stages: {failed.failure.value}",
                max(failed.retry_after_s, RETRY_FULL_S),
            ) from failed

    async def _run_items(
        self, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        self._check_quarantine()
        return await self._parts.run_items(service, items)

    @cached_property
    def _fingerprint(self) -> Fingerprint:
        return fingerprint_of(self._routed)

    def _check_quarantine(self) -> None:
        """Raise :class:`RequestQuarantined` where no server should get the request."""
        quarantine = self._parts.poison.quarantine
        if quarantine and quarantine.is_quarantined(self._fingerprint):
            raise RequestQuarantined(
                self._fingerprint, quarantine.remaining_s(self._fingerprint)
            )

    def _inputs_at(self) -> str:
        return self._graph.inputs_at(self._routed.route.final_stages())

    def _criteria(self) -> ServerCriteria:
        routed = self._routed
        prefix_key = routed.incoming.prompt.prefix_key()
        shared_tokens = routed.incoming.prompt.shared_tokens()
        quarantine = self._parts.poison.quarantine
        if quarantine and quarantine.is_suspect(self._fingerprint):
            # Apart from those that lost the same server, so as to tell them apart.
            prefix_key, shared_tokens = self._fingerprint, 0
        return ServerCriteria(
            routed.service,
            prefix_key,
            shared_tokens,
            self._tried,
            self._inputs_at(),
            routed.regions,
        )

    async def _call(
        self, backend: Backend, inputs: tuple[str, ...]
    ) -> web.StreamResponse:
        routed = self._routed
        self._step = Step.CALL
        call = EngineCall(
            self._parts.codec,
            routed,
            backend,
            inputs,
            self._silence_s(),
            self._release_when_fetched,
            self._copy_from(backend),
        )
        began, began_awake = _now(), running_time()
        try:
            head = await call.open(self._events.last_id)
            self._step = Step.ANSWER
            self._headed_at = _now()
            if routed.route.stages:
                took_s = running_time() - self._staged_awake
                self._parts.final_call_latency.note(routed.route.name, took_s)
            self._parts.reach.record_answer(backend.entry.data_centre)
            if head.load is not None:
                backend.record_load(head.load[0], head.load[1])
            if routed.route.kind is RouteKind.STREAM and head.status < 300:
                return await self._relay(call, head, backend, began)
            reply = Reply(head, await call.read())
        finally:
            self._cancel_release()
            call.close()
        if head.status >= SERVER_ERROR and routed.route.repeatable:
            self._last_reply = reply
            raise CallFailed(RetryReason.BACKEND_ERROR, not_run=False)
        backend.record_call(running_time() - began_awake)
        backend.record_success(_now() - began)
        self._log_answered(backend, head)
        return self._answer.whole(reply)

    def _copy_from(self, backend: Backend) -> str | None:
        """Return the address of an engine that holds what this one would read."""
        prompt = self._routed.incoming.prompt
        warm = self._parts.copy_source(
            backend, prompt.prefix_key(), prompt.shared_tokens()
        )
        return None if warm is None else warm.entry.address

    def _release_when_fetched(self) -> None:
        loop = asyncio.get_running_loop()
        self._fetched = loop.call_later(RESULT_FETCH_S, self._graph.release)

    def _cancel_release(self) -> None:
        if self._fetched is not None:
            self._fetched.cancel()
            self._fetched = None

    async def _relay(
        self, call: EngineCall, head: ResponseHead, backend: Backend, began: float
    ) -> web.StreamResponse:
        await self._answer.begin(head)
        gap_s = STREAM_GAP_S if self._routed.route.resumable else float("inf")
        # A server that answers has fetched what it needs of the stages.
        self._graph.release()
        while True:
            data = await call.read_some(gap_s)
            if not data:
                break
            await self._answer.write(self._events.feed(data))
        if self._events.partial:
            raise CallFailed(RetryReason.STREAM_CUT, not_run=False)
        backend.record_success(_now() - began)
        self._log_answered(backend, head)
        return await self._answer.end()

    def _note_failure(self, backend: Backend, failed: CallFailed) -> None:
        self._tried |= {backend.entry.incarnation}
        self._events.restart()
        if failed.not_run:
            self._refused_calls += 1
        else:
            self._runs += 1
            self._may_have_run = True
        if failed.reason is RetryReason.BACKEND_REPLACED:
            self._parts.on_server_replaced(backend)
        elif failed.reason in SUSPICIOUS:
            backend.suspect()
            if failed.reason in FAILING:
                self._parts.on_server_failing(backend)
        if failed.reason is RetryReason.CONNECTION_SILENT:
            backend.connections.replace()
        if failed.reason in SILENCES:
            self._parts.reach.record_timeout(
                backend.entry.data_centre, backend.entry.id
            )
        log(
            Part.REQUESTS,
            "A call failed.",
            id=self._routed.incoming.request_id,
            route=self._routed.route.name,
            backend=backend.entry.id,
            reason=failed.reason.value,
            not_run=failed.not_run,
            at=self._step.value,
            events=self._events.events,
        )
        if failed.reason in LOST:
            self._parts.poison.crash_detector.on_connection_lost(
                backend, self._fingerprint
            )

    def _check_again(self, failed: CallFailed) -> None:
        """Raise :class:`RequestRefused` where the request may not be repeated."""
        routed = self._routed
        reason = failed.reason.value
        if not failed.not_run:
            if not routed.route.repeatable:
                raise RequestRefused(f"may have run: {reason}")
            if self._runs >= routed.route.max_attempts:
                raise RequestRefused(f"attempts used up: {reason}", RETRY_FULL_S)
        elif self._refused_calls >= MAX_REFUSED_CALLS:
            raise RequestRefused(f"refused by servers: {reason}", RETRY_FULL_S)
        # A call that reached no server is no load on any.
        reached = failed.reason not in UNCONNECTED
        if reached and not self._parts.retries.try_spend(
            routed.service, routed.incoming.request_id
        ):
            raise RequestRefused(f"retry budget spent: {reason}", RETRY_FULL_S)
        self._parts.count(f"retry.{reason}")

    def _silence_s(self) -> float:
        """Return how long a server may take before another one is asked."""
        route = self._routed.route
        if not route.repeatable or self._runs + 1 >= route.max_attempts:
            return float("inf")
        if route.kind is RouteKind.STREAM:
            return STREAM_SILENCE_S
        return PLAIN_SILENCE_S

    def _timed_out(self) -> web.StreamResponse:
        self._log_end("The deadline passed.")
        self._parts.count("refusal.deadline-passed")
        if self._may_have_run or self._calling:
            return self._answer.refusal(HTTP_GATEWAY_TIMEOUT, "the deadline passed")
        return self._answer.refusal(HTTP_UNAVAILABLE, "no server in time", RETRY_FULL_S)

    def _refuse(self, refused: RequestRefused) -> web.StreamResponse:
        self._log_end("Refused.", reason=refused.reason)
        if self._last_reply is not None and not self._answer.begun:
            # What a server answered is worth more than a refusal of our own.
            return self._answer.whole(self._last_reply)
        if self._may_have_run:
            self._parts.count("refusal.may-have-run")
            return self._answer.refusal(HTTP_BAD_GATEWAY, refused.reason)
        if isinstance(refused, RequestQuarantined):
            self._parts.count("refusal.quarantined")
            return self._answer.refusal(
                HTTP_UNAVAILABLE, refused.reason, refused.retry_after_s
            )
        self._parts.count("refusal.not-run")
        # A caller that is told to come back later than this cannot be served.
        latest_s = RETRY_FRACTION * (self._routed.deadline - _now())
        retry_after_s = min(refused.retry_after_s or RETRY_FULL_S, max(0.0, latest_s))
        return self._answer.refusal(HTTP_UNAVAILABLE, refused.reason, retry_after_s)

    def _log_answered(self, backend: Backend, head: ResponseHead) -> None:
        if self._parts.poison.quarantine and head.status < SERVER_ERROR:
            self._parts.poison.record_success(self._fingerprint)
        arrived_at = self._routed.incoming.arrived_at
        self._log_end(
            "Answered.",
            backend=backend.entry.id,
            status=head.status,
            load=head.load,
            staged_s=round(self._staged_at - arrived_at, 3),
            headed_s=round(self._headed_at - arrived_at, 3),
        )

    def _age_s(self) -> float:
        return _now() - self._routed.incoming.arrived_at

    def _log_end(self, sentence: str, **fields: object) -> None:
        routed = self._routed
        log(
            Part.REQUESTS,
            sentence,
            id=routed.incoming.request_id,
            route=routed.route.name,
            account=routed.account_name,
            runs=self._runs,
            refused_calls=self._refused_calls,
            may_have_run=self._may_have_run,
            took_s=round(self._age_s(), 3),
            **fields,
        )
        outcome = sentence.rstrip(".").lower().replace(" ", "_")
        self._parts.metrics.record_request(outcome, self._age_s())


def _now() -> float:
    return asyncio.get_running_loop().time()
