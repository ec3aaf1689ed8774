"""Executes one routed request: admission, stages, call to a server, response.

This is the only layer that retries. A call that certainly did not run is retried at
another server; one that may have run is retried only if the route allows it. Both
kinds of retry draw on the budget that all nodes share.
"""

import asyncio
from enum import Enum

from aiohttp import web

from eelgrass_coordination import deadline_timeout, running_time
from eelgrass_coordination.ids import BackendId

from ..exceptions import (
    CallerGone,
    CallFailed,
    RequestRefused,
    ServersLimited,
    ServersResting,
    StagesFailed,
)
from ..log import Part, log
from ..process.backends import Backend, ServerIncarnation
from ..process.batch_items import BatchItem, ItemOutcome
from ..process.crash_detector import Fingerprint
from ..process.server_choice import ServerCriteria
from ..version.deployment import RouteKind, ServiceName
from .call_failures import record_failure
from .caller_response import CallerResponse
from .engine_call import EngineCall, Reply
from .events import EventSplitter
from .failover import Failover
from .graph import StageGraph
from .incoming_request import ResponseHead, RoutedRequest
from .quarantine_check import QuarantineCheck
from .reasons import POSSIBLE_CRASH_REASONS, RetryReason
from .request_log import RequestLog
from .retry_limits import RETRY_FULL_S, RetryLimits
from .server_selection import select_server
from .serving_context import ServingContext
from .stream_version import StreamVersion

__all__ = ["ANSWER_MARGIN_S", "RequestExecution"]

# After this gap, in seconds, a stream that can be resumed looks for another server:
# callers leave after 2 s or more, and a gap of over 0.8 s already misses its target.
STREAM_IDLE_TIMEOUT_S = 1.8
# Time reserved so that the response reaches the caller before its deadline.
ANSWER_MARGIN_S = 0.03
# A model engine first fetches the results of the stages and then reads its prompt;
# 30 MB take 25 ms at 10 Gbit/s. Results are freed after this time, because memory for
# them is the scarcest resource in a burst. If an engine asks for a freed result, it
# reports it as gone without having run the request.
RESULT_FETCH_S = 0.06
# By the callers' protocol, callers wait for at most a third of the time that they have
# left, and Retry-After is lengthened at random by up to a third.
RETRY_FRACTION = 0.25
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
HTTP_SERVER_ERROR = 500


class Step(Enum):
    """The step that a request has reached, for the log lines of failures."""

    ADMISSION = "admission"
    STAGES = "stages"
    CALL = "call"
    ANSWER = "answer"


class RequestExecution:
    """The execution of one request; :meth:`serve` returns the response."""

    def __init__(
        self, context: ServingContext, routed: RoutedRequest, answer: CallerResponse
    ) -> None:
        self._context = context
        self._routed = routed
        self._answer = answer
        self._tried: frozenset[ServerIncarnation] = frozenset()
        self._limits = RetryLimits(routed, context.retries)
        self._log = RequestLog(context, routed, self._limits)
        self._quarantine = QuarantineCheck(context, routed)
        self._calling = False
        self._step = Step.ADMISSION
        self._staged_at = self._staged_running_s = self._headed_at = 0.0
        self._copied_from: BackendId | None = None
        self._release_timer: asyncio.TimerHandle | None = None
        self._events = EventSplitter(routed.incoming.last_event_id)
        self._stream_version = StreamVersion(routed, context)
        self._graph = StageGraph(
            routed,
            context.plan(routed),
            self._run_items,
            context.free_results,
            context.data_centre_of,
            context.has_ended,
            self._quarantine.fingerprint if routed.route.stages else Fingerprint(""),
        )
        self._failover = Failover(
            context,
            routed,
            self._limits,
            self._graph,
            self._stream_version,
            self._criteria,
        )

    async def serve(self) -> web.StreamResponse:
        """Serve the request; raises :class:`CallerGone` if the caller has left."""
        self._context.retries.record_requests(self._routed.service)
        try:
            async with deadline_timeout(self._routed.deadline):
                return await self._serve()
        except TimeoutError:
            return self._timed_out()
        except RequestRefused as refused:
            return self._refuse(refused)
        except (CallerGone, asyncio.CancelledError):
            self._log.end("The caller left.", at=self._step.value)
            raise
        finally:
            self._failover.release()
            self._graph.release()
            self._stream_version.release()

    async def _serve(self) -> web.StreamResponse:
        await self._quarantine.check()
        rest_s = self._context.stages_rest_s(self._routed)
        if rest_s:
            raise ServersResting(rest_s)
        retry_after_s = self._context.infeasible_retry_after_s(self._routed)
        if retry_after_s is not None:
            raise RequestRefused(
                "the stages cannot be completed in time", retry_after_s
            )
        if self._routed.route.stages:
            self._check_available()
        inputs = await self._run_stages()
        self._staged_at, self._staged_running_s = _now(), running_time()
        if self._routed.route.stages:
            self._context.metrics.record_stages(
                self._routed.route.name, self._log.elapsed_s()
            )
        while True:
            inputs_unreachable = self._context.reachability.is_suspected(
                self._inputs_data_centre()
            )
            if self._failover.is_secured:
                # The server that was secured needs them.
                inputs_unreachable = False
            if inputs_unreachable or self._graph.has_lost_results():
                # No server could fetch the results, so they are recomputed.
                self._graph.release()
            if self._graph.released or self._failover.is_secured:
                inputs = await self._run_stages()
            await self._quarantine.check()
            secured = self._failover.take()
            backend = secured or await select_server(
                self._context, self._criteria(), may_wait=self._has_work_to_lose()
            )
            backend.in_flight += 1
            try:
                if secured is None:
                    # Otherwise it has been checked before the call was given up.
                    backend = await self._stream_version.confirmed_server(
                        self._context, self._criteria(), backend
                    )
                return await self._call(backend, inputs)
            except CallFailed as failed:
                self._calling = False
                self._record_failure(backend, failed)
                await self._stream_version.check_continuation(backend)
                if not self._failover.is_secured:
                    self._check_available()
                self._limits.check_retry(failed)
                self._context.count(f"retry.{failed.reason.value}")
                await self._context.poison_requests.crash_detector.wait_for_check(
                    backend
                )
                if failed.reason is RetryReason.INPUT_GONE:
                    self._graph.release()
            finally:
                backend.in_flight -= 1

    def _check_available(self) -> None:
        """Refuse the request before its stages do work that would be wasted."""
        refusal = self._context.unavailable(self._criteria())
        may_wait = isinstance(refusal, ServersLimited) and self._has_work_to_lose()
        if refusal is not None and not may_wait:
            raise refusal

    def _has_work_to_lose(self) -> bool:
        """Return whether a refusal would waste events, or the results of stages."""
        has_results = bool(self._routed.route.stages) and self._staged_at > 0
        return self._answer.has_begun or (has_results and not self._graph.released)

    async def _run_stages(self) -> tuple[str, ...]:
        if not self._routed.route.stages:
            return ()
        self._step = Step.STAGES
        try:
            return await self._graph.run()
        except StagesFailed as failed:
            if failed.is_resting:
                raise ServersResting(failed.retry_after_s) from failed
            raise RequestRefused(
                f"a stage failed: {failed.failure.value}",
                max(failed.retry_after_s, RETRY_FULL_S),
            ) from failed

    async def _run_items(
        self, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        await self._quarantine.check()
        return await self._context.run_items(service, items)

    def _inputs_data_centre(self) -> str:
        return self._graph.inputs_data_centre(self._routed.route.final_stages())

    def _criteria(self) -> ServerCriteria:
        routed = self._routed
        prefix_key = routed.incoming.prompt.prefix_key()
        shared_tokens = routed.incoming.prompt.shared_tokens()
        if self._quarantine.is_suspect:
            # Placed by its own key and not by its prefix, to keep it apart from the
            # other requests that ran on the crashed server: the next crash then shows
            # which of them causes it.
            prefix_key, shared_tokens = self._quarantine.fingerprint, 0
        return ServerCriteria(
            routed.service,
            prefix_key,
            shared_tokens,
            self._tried,
            self._inputs_data_centre(),
            routed.regions,
            self._stream_version.version,
        )

    async def _call(
        self, backend: Backend, inputs: tuple[str, ...]
    ) -> web.StreamResponse:
        routed = self._routed
        self._step = Step.CALL
        call = EngineCall(
            self._context.codec,
            routed,
            backend,
            inputs,
            self._limits.head_timeout_s(),
            self._on_sent,
            self._copy_from(backend),
            self._limits.body_timeout_s(),
            self._failover.wait_for(backend),
            self._answer.reserve,
            may_reuse=not self._tried,
        )
        began, began_running_s = _now(), running_time()
        try:
            head = await call.open(self._events.last_id)
            self._step = Step.ANSWER
            self._headed_at = _now()
            if routed.route.stages:
                took_s = running_time() - self._staged_running_s
                self._context.final_call_latency.record(routed.route.name, took_s)
            self._context.reachability.record_answer(backend.entry.data_centre)
            if head.load is not None:
                backend.record_load(head.load[0], head.load[1])
            if routed.route.kind is RouteKind.STREAM and head.status < 300:
                return await self._forward_stream(call, head, backend, began)
            reply = Reply(head, await call.read())
        finally:
            self._cancel_release()
            call.close()
        if head.status >= HTTP_SERVER_ERROR and routed.route.repeatable:
            self._answer.keep(reply)
            raise CallFailed(RetryReason.BACKEND_ERROR, not_run=False)
        backend.record_call(running_time() - began_running_s)
        backend.record_success(_now() - began)
        self._log_answered(backend, head)
        return self._answer.complete(reply)

    def _copy_from(self, backend: Backend) -> str | None:
        """Return the address of an engine from which to copy the cached prefix."""
        prompt = self._routed.incoming.prompt
        source = self._context.copy_source(
            backend, prompt.prefix_key(), prompt.shared_tokens()
        )
        self._copied_from = None if source is None else source.entry.id
        return None if source is None else source.entry.address

    def _on_sent(self) -> None:
        self._calling = True
        if not self._routed.route.stages:
            return
        loop = asyncio.get_running_loop()
        self._release_timer = loop.call_later(RESULT_FETCH_S, self._graph.release)

    def _cancel_release(self) -> None:
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None

    async def _forward_stream(
        self, call: EngineCall, head: ResponseHead, backend: Backend, began: float
    ) -> web.StreamResponse:
        await self._answer.begin(head)
        idle_timeout_s = (
            STREAM_IDLE_TIMEOUT_S if self._routed.route.resumable else float("inf")
        )
        # A server that has begun its response has fetched the results of the stages.
        self._graph.release()
        while True:
            data = await call.read_some(idle_timeout_s)
            if not data:
                break
            self._stream_version.check_server(backend)
            events = self._events.feed(data)
            if events:
                await self._stream_version.begin_events(backend)
                self._quarantine.record_events(backend, self._headed_at)
            await self._answer.write(events)
        if self._events.partial:
            raise CallFailed(RetryReason.STREAM_CUT, not_run=False)
        backend.record_success(_now() - began)
        self._log_answered(backend, head)
        return self._answer.end()

    def _record_failure(self, backend: Backend, failed: CallFailed) -> None:
        self._tried |= {backend.entry.incarnation}
        self._events.restart()
        self._limits.record_failure(failed)
        log(
            Part.REQUESTS,
            "A call to a backend server failed.",
            id=self._routed.incoming.request_id,
            route=self._routed.route.name,
            backend=backend.entry.id,
            version=backend.entry.version,
            reason=failed.reason.value,
            not_run=failed.not_run,
            at=self._step.value,
            events=self._events.events,
            prompt_parts=self._routed.incoming.prompt.shared_parts(),
        )
        record_failure(self._context, backend, failed)
        if failed.reason in POSSIBLE_CRASH_REASONS:
            self._quarantine.record_lost_server(backend)
        self._quarantine.end_trial()

    def _timed_out(self) -> web.StreamResponse:
        self._log.end_without_answer("The deadline passed.", self._answer.has_begun)
        self._context.count("refusal.deadline-passed")
        if self._limits.may_have_run or self._calling:
            return self._answer.refusal(HTTP_GATEWAY_TIMEOUT, "the deadline passed")
        return self._answer.refusal(
            HTTP_UNAVAILABLE,
            "the deadline passed before a server ran the request",
            RETRY_FULL_S,
        )

    def _refuse(self, refused: RequestRefused) -> web.StreamResponse:
        self._log.end_without_answer(
            "Refused.", self._answer.has_begun, reason=refused.reason
        )
        if self._answer.kept is not None and not self._answer.has_begun:
            # A server's error response says more than a refusal by the node.
            return self._answer.complete(self._answer.kept)
        if self._limits.may_have_run:
            self._context.count("refusal.may-have-run")
            return self._answer.refusal(HTTP_BAD_GATEWAY, refused.reason)
        self._context.count(f"refusal.{refused.counter}")
        retry_after_s = refused.retry_after_s
        if not refused.is_time_fixed:
            # Callers that retry later than this have too little time left to be served.
            latest_s = RETRY_FRACTION * (self._routed.deadline - _now())
            retry_after_s = min(retry_after_s or RETRY_FULL_S, max(0.0, latest_s))
        return self._answer.refusal(HTTP_UNAVAILABLE, refused.reason, retry_after_s)

    def _log_answered(self, backend: Backend, head: ResponseHead) -> None:
        self._quarantine.record_answered(backend, head, self._headed_at)
        arrived_at = self._routed.incoming.arrived_at
        self._log.end(
            "Answered.",
            backend=backend.entry.id,
            version=backend.entry.version,
            status=head.status,
            load=head.load,
            copied_from=self._copied_from,
            staged_s=round(self._staged_at - arrived_at, 3),
            headed_s=round(self._headed_at - arrived_at, 3),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
