"""The base class of backend server stand-ins, and pools and plain services."""

import asyncio
from typing import Any

import msgspec
from aiohttp import web

from .faults import (
    FaultAction,
    Faults,
    drop_connection,
    refusal_response,
    stay_silent,
)
from .journal import Journal, JournalEntry, Outcome

__all__ = ["BackendStandIn", "PoolStandIn", "build_pool"]

IDLE_POLL_INTERVAL_S = 0.02
STATE_HEADER = "Backend-State"
ATTEMPT_HEADER = "Attempt-Id"


class RunCall(msgspec.Struct):
    """The body of ``POST /v1/run``."""

    attempt_id: str
    operation: str
    account: str
    input: Any
    deadline_ms: float


class BackendStandIn:
    """A backend server with a limit on concurrent work, a journal and faults."""

    def __init__(self, backend_id: str, limit: int) -> None:
        self.backend_id = backend_id
        self.limit = limit
        self.leaving = False
        self.refuses_when_leaving = True
        self.faults = Faults()
        self.journal = Journal(backend_id)
        self.in_flight = 0

    async def refusal(self, request: web.Request) -> web.Response | None:
        """Return the refusal of a call that must not start, or None to accept it."""
        if response := await self.faults.before(request):
            return response
        if self.faults.take(request.path, FaultAction.LEAVING):
            self.leaving = True
        if self.leaving and self.refuses_when_leaving:
            return self._refuse(request, "leaving")
        if self.in_flight >= self.limit:
            return self._refuse(request, "overloaded")
        return None

    def _refuse(self, request: web.Request, reason: str) -> web.Response:
        return refusal_response(request, reason, self.headers())

    async def until_idle(self) -> None:
        """Wait until nothing is in flight."""
        while self.in_flight:  # noqa: ASYNC110
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)

    def headers(self) -> dict[str, str]:
        """Return the headers that every answer carries."""
        return {STATE_HEADER: "leaving" if self.leaving else "live"}

    async def handle_load(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/load``."""
        message = {"in_flight": self.in_flight, "limit": self.limit}
        return web.json_response(message, headers=self.headers())

    async def handle_leaving(self, request: web.Request) -> web.Response:
        """Answer ``POST /control/leaving``."""
        self.leaving = True
        return web.json_response({"ok": True})

    def add_routes(self, app: web.Application) -> None:
        """Add the routes that every backend server has.

        Each answer names the attempt of its call.
        """
        app.on_response_prepare.append(_name_attempt)
        app.router.add_post("/v1/load", self.handle_load)
        app.router.add_post("/control/leaving", self.handle_leaving)
        app.router.add_post("/control/faults", self.faults.handle_control)
        app.router.add_get("/control/journal", self.journal.handle)


class PoolStandIn(BackendStandIn):
    """A server of encoders, retrievers, rerankers or a plain service.

    Each call occupies one of ``limit`` workers for ``work_s`` seconds.
    """

    def __init__(self, backend_id: str, limit: int, work_s: float = 0.0) -> None:
        super().__init__(backend_id, limit)
        self.work_s = work_s

    async def handle_run(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/run``."""
        body = await request.read()
        if response := await self.refusal(request):
            return response
        call = msgspec.json.decode(body, type=RunCall)
        self.in_flight += 1
        entry = self.journal.start(
            call.attempt_id, call.operation, call.account, str(call.input)
        )
        outcome = Outcome.CANCELLED
        try:
            if self.work_s:
                await asyncio.sleep(self.work_s)
            entry.busy_ms = self.work_s * 1000
            outcome = Outcome.FINISHED
        finally:
            self.in_flight -= 1
            self.journal.finish(entry, outcome)
        return await self._answer(request, call, entry)

    async def _answer(
        self, request: web.Request, call: RunCall, entry: JournalEntry
    ) -> web.Response:
        if self.faults.take(request.path, FaultAction.SILENT):
            await stay_silent()
        if self.faults.take(request.path, FaultAction.DROP_ANSWER):
            drop_connection(request)
        attempt_id = call.attempt_id
        if self.faults.take(request.path, FaultAction.WRONG_ID):
            attempt_id = "attempt-of-another-request"
        message = {
            "attempt_id": attempt_id,
            "output": perform(call),
            "cost_ms": entry.busy_ms,
        }
        return web.json_response(message, headers=self.headers())


async def _name_attempt(request: web.Request, response: web.StreamResponse) -> None:
    attempt_id = request.headers.get(ATTEMPT_HEADER)
    if attempt_id is not None:
        response.headers[ATTEMPT_HEADER] = attempt_id


def perform(call: RunCall) -> Any:
    """Return the result of an operation.

    "retrieve" and "rerank" return a constant, and "encode" the length of the input
    modulo 97. The result of any other operation contains the input.
    """
    if call.operation == "encode":
        return {"vector": [len(str(call.input)) % 97, 1.0]}
    if call.operation == "retrieve":
        return {"documents": [f"sheet-{n}" for n in range(3)]}
    if call.operation == "rerank":
        return {"documents": ["sheet-0"]}
    return {"done": call.operation, "for": call.input}


def build_pool(pool: PoolStandIn) -> web.Application:
    """Return the web application of a pool or plain service."""
    app = web.Application(client_max_size=1 << 24)
    app.router.add_post("/v1/run", pool.handle_run)
    pool.add_routes(app)
    return app
