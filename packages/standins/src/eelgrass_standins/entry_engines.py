"""Stand-ins of the users' backend servers: plain, streaming, and for stages."""

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec
from aiohttp import web

__all__ = ["EngineFault", "EngineStandIn", "Run"]

EVENTS = 6
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_ERROR = 500
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


class EngineFault(Enum):
    """What happens to the next call; each fault is used up by one call."""

    REFUSE = "refuse"
    ERROR = "error"
    CUT_BEFORE_HEAD = "cut_before_head"
    CUT_IN_EVENT = "cut_in_event"
    OTHER_ID = "other_id"
    UNSIGNED = "unsigned"
    HANG = "hang"
    FORGET_RESULTS = "forget_results"


class Run(msgspec.Struct, frozen=True):
    """A request that ran, as the server saw it."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0


class EngineStandIn:
    """One backend server with the id ``server_id``; ``started`` tells its life.

    ``runs`` and ``pieces`` are what it has run, ``results`` what it holds, and
    ``made_by_handle`` tells the piece of which each result was made. A request with
    ``fatal`` in its body, or a piece with it in its key, ends the server once it runs:
    ``end`` is called then.
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
        self.started = 1_700_000_000_000
        self.fatal: bytes | None = None
        self.crash: Callable[[], None] = lambda: None
        self._number = 0

    def application(self) -> web.Application:
        """Return the web application of the server."""
        app = web.Application()
        app.router.add_post("/-/stage-run", self._handle_items)
        app.router.add_post("/-/stage-free", self._handle_free)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    def restart(self) -> None:
        """Begin a new life: forget all results, and count them anew."""
        self.started += 1
        self.results = set()
        self.item_by_handle = {}
        self._number = 0

    def _take(self, *faults: EngineFault) -> EngineFault | None:
        if self.faults and self.faults[0] in faults:
            return self.faults.pop(0)
        return None

    def _headers(self, request: web.Request) -> dict[str, str]:
        return {
            "Eelgrassward-Attempt-Id": request.headers["Eelgrassward-Attempt-Id"],
            "Eelgrassward-Engine-Signature": f"signed-by-{self.server_id}",
            "Eelgrassward-Engine-Load": f"{len(self.runs)},0,64",
        }

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
        if self._take(EngineFault.REFUSE):
            return web.Response(status=HTTP_UNAVAILABLE, headers=refused)
        if self._take(EngineFault.FORGET_RESULTS):
            return web.Response(status=HTTP_CONFLICT, headers=refused)
        self.runs.append(
            Run(
                request.headers["Eelgrassward-Attempt-Id"],
                request.method,
                request.raw_path,
                dict(request.headers),
                body,
                asyncio.get_running_loop().time(),
            )
        )
        headers = self._headers(request)
        if self.fatal is not None and self.fatal in body:
            await self._end_in_answer(request, headers)
        if self._take(EngineFault.HANG):
            await asyncio.sleep(60)
        if self._take(EngineFault.CUT_BEFORE_HEAD):
            request.transport.abort()
            return web.Response()
        if self._take(EngineFault.OTHER_ID):
            headers["Eelgrassward-Attempt-Id"] = "of-another-request"
        if self._take(EngineFault.UNSIGNED):
            del headers["Eelgrassward-Engine-Signature"]
        if self._take(EngineFault.ERROR):
            return web.Response(status=HTTP_ERROR, headers=headers, text="failed")
        if request.path.startswith("/stream/"):
            return await self._stream(request, headers)
        return web.Response(headers=headers, body=b"answer of " + body)

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        begin = int(request.headers.get("Last-Event-Id", "0")) + 1
        try:
            for number in range(begin, EVENTS + 1):
                if self._take(EngineFault.CUT_IN_EVENT):
                    await response.write(b"id: %d\nda" % number)
                    request.transport.close()
                    return response
                await response.write(b"id: %d\ndata: piece-%d\n\n" % (number, number))
                await asyncio.sleep(self.event_s)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled += 1
            raise
        return response

    async def _end_in_answer(
        self, request: web.Request, headers: dict[str, str]
    ) -> None:
        """Begin to answer, and end the server."""
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        self.crash()
        await asyncio.Event().wait()

    async def _handle_items(self, request: web.Request) -> web.Response:
        if self._expects_other(request):
            return web.Response(status=HTTP_MISDIRECTED)
        if self._take(EngineFault.REFUSE):
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
        return web.json_response({"Items": [self._make(item) for item in items]})

    def _make(self, item: dict) -> dict[str, str]:
        if self._take(EngineFault.FORGET_RESULTS):
            return {"Reason": "gone"}
        if self._take(EngineFault.ERROR):
            return {"Reason": "error"}
        self._number += 1
        handle = f"{self.address}/{self._number:x}"
        self.results.add(handle)
        self.item_by_handle[handle] = item
        return {"Handle": handle}

    async def _handle_free(self, request: web.Request) -> web.Response:
        self.results -= set(msgspec.json.decode(await request.read())["Handles"])
        return web.Response()
