"""The callers' interface: one request in, one whole answer or refusal out."""

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
    Standing,
    answer_response,
    problem_of,
    problem_response,
)
from .request_parsing import KEY_HEADER, read_request

__all__ = ["CallersInterface", "build_callers"]

FULL_RETRY_S = 0.5
START_RETRY_S = 1.0


class CallersInterface:
    """Handles callers' requests for one process."""

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
        """Answer ``GET /health``, which the balancer asks."""
        ready = self._configuration.follower.ready and not self._stopping.stopping
        state = "ready" if ready else "not ready"
        return web.json_response({"state": state}, status=200 if ready else 503)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        standing = self._standing()
        stream = AnswerStream(request, standing)
        keyed = KEY_HEADER in request.headers
        request_id = ""
        dispatched = False
        try:
            self._check_open()
            version = self._configuration.version
            call = await read_request(request, version, self.max_body)
            request_id = call.request_id
            keyed = call.key is not None and not call.pipeline.idempotent
            self._environment.dispatch.check_feasible(
                call, call.pipeline.stages, Outcome.NOT_RUN
            )
            dispatched = True
            return await self._run(call, stream, standing, keyed)
        except Refused as refused:
            if keyed and not dispatched:
                refused.before_claim()
            return await self._refuse(refused, request_id, stream, standing)
        except CallerGone:
            self._counters.count("caller.gone")
            return stream.response or web.Response()
        except (ConnectionResetError, asyncio.CancelledError):
            self._counters.count("caller.gone")
            raise
        except Exception as error:  # noqa: BLE001
            log(Part.CALLERS, "A request failed.", id=request_id, error=repr(error))
            refused = Refused(RefusalReason.INTERNAL_ERROR, Outcome.UNKNOWN)
            return await self._refuse(refused, request_id, stream, standing)

    def _check_open(self) -> None:
        if self._stopping.refusing:
            raise Refused(RefusalReason.NODE_STOPPING, Outcome.NOT_RUN, "", 0.0)
        if self._stopping.count > self._max_in_flight:
            raise Refused(RefusalReason.NODE_FULL, Outcome.NOT_RUN, "", FULL_RETRY_S)
        if not self._configuration.follower.ready:
            raise Refused(
                RefusalReason.NOT_CONFIGURED, Outcome.NOT_RUN, "", START_RETRY_S
            )

    async def _run(
        self,
        call: CallerRequest,
        stream: AnswerStream,
        standing: Standing,
        keyed: bool,
    ) -> web.StreamResponse:
        emit = stream.emit if call.stream else None
        if keyed:
            execution = self._execution(call, _unless_gone(emit))
            answer, replayed = await self._run_claimed(call, execution)
        else:
            answer, replayed = await self._execution(call, emit)(), False
        self._counters.count("answer.complete")
        if call.stream:
            return await stream.finish(answer)
        return answer_response(answer, standing, replayed)

    def _execution(
        self, call: CallerRequest, emit: Emit | None
    ) -> Callable[[], Awaitable[Any]]:
        async def execute() -> Any:
            note_cost = self._ledger.record
            result = await run_pipeline(self._environment, call, emit, note_cost)
            return msgspec.to_builtins(Answer.of(call.request_id, result))

        return execute

    async def _run_claimed(
        self, call: CallerRequest, execution: Callable[[], Awaitable[Any]]
    ) -> tuple[Any, bool]:
        # Goes on to its end if the caller goes away, so that a repeat finds the
        # answer; the stop of the process waits for it too.
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
        standing: Standing,
    ) -> web.StreamResponse:
        self._counters.count(f"refusal.{refused.reason.value}")
        self._counters.count(f"outcome.{refused.outcome.value}")
        problem = problem_of(refused, request_id)
        if stream.begun:
            return await stream.fail(problem)
        return problem_response(problem, standing)

    def _standing(self) -> Standing:
        follower = self._configuration.follower
        age_ms = int(follower.age() * 1000)
        return Standing(follower.revision, age_ms, self._node)


def _unless_gone(emit: Emit | None) -> Emit | None:
    """Return ``emit`` without its failure where the caller has gone away."""
    if emit is None:
        return None
    gone = False

    async def emit_unless_gone(text: str) -> None:
        nonlocal gone
        if gone:
            return
        try:
            await emit(text)
        except ConnectionResetError:
            gone = True

    return emit_unless_gone


def build_callers(interface: CallersInterface) -> web.Application:
    """Return the web application that callers and the balancer use."""
    app = web.Application(client_max_size=interface.max_body)
    path = "/v1/pipelines/{pipeline}/requests"
    app.router.add_post(path, interface.handle_request)
    app.router.add_get("/health", interface.handle_health)
    return app
