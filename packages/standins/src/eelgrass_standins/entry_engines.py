"""Stand-in for the backend servers of entry nodes: plain, streaming and staged."""

import asyncio
import itertools
import math
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec
from aiohttp import web

__all__ = [
    "EVENTS",
    "STARTED_MS",
    "Arrival",
    "CallKind",
    "EngineFault",
    "EngineStandIn",
    "Run",
]

EVENTS = 6
# Unix time, in milliseconds, of the first start of each server.
STARTED_MS = 1_700_000_000_000
ATTEMPT_HEADER = "Eelgrassward-Attempt-Id"
MAX_BODY_BYTES = 64 << 20
# Time constant, in seconds, with which a run disappears from the load that a server
# reports. Hosts use reports for 1.5 s; without a decay they would choose servers in
# turn, all at the same time.
LOAD_DECAY_S = 1.0
# Runs that began longer ago no longer count in the load.
LOAD_WINDOW_S = 5 * LOAD_DECAY_S
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_ERROR = 500
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


class EngineFault(Enum):
    """Effect of a fault on a call; each fault in the queue affects one call."""

    REFUSE = "refuse"
    ERROR = "error"
    CUT_BEFORE_HEAD = "cut_before_head"
    CUT_IN_EVENT = "cut_in_event"
    OTHER_ID = "other_id"
    UNSIGNED = "unsigned"
    HANG = "hang"
    FORGET_RESULTS = "forget_results"


class Run(msgspec.Struct, frozen=True):
    """A request that the server ran, at one version of its software."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0
    version: str = ""


class CallKind(Enum):
    """Kinds of calls that a server distinguishes."""

    REQUEST = "request"
    STAGE_CALL = "stage_call"
    FREE = "free"
    REPORT = "report"


_KIND_BY_PATH = {
    "/-/stage-run": CallKind.STAGE_CALL,
    "/-/stage-free": CallKind.FREE,
    "/-/report": CallKind.REPORT,
}


class Arrival(msgspec.Struct, frozen=True):
    """A call that reached the server, refused or not.

    ``at`` is its time on the event loop's clock, ``peer`` the IP address that it came
    from, and ``started`` identifies the server's incarnation. A stage call has the
    request ids of its items. ``leaving`` tells whether the answer said that the server
    leaves, ``rest_s`` how long a rest the answer asked for, None for none, and
    ``limit`` which request limit it named.
    """

    at: float
    kind: CallKind
    peer: str
    started: int
    request_ids: tuple[str, ...] = ()
    leaving: bool = False
    rest_s: float | None = None
    limit: str | None = None


class EngineStandIn:
    """A backend server; ``server_id`` and ``started`` identify its incarnation.

    ``version`` is the version of its software. A run at one version can be resumed at
    another one, although what they write does not fit together. A fault that cuts a
    stream takes effect once a run has written ``events_before_cut`` events.
    ``runs`` and ``batch_items`` record the work that it has run, ``results`` the
    handles of the results that it holds, and ``item_by_handle`` the batch item behind
    each result. A request with ``fatal`` in its body, or a batch item with it in its
    key, crashes the server once it runs: ``crash`` is called. So does a request with a
    part in ``fatal_parts`` among the shared parts of its prompt, after
    ``crash_delay_s``. With ``writes_before_crash`` the server writes the first event
    that long after the head, in seconds, and then crashes. Reports take
    ``report_delay_s``.

    With ``says_leaving`` each answer says that the server leaves. With ``rest_s`` the
    server refuses requests and stage calls until ``rests_until``, a time of the event
    loop, and asks each caller for a rest of that length. Each answer names ``limit`` as
    its request limit, unless that is None. ``arrivals`` records all calls that reached
    the server.
    """

    def __init__(self, server_id: str, address: str, event_s: float = 0.0) -> None:
        self.server_id = server_id
        self.address = address
        self.event_s = event_s
        self.faults: list[EngineFault] = []
        self.runs: list[Run] = []
        self.batch_items: list[dict] = []
        self.calls = 0
        self.results: set[str] = set()
        self.item_by_handle: dict[str, dict] = {}
        self.cancelled = 0
        self.started = STARTED_MS
        self.version = "v1"
        self.events_before_cut = 0
        self.report_delay_s = 0.0
        self.fatal: bytes | None = None
        self.fatal_parts: set[str] = set()
        self.crash_delay_s = 0.0
        self.writes_before_crash: float | None = None
        self.crash: Callable[[], None] = lambda: None
        self.says_leaving = False
        self.rest_s: float | None = None
        self.rests_until = math.inf
        self.limit: str | None = None
        self.arrivals: list[Arrival] = []
        self._last_handle_number = 0

    def application(self) -> web.Application:
        """Return the web application of the server."""
        app = web.Application(
            middlewares=[self._record_and_rest], client_max_size=MAX_BODY_BYTES
        )
        app.on_response_prepare.append(self._add_notice)
        app.router.add_post("/-/stage-run", self._handle_items)
        app.router.add_post("/-/stage-free", self._handle_free)
        app.router.add_get("/-/report", self._handle_report)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    @web.middleware
    async def _record_and_rest(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        at = asyncio.get_running_loop().time()
        kind = _KIND_BY_PATH.get(request.path, CallKind.REQUEST)
        request_ids = await _request_ids(request, kind)
        rests = kind in (CallKind.REQUEST, CallKind.STAGE_CALL) and (
            self.rest_s is not None
            and at < self.rests_until
            and not self._expects_other(request)
        )
        rest_s = self.rest_s if rests else None
        self.arrivals.append(
            Arrival(
                at,
                kind,
                request.remote or "",
                self.started,
                request_ids,
                self.says_leaving,
                rest_s,
                self.limit,
            )
        )
        if rest_s is None:
            return await handler(request)
        headers = {"Eelgrassward-Not-Executed": "1", "Retry-After": f"{rest_s:g}"}
        return web.Response(status=HTTP_UNAVAILABLE, headers=headers)

    async def _add_notice(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        attempt_id = request.headers.get(ATTEMPT_HEADER)
        if attempt_id is not None and response.status != HTTP_MISDIRECTED:
            response.headers.setdefault(ATTEMPT_HEADER, attempt_id)
        if self.says_leaving:
            response.headers["Server-Leaving"] = "1"
        if self.limit is not None:
            response.headers["Server-Limit"] = self.limit

    async def _handle_report(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.report_delay_s)
        return web.json_response({"Phase": "both", "born": self.started})

    def restart(self) -> None:
        """Begin a new incarnation; drop all results and restart the handle numbers."""
        self.started += 1
        self.results = set()
        self.item_by_handle = {}
        self._last_handle_number = 0

    def _consume_fault(self, *faults: EngineFault) -> EngineFault | None:
        if self.faults and self.faults[0] in faults:
            return self.faults.pop(0)
        return None

    def _headers(self, request: web.Request) -> dict[str, str]:
        return {
            ATTEMPT_HEADER: request.headers[ATTEMPT_HEADER],
            "Eelgrassward-Engine-Signature": f"signed-by-{self.server_id}",
            "Eelgrassward-Engine-Load": f"{self._load()},0,64",
        }

    def _load(self) -> int:
        """Return a load that grows with each run and decays."""
        now = asyncio.get_running_loop().time()
        ages = (now - run.at for run in reversed(self.runs))
        recent = itertools.takewhile(lambda age_s: age_s < LOAD_WINDOW_S, ages)
        return int(sum(math.exp(-age_s / LOAD_DECAY_S) for age_s in recent))

    def _expects_other(self, request: web.Request) -> bool:
        expected = request.headers.get("Eelgrassward-Expect-Engine", self.server_id)
        return expected != self.server_id

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if self._expects_other(request):
            return web.Response(
                status=HTTP_MISDIRECTED,
                headers={"Eelgrassward-Engine-Id": self.server_id},
            )
        body = await request.read()
        refused = {"Eelgrassward-Not-Executed": "1"}
        if self._consume_fault(EngineFault.REFUSE):
            return web.Response(status=HTTP_UNAVAILABLE, headers=refused)
        if self._consume_fault(EngineFault.FORGET_RESULTS):
            return web.Response(status=HTTP_CONFLICT, headers=refused)
        self.runs.append(
            Run(
                request.headers[ATTEMPT_HEADER],
                request.method,
                request.raw_path,
                dict(request.headers),
                body,
                asyncio.get_running_loop().time(),
                self.version,
            )
        )
        headers = self._headers(request)
        if self._is_fatal(request, body):
            await asyncio.sleep(self.crash_delay_s)
            await self._crash_in_answer(request, headers)
        if self._consume_fault(EngineFault.HANG):
            await asyncio.sleep(60)
        if self._consume_fault(EngineFault.CUT_BEFORE_HEAD):
            request.transport.abort()
            return web.Response()
        if self._consume_fault(EngineFault.OTHER_ID):
            headers[ATTEMPT_HEADER] = "of-another-request"
        if self._consume_fault(EngineFault.UNSIGNED):
            del headers["Eelgrassward-Engine-Signature"]
        if self._consume_fault(EngineFault.ERROR):
            return web.Response(status=HTTP_ERROR, headers=headers, text="failed")
        if request.path.startswith("/stream/"):
            return await self._stream(request, headers)
        return web.Response(headers=headers, body=b"answer of " + body)

    def _is_fatal(self, request: web.Request, body: bytes) -> bool:
        if self.fatal is not None and self.fatal in body:
            return True
        *shared, _ = request.headers.get("Eelgrassward-Prompt-Prefix", "").split(",")
        return any(part.partition(":")[0] in self.fatal_parts for part in shared)

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first_event = int(request.headers.get("Last-Event-Id", "0")) + 1
        try:
            for number in range(first_event, EVENTS + 1):
                cuts = number - first_event >= self.events_before_cut
                if cuts and self._consume_fault(EngineFault.CUT_IN_EVENT):
                    await response.write(b"id: %d\nda" % number)
                    request.transport.close()
                    return response
                await response.write(b"id: %d\ndata: piece-%d\n\n" % (number, number))
                await asyncio.sleep(self.event_s)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled += 1
            raise
        return response

    async def _crash_in_answer(
        self, request: web.Request, headers: dict[str, str]
    ) -> None:
        """Send the response headers, then crash the server."""
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        if self.writes_before_crash is not None:
            await asyncio.sleep(self.writes_before_crash)
            await response.write(b"id: 1\ndata: piece-1\n\n")
            await asyncio.sleep(0.01)
        self.crash()
        await asyncio.Event().wait()

    async def _handle_items(self, request: web.Request) -> web.Response:
        if self._expects_other(request):
            return web.Response(status=HTTP_MISDIRECTED)
        if self._consume_fault(EngineFault.REFUSE):
            refused = {"Eelgrassward-Not-Executed": "1"}
            return web.Response(status=HTTP_UNAVAILABLE, headers=refused)
        items = msgspec.json.decode(await request.read())["Items"]
        self.calls += 1
        self.batch_items += items
        if self.fatal is not None:
            keys = [item.get("Key", "").encode() for item in items]
            if any(self.fatal in key for key in keys):
                self.crash()
                await asyncio.Event().wait()
        return web.json_response({"Items": [self._run_item(item) for item in items]})

    def _run_item(self, item: dict) -> dict[str, str]:
        if self._consume_fault(EngineFault.FORGET_RESULTS):
            return {"Reason": "gone"}
        if self._consume_fault(EngineFault.ERROR):
            return {"Reason": "error"}
        self._last_handle_number += 1
        handle = f"{self.address}/{self._last_handle_number:x}"
        self.results.add(handle)
        self.item_by_handle[handle] = item
        return {"Handle": handle}

    async def _handle_free(self, request: web.Request) -> web.Response:
        self.results -= set(msgspec.json.decode(await request.read())["Handles"])
        return web.Response()


async def _request_ids(request: web.Request, kind: CallKind) -> tuple[str, ...]:
    if kind is CallKind.STAGE_CALL:
        items = msgspec.json.decode(await request.read())["Items"]
        return tuple(item["Id"] for item in items)
    request_id = request.headers.get(ATTEMPT_HEADER)
    return () if request_id is None else (request_id,)
