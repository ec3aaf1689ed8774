"""Stand-in for a model engine: continuous batching, streams and a prefix cache."""

import asyncio
import time
import zlib
from collections import OrderedDict, deque
from typing import Any

import msgspec
from aiohttp import web

from .backend import BackendStandIn
from .faults import FaultAction, drop_connection, stay_silent
from .journal import JournalEntry, Outcome

__all__ = ["EngineStandIn", "build_engine"]

CACHED_PREFIXES = 64
STREAM_RETENTION_S = 10.0
PREFIX_CHARACTERS = 64
VOCABULARY = 997


class GenerateCall(msgspec.Struct):
    """The body of ``POST /v1/generate``.

    ``emitted`` is the number of chunks that the caller already has; the stream starts
    with the next one.
    """

    attempt_id: str
    account: str
    model: str
    prompt: str
    max_tokens: int
    deadline_ms: float
    adapter: str = ""
    priority: int = 0
    emitted: int = 0


class ResumeCall(msgspec.Struct):
    """The body of ``POST /v1/resume`` and ``POST /v1/cancel``."""

    attempt_id: str
    from_seq: int = 0


class Order(msgspec.Struct):
    """The body of ``POST /v1/orders``: the desired state of the engine."""

    fencing: int
    models: list[str]
    role: str = "generate"


class _Sequence:
    """A generation that is running, or finished and kept for a resume."""

    def __init__(self, call: GenerateCall, entry: JournalEntry, prefill: int) -> None:
        self.call = call
        self.entry = entry
        self.prefill_steps = prefill
        self.seed = zlib.crc32(call.prompt.encode())
        self.chunks: list[str] = []
        self.done = False
        self.advanced = asyncio.Event()

    @property
    def total(self) -> int:
        return self.call.max_tokens - self.call.emitted

    def step(self, busy_share_ms: float) -> None:
        self.entry.busy_ms += busy_share_ms
        if self.prefill_steps > 0:
            self.prefill_steps -= 1
            return
        index = self.call.emitted + len(self.chunks)
        self.chunks.append(f"w{(self.seed + index * 31) % VOCABULARY} ")
        self.entry.tokens += 1
        self.done = len(self.chunks) >= self.total
        self.advanced.set()


class EngineStandIn(BackendStandIn):
    """A model engine that decodes all running sequences in common steps.

    A step takes ``step_s`` seconds and 2% more per running sequence. With
    ``checks_fencing``, the engine refuses orders with an outdated fencing number.
    """

    def __init__(
        self,
        backend_id: str,
        limit: int = 16,
        step_s: float = 0.004,
        checks_fencing: bool = True,
    ) -> None:
        super().__init__(backend_id, limit)
        self.step_s = step_s
        self.checks_fencing = checks_fencing
        self.models: list[str] = []
        self.fencing = 0
        self.orders: list[Order] = []
        self.busy_ms = 0.0
        self._by_attempt: dict[str, _Sequence] = {}
        self._running: list[_Sequence] = []
        self._waiting: deque[_Sequence] = deque()
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._stepper: asyncio.Task | None = None

    async def handle_generate(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/generate`` with a stream of JSON lines."""
        body = await request.read()
        if response := await self.refusal(request):
            return response
        call = msgspec.json.decode(body, type=GenerateCall)
        sequence = self._start(call)
        try:
            return await self._stream(request, sequence, 0)
        finally:
            self.in_flight -= 1

    async def handle_resume(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/resume`` with the rest of a stream that is still kept."""
        call = msgspec.json.decode(await request.read(), type=ResumeCall)
        sequence = self._by_attempt.get(call.attempt_id)
        if sequence is None:
            message = {"error": "no such stream", "started": False}
            return web.json_response(message, status=404)
        return await self._stream(request, sequence, call.from_seq)

    async def handle_cancel(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/cancel``."""
        call = msgspec.json.decode(await request.read(), type=ResumeCall)
        if delay := self.faults.take(request.path, FaultAction.DELAY):
            await asyncio.sleep(delay.delay_s)
        sequence = self._by_attempt.get(call.attempt_id)
        if sequence is not None:
            self._cancel(sequence)
        cost_ms = None if sequence is None else sequence.entry.busy_ms
        return web.json_response(
            {"cancelled": sequence is not None, "cost_ms": cost_ms}
        )

    async def handle_order(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/orders``."""
        order = msgspec.json.decode(await request.read(), type=Order)
        if self.checks_fencing and order.fencing < self.fencing:
            message = {"error": "old fencing number", "fencing": self.fencing}
            return web.json_response(message, status=409)
        self.fencing = order.fencing
        self.orders.append(order)
        self.models = order.models
        return web.json_response({"models": self.models, "fencing": self.fencing})

    def _start(self, call: GenerateCall) -> _Sequence:
        self.in_flight += 1
        entry = self.journal.start(
            call.attempt_id, "generate", call.account, call.prompt
        )
        sequence = _Sequence(call, entry, self._prefill_steps(call.prompt))
        self._by_attempt[call.attempt_id] = sequence
        self._running.append(sequence)
        if self._stepper is None:
            self._stepper = asyncio.create_task(self._run())
        return sequence

    def _prefill_steps(self, prompt: str) -> int:
        prefix = prompt[:PREFIX_CHARACTERS]
        cached = prefix in self._prefixes
        self._prefixes[prefix] = len(prompt)
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return 1 if cached else 1 + len(prompt) // 400

    async def _run(self) -> None:
        while self._running:
            step_s = self.step_s * (1 + 0.02 * len(self._running))
            started = time.monotonic()
            await asyncio.sleep(step_s)
            self._step((time.monotonic() - started) * 1000)
        self._stepper = None

    def _step(self, took_ms: float) -> None:
        self.busy_ms += took_ms
        busy_share_ms = took_ms / max(1, len(self._running))
        for sequence in self._running:
            sequence.step(busy_share_ms)
            if sequence.done:
                self.journal.finish(sequence.entry, Outcome.FINISHED)
                self._forget_later(sequence)
        self._running = [item for item in self._running if not item.done]

    def _cancel(self, sequence: _Sequence) -> None:
        if sequence.done:
            return
        sequence.done = True
        sequence.advanced.set()
        self._running = [item for item in self._running if item is not sequence]
        self.journal.finish(sequence.entry, Outcome.CANCELLED)
        self._forget_later(sequence)

    def _forget_later(self, sequence: _Sequence) -> None:
        loop = asyncio.get_running_loop()
        attempt_id = sequence.call.attempt_id
        loop.call_later(STREAM_RETENTION_S, self._by_attempt.pop, attempt_id, None)

    async def _stream(
        self, request: web.Request, sequence: _Sequence, seq: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self.headers())
        response.content_type = "application/x-ndjson"
        await response.prepare(request)
        fault = self.faults.take(
            request.path,
            FaultAction.CUT_STREAM,
            FaultAction.SILENT_STREAM,
            FaultAction.SHUFFLE_STREAM,
            FaultAction.DROP_PIECE,
            FaultAction.WRONG_ID,
        )
        while True:
            while seq < len(sequence.chunks):
                if fault and seq >= fault.after:
                    seq += await self._write_faulty(
                        request, response, sequence, seq, fault
                    )
                else:
                    await response.write(_line(sequence, seq))
                    seq += 1
            if sequence.done:
                break
            sequence.advanced.clear()
            await sequence.advanced.wait()
        await response.write(_final_line(sequence, seq))
        await response.write_eof()
        return response

    async def _write_faulty(
        self,
        request: web.Request,
        response: web.StreamResponse,
        sequence: _Sequence,
        seq: int,
        fault: Any,
    ) -> int:
        """Apply a fault to the chunk at ``seq``; return how far ``seq`` advances."""
        if fault.action is FaultAction.CUT_STREAM:
            drop_connection(request)
            raise ConnectionResetError
        if fault.action is FaultAction.SILENT_STREAM:
            await stay_silent()
        if fault.action is FaultAction.WRONG_ID:
            await response.write(_line(sequence, seq, another_request=True))
            return 1
        if fault.action is FaultAction.DROP_PIECE:
            return 1
        while seq + 1 >= len(sequence.chunks) and not sequence.done:
            sequence.advanced.clear()
            await sequence.advanced.wait()
        if seq + 1 < len(sequence.chunks):
            swapped = _line(sequence, seq + 1) + _line(sequence, seq)
            await response.write(swapped + _line(sequence, seq))
            return 2
        await response.write(_line(sequence, seq) * 2)
        return 1


def _line(sequence: _Sequence, seq: int, another_request: bool = False) -> bytes:
    message = {
        "attempt_id": sequence.call.attempt_id,
        "seq": seq,
        "text": sequence.chunks[seq],
    }
    if another_request:
        message.update(attempt_id="attempt-of-another-request", text="secret ")
    return msgspec.json.encode(message) + b"\n"


def _final_line(sequence: _Sequence, count: int) -> bytes:
    message = {
        "attempt_id": sequence.call.attempt_id,
        "final": True,
        "count": count,
        "cost_ms": sequence.entry.busy_ms,
        "cancelled": sequence.entry.outcome is Outcome.CANCELLED,
    }
    return msgspec.json.encode(message) + b"\n"


def build_engine(engine: EngineStandIn) -> web.Application:
    """Return the web application of an engine."""
    app = web.Application(client_max_size=1 << 24)
    app.router.add_post("/v1/generate", engine.handle_generate)
    app.router.add_post("/v1/resume", engine.handle_resume)
    app.router.add_post("/v1/cancel", engine.handle_cancel)
    app.router.add_post("/v1/orders", engine.handle_order)
    engine.add_routes(app)
    return app
