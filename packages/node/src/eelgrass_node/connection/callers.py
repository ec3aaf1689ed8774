"""The callers' HTTP interface: a complete answer or a refusal for every request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from ..exceptions import CallerGone, Refused
from ..log import Part, log
from ..process.claimed_requests import ClaimedRequests
from ..process.configuration import ConfigurationSync
from ..process.costs import CostLedger
from ..process.counters import Counters
from ..process.stopping import Stopping
from ..request.model import CallerRequest, Emit
from ..request.pipeline import run_pipeline
from ..request.reasons import Outcome, RefusalReason
from ..request.stages import StageEnvironment
from .replies import (
    Answer,
    AnswerStream,
    RevisionInfo,
    answer_response,
    problem_of,
    problem_response,
)
from .request_parsing import KEY_HEADER, read_request

__all__ = ["CallersInterface", "build_callers"]

NODE_FULL_RETRY_S = 0.5
NOT_CONFIGURED_RETRY_S = 1.0


class CallersInterface:
    """Handles callers' requests in this process."""

    def __init__(
        self,
        node: str,
        configuration: ConfigurationSync,
        environment: StageEnvironment,
        claimed: ClaimedRequests,
        ledger: CostLedger,
        counters: Counters,
        stopping: Stopping,
        max_body: int,
        max_in_flight: int,
    ) -> None:
        self._node = node
        self._configuration = configuration
        self._environment = environment
        self._claimed = claimed
        self._ledger = ledger
        self._counters = counters
        self._stopping = stopping
        self.max_body = max_body
        self._max_in_flight = max_in_flight

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/pipelines/{pipeline}/requests``."""
        with self._stopping.in_flight():
            response = await self._answer(request)
        if self._stopping.stopping:
            response.force_close()
        return response

    async def handle_health(self, request: web.Request) -> web.Response:
        """Answer ``GET /health``, the load balancer's health check."""
        ready = self._configuration.follower.ready and not self._stopping.stopping
        state = "ready" if ready else "not ready"
        return web.json_response({"state": state}, status=200 if ready else 503)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        revision_info = self._revision_info()
        stream = AnswerStream(request, revision_info)
        is_keyed = KEY_HEADER in request.headers
        request_id = ""
        dispatched = False
        try:
            self._check_accepting()
            version = self._configuration.version
            call = await read_request(request, version, self.max_body)
            request_id = call.request_id
            is_keyed = call.key is not None and not call.pipeline.idempotent
            self._environment.dispatch.check_feasible(
                call, call.pipeline.stages, Outcome.NOT_RUN
            )
            dispatched = True
            return await self._run(call, stream, revision_info, is_keyed)
        except Refused as refused:
            if is_keyed and not dispatched:
                refused.before_claim()
            return await self._refuse(refused, request_id, stream, revision_info)
        except CallerGone:
            self._counters.count("caller.gone")
            return stream.response or web.Response()
        except (ConnectionResetError, asyncio.CancelledError):
            self._counters.count("caller.gone")
            raise
        except Exception as error:  # noqa: BLE001
            log(
                Part.CALLERS,
                "A request failed with an unhandled error; it is answered as an "
                "internal error with an unknown outcome.",
                id=request_id,
                error=repr(error),
            )
            refused = Refused(RefusalReason.INTERNAL_ERROR, Outcome.UNKNOWN)
            return await self._refuse(refused, request_id, stream, revision_info)

    def _check_accepting(self) -> None:
        if self._stopping.refusing:
            raise Refused(RefusalReason.NODE_STOPPING, Outcome.NOT_RUN, "", 0.0)
        if self._stopping.count > self._max_in_flight:
            raise Refused(
                RefusalReason.NODE_FULL, Outcome.NOT_RUN, "", NODE_FULL_RETRY_S
            )
        if not self._configuration.follower.ready:
            raise Refused(
                RefusalReason.NOT_CONFIGURED,
                Outcome.NOT_RUN,
                "",
                NOT_CONFIGURED_RETRY_S,
            )

    async def _run(
        self,
        call: CallerRequest,
        stream: AnswerStream,
        revision_info: RevisionInfo,
        is_keyed: bool,
    ) -> web.StreamResponse:
        emit = None
        if call.stream:
            stream.reserve()
            emit = stream.emit
        if is_keyed:
            execution = self._execution(call, _ignore_disconnect(emit))
            answer, replayed = await self._run_claimed(call, execution)
        else:
            answer, replayed = await self._execution(call, emit)(), False
        self._counters.count("answer.complete")
        if call.stream:
            return await stream.finish(answer)
        return answer_response(answer, revision_info, replayed)

    def _execution(
        self, call: CallerRequest, emit: Emit | None
    ) -> Callable[[], Awaitable[Any]]:
        async def execute() -> Any:
            record_cost = self._ledger.record
            result = await run_pipeline(self._environment, call, emit, record_cost)
            return msgspec.to_builtins(Answer.of(call.request_id, result))

        return execute

    async def _run_claimed(
        self, call: CallerRequest, execution: Callable[[], Awaitable[Any]]
    ) -> tuple[Any, bool]:
        # Runs to completion even if the caller disconnects, so that a repeat finds the
        # answer. A planned stop waits for it as well.
        async def run() -> tuple[Any, bool]:
            with self._stopping.in_flight():
                return await self._claimed.run(call, execution)

        task = self._stopping.track(asyncio.create_task(run()))
        return await asyncio.shield(task)

    async def _refuse(
        self,
        refused: Refused,
        request_id: str,
        stream: AnswerStream,
        revision_info: RevisionInfo,
    ) -> web.StreamResponse:
        self._counters.count(f"refusal.{refused.reason.value}")
        self._counters.count(f"outcome.{refused.outcome.value}")
        problem = problem_of(refused, request_id)
        if stream.started:
            return await stream.fail(problem)
        return problem_response(problem, revision_info)

    def _revision_info(self) -> RevisionInfo:
        follower = self._configuration.follower
        age_ms = int(follower.age() * 1000)
        return RevisionInfo(follower.revision, age_ms, self._node)


def _ignore_disconnect(emit: Emit | None) -> Emit | None:
    """Return an ``emit`` that sends nothing more once the caller has disconnected."""
    if emit is None:
        return None
    disconnected = False

    async def emit_until_disconnect(text: str) -> None:
        nonlocal disconnected
        if disconnected:
            return
        try:
            await emit(text)
        except ConnectionResetError:
            disconnected = True

    return emit_until_disconnect


def build_callers(interface: CallersInterface) -> web.Application:
    """Return the web application for callers and the load balancer."""
    app = web.Application(client_max_size=interface.max_body)
    path = "/v1/pipelines/{pipeline}/requests"
    app.router.add_post(path, interface.handle_request)
    app.router.add_get("/health", interface.handle_health)
    return app
