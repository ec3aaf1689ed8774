"""Hands batch items to the node that holds the queue of their service.

The queue owner accepts the items at once, then sends heartbeats at short intervals, and
finally the outcomes. A node that receives nothing for a short time treats the owner as
dead, frozen or partitioned off, and continues without it.
"""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web

from eelgrass_coordination import JsonDecoder, StallAwareTimeout, decode_json

from ..exceptions import PeerUnreachable
from ..process.backends import ServerIncarnation
from ..process.batch_items import BatchItem, ItemOutcome
from ..process.crash_detector import Fingerprint
from ..process.queue_load import QueueLoad
from ..version.deployment import ServiceName
from .sockets import new_session

__all__ = ["HandoffClient", "HandoffInterface"]

ITEMS_PATH = "/peer/v1/pieces"
FREE_PATH = "/peer/v1/results/free"
CONNECT_TIMEOUT_S = 0.15
# A round trip between data centres takes 3 ms, and a busy node adds about 10 ms.
ACCEPT_TIMEOUT_S = 0.15
# How often the owner sends a heartbeat while items wait or run. A node that misses two
# of them stops waiting.
HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 0.75
KEEP_ALIVE_S = 60.0
HEARTBEAT = b"\n"
UNKNOWN_SERVICE = 503

RunItems = Callable[[ServiceName, list[BatchItem]], Awaitable[list[ItemOutcome]]]


class _SentSet(msgspec.Struct, omit_defaults=True):
    """The items of one stage of a request; times are remaining seconds.

    The items differ only in their numbers, so the rest is sent once: their common
    inputs are most of the message, and the slowest links have 5 Mbit/s.
    """

    request_id: str
    stage: int
    numbers: list[int]
    deadline_in_s: float
    due_in_s: float
    priority: int
    result_bytes: int
    key: str | None = None
    inputs: tuple[str, ...] = ()
    near: str = ""
    makers: tuple[ServerIncarnation, ...] = ()
    account: str | None = None
    request: Fingerprint = Fingerprint("")
    regions: frozenset[str] | None = None


class _Handoff(msgspec.Struct):
    service: ServiceName
    pieces: _SentSet


class _Done(msgspec.Struct):
    outcomes: list[ItemOutcome]
    load: QueueLoad


class _FreeResults(msgspec.Struct):
    service: ServiceName
    handles: list[str]


class HandoffClient:
    """Hands items to other nodes, at their internal addresses.

    ``on_load`` receives the load of a queue with each answer of its owner.
    """

    def __init__(self, on_load: Callable[[ServiceName, QueueLoad], None]) -> None:
        self._on_load = on_load
        self._session = new_session(KEEP_ALIVE_S, CONNECT_TIMEOUT_S)

    async def run(
        self, address: str, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        """Have items of one stage of a request run by another node.

        Raises :class:`PeerUnreachable`.
        """
        now = asyncio.get_running_loop().time()
        body = msgspec.json.encode(_Handoff(service, _encode_set(items, now)))
        try:
            async with StallAwareTimeout(ACCEPT_TIMEOUT_S) as bound:
                async with self._session.post(
                    f"http://{address}{ITEMS_PATH}", data=body, allow_redirects=False
                ) as response:
                    line = HEARTBEAT
                    while line == HEARTBEAT:
                        line = await response.content.readline()
                        bound.restart(HEARTBEAT_TIMEOUT_S)
            done = decode_json(line, _Done)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            raise _unreachable(address, e) from e
        if len(done.outcomes) != len(items):
            raise PeerUnreachable(
                address, "the number of outcomes differs from the number of items"
            )
        self._on_load(service, done.load)
        return done.outcomes

    async def free(
        self,
        address: str,
        service: ServiceName,
        handles: list[str],
        timeout_s: float,
    ) -> None:
        """Have results freed by another node; raises :class:`PeerUnreachable`."""
        body = msgspec.json.encode(_FreeResults(service, handles))
        try:
            async with (
                StallAwareTimeout(timeout_s),
                self._session.post(
                    f"http://{address}{FREE_PATH}", data=body, allow_redirects=False
                ) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as e:
            raise _unreachable(address, e) from e

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


class HandoffInterface:
    """Accepts items from other nodes, for the queues of this node.

    ``has_servers`` returns whether this node knows servers of a service. A node that
    knows none refuses the items, as it cannot own the queue.
    """

    def __init__(
        self,
        run: RunItems,
        has_servers: Callable[[ServiceName], bool],
        load: Callable[[ServiceName], QueueLoad],
        free: Callable[[ServiceName, list[str]], None],
    ) -> None:
        self._run = run
        self._has_servers = has_servers
        self._load = load
        self._free = free
        self._decoder = JsonDecoder(_Handoff)

    async def handle_items(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /peer/v1/pieces`` with heartbeats, then the outcomes."""
        handoff = self._decoder.decode(await request.read())
        now = asyncio.get_running_loop().time()
        items = _decode_set(handoff.pieces, now)
        if not self._has_servers(handoff.service):
            return web.Response(status=UNKNOWN_SERVICE)
        response = web.StreamResponse()
        await response.prepare(request)
        running = asyncio.ensure_future(self._run(handoff.service, items))
        try:
            while not running.done():
                await response.write(HEARTBEAT)
                await asyncio.wait({running}, timeout=HEARTBEAT_INTERVAL_S)
            done = _Done(running.result(), self._load(handoff.service))
            await response.write(msgspec.json.encode(done) + b"\n")
            await response.write_eof()
        except BaseException:
            self._abandon(handoff.service, running)
            raise
        return response

    def _abandon(
        self, service: ServiceName, running: asyncio.Future[list[ItemOutcome]]
    ) -> None:
        """Cancel the run if the caller has left, or free the undelivered results."""
        if not running.done():
            running.cancel()
        elif not running.cancelled() and running.exception() is None:
            handles = [o.handle for o in running.result() if o.handle is not None]
            self._free(service, handles)

    async def handle_free(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/results/free``."""
        message = decode_json(await request.read(), _FreeResults)
        self._free(message.service, message.handles)
        return web.Response()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes that other nodes call."""
        app.router.add_post(ITEMS_PATH, self.handle_items)
        app.router.add_post(FREE_PATH, self.handle_free)


def _unreachable(address: str, error: Exception) -> PeerUnreachable:
    silent = isinstance(error, TimeoutError)
    return PeerUnreachable(address, repr(error), silent)


def _encode_set(items: list[BatchItem], now: float) -> _SentSet:
    first = items[0]
    return _SentSet(
        request_id=first.request_id,
        stage=first.stage,
        numbers=[item.number for item in items],
        deadline_in_s=first.deadline - now,
        due_in_s=first.due - now,
        priority=first.priority,
        result_bytes=first.result_bytes,
        key=first.key,
        inputs=first.inputs,
        near=first.preferred_data_centre,
        makers=first.producers,
        account=first.account,
        request=first.fingerprint,
        regions=first.regions,
    )


def _decode_set(sent: _SentSet, now: float) -> list[BatchItem]:
    return [
        BatchItem(
            request_id=sent.request_id,
            stage=sent.stage,
            number=number,
            key=sent.key,
            inputs=sent.inputs,
            deadline=now + sent.deadline_in_s,
            due=now + sent.due_in_s,
            priority=sent.priority,
            result_bytes=sent.result_bytes,
            preferred_data_centre=sent.near,
            producers=sent.makers,
            account=sent.account,
            fingerprint=sent.request,
            regions=sent.regions,
        )
        for number in sent.numbers
    ]
