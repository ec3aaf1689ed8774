"""Stand-in for the platform: tables, objects and the host list, over HTTP."""

import asyncio
import time
from collections import deque
from typing import Any

import msgspec
from aiohttp import web

from eelgrass_coordination import (
    Row,
    RowKey,
    Transaction,
    TransactionResult,
)

from .faults import FaultAction, Faults, drop_connection, stay_silent

__all__ = ["PlatformStandIn", "RateLimit", "TableStandIn", "build_platform"]


class TableStandIn:
    """Linearizable tables in memory, whose row versions count writes.

    The version of a row restarts once the row is deleted, which is the weakest
    guarantee that clients may meet. Tests without a network use it directly as a
    :class:`Table`.
    """

    def __init__(self) -> None:
        self._rows: dict[RowKey, tuple[int, dict[str, Any]]] = {}
        self.commits = 0
        self.reads = 0

    async def commit(
        self, transaction: Transaction, timeout: float | None = None
    ) -> TransactionResult:
        """Commit or refuse a transaction."""
        return self.commit_now(transaction)

    async def read(
        self, keys: tuple[RowKey, ...], timeout: float | None = None
    ) -> tuple[Row, ...]:
        """Read rows."""
        self.reads += 1
        return tuple(self._row(key) for key in keys)

    async def scan(
        self, table: str, after: str = "", limit: int = 500
    ) -> tuple[Row, ...]:
        """Read a page of rows in key order."""
        self.reads += 1
        keys = (key for key in self._rows if key.table == table and key.key > after)
        page = sorted(keys, key=lambda key: key.key)[:limit]
        return tuple(self._row(key) for key in page)

    def commit_now(self, transaction: Transaction) -> TransactionResult:
        """Commit or refuse, without waiting."""
        self.commits += 1
        failed = tuple(
            RowKey(condition.table, condition.key)
            for condition in transaction.conditions
            if self._row(RowKey(condition.table, condition.key)).version
            != condition.version
        )
        if failed:
            return TransactionResult(committed=False, failed=failed)
        for write in transaction.writes:
            self._write(RowKey(write.table, write.key), write.value)
        return TransactionResult(committed=True)

    def _write(self, key: RowKey, value: dict[str, Any] | None) -> None:
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = (self._row(key).version + 1, value)

    def _row(self, key: RowKey) -> Row:
        version, value = self._rows.get(key, (0, None))
        return Row(key.table, key.key, version, value)


class RateLimit:
    """A token bucket of ``rate`` calls per second; 0 means no limit."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._refilled_at = time.monotonic()

    def allows(self) -> bool:
        """Take a token for one call; return False if the bucket is empty."""
        if not self._rate:
            return True
        now = time.monotonic()
        self._tokens = min(
            self._rate, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _Read(msgspec.Struct):
    keys: tuple[RowKey, ...]


class _Scan(msgspec.Struct):
    table: str
    after: str = ""
    limit: int = 500


class PlatformStandIn:
    """The platform's HTTP interface over one :class:`TableStandIn`.

    ``host_lag_s`` is the age in seconds of the host list that it serves.
    """

    def __init__(
        self,
        writes_per_s: float = 0,
        reads_per_s: float = 0,
        host_lag_s: float = 0.0,
        latency_s: float = 0.0,
    ) -> None:
        self.table = TableStandIn()
        self.faults = Faults()
        self.objects: dict[str, bytes] = {}
        self.call_counts: dict[str, int] = {}
        self._writes = RateLimit(writes_per_s)
        self._reads = RateLimit(reads_per_s)
        self._host_lists: deque[tuple[float, bytes]] = deque()
        self._host_lag_s = host_lag_s
        self._latency_s = latency_s
        self._late_commits: set[asyncio.Task] = set()

    def set_hosts(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the host list; lists after the first are served after the lag."""
        since = time.monotonic() if self._host_lists else 0.0
        self._host_lists.append((since, msgspec.json.encode(hosts)))

    async def handle_commit(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/transactions``."""
        body = await request.read()
        if refusal := await self._refusal(request, self._writes):
            return refusal
        transaction = msgspec.json.decode(body, type=Transaction)
        if fault := self.faults.take(request.path, FaultAction.LATE_EFFECT):
            self._commit_late(transaction, fault.delay_s)
            drop_connection(request)
            return web.Response()
        result = self.table.commit_now(transaction)
        return await self._answer(request, result)

    async def handle_read(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/read``."""
        body = await request.read()
        if refusal := await self._refusal(request, self._reads):
            return refusal
        query = msgspec.json.decode(body, type=_Read)
        rows = await self.table.read(query.keys)
        return await self._answer(request, {"rows": rows})

    async def handle_scan(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/scan``."""
        body = await request.read()
        if refusal := await self._refusal(request, self._reads):
            return refusal
        query = msgspec.json.decode(body, type=_Scan)
        rows = await self.table.scan(query.table, query.after, query.limit)
        return await self._answer(request, {"rows": rows})

    async def handle_hosts(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/hosts`` with the list as of ``host_lag_s`` ago."""
        if refusal := await self._refusal(request, self._reads):
            return refusal
        limit = time.monotonic() - self._host_lag_s
        while len(self._host_lists) > 1 and self._host_lists[1][0] <= limit:
            self._host_lists.popleft()
        body = self._host_lists[0][1]
        return web.Response(body=body, content_type="application/json")

    async def handle_object(self, request: web.Request) -> web.Response:
        """Answer ``POST`` (write) and ``GET`` (read) of ``/v1/objects/{name}``."""
        limit = self._writes if request.method == "POST" else self._reads
        body = await request.read()
        if refusal := await self._refusal(request, limit):
            return refusal
        name = request.match_info["name"]
        if request.method == "POST":
            self.objects[name] = body
            return web.json_response({"ok": True})
        if name not in self.objects:
            return web.json_response({"error": "no such object"}, status=404)
        return web.Response(body=self.objects[name])

    async def handle_set_hosts(self, request: web.Request) -> web.Response:
        """Answer ``POST /control/hosts``."""
        self.set_hosts(await request.json())
        return web.json_response({"ok": True})

    async def handle_counts(self, request: web.Request) -> web.Response:
        """Answer ``GET /control/counts`` with the calls by path."""
        return web.json_response(self.call_counts)

    async def _refusal(
        self, request: web.Request, limit: RateLimit
    ) -> web.Response | None:
        count = self.call_counts.get(request.path, 0)
        self.call_counts[request.path] = count + 1
        if refusal := await self.faults.before(request):
            return refusal
        if self.faults.take(request.path, FaultAction.SILENT):
            await stay_silent()
        if self._latency_s:
            await asyncio.sleep(self._latency_s)
        if not limit.allows():
            return web.json_response({"error": "rate limit"}, status=429)
        return None

    async def _answer(self, request: web.Request, message: Any) -> web.Response:
        if self.faults.take(request.path, FaultAction.DROP_ANSWER):
            drop_connection(request)
        body = msgspec.json.encode(message)
        return web.Response(body=body, content_type="application/json")

    def _commit_late(self, transaction: Transaction, delay_s: float) -> None:
        async def commit() -> None:
            await asyncio.sleep(delay_s)
            self.table.commit_now(transaction)

        task = asyncio.create_task(commit())
        self._late_commits.add(task)
        task.add_done_callback(self._late_commits.discard)


def build_platform(platform: PlatformStandIn) -> web.Application:
    """Return the web application of a platform stand-in."""
    app = web.Application(client_max_size=1 << 26)
    app.router.add_post("/v1/transactions", platform.handle_commit)
    app.router.add_post("/v1/read", platform.handle_read)
    app.router.add_post("/v1/scan", platform.handle_scan)
    app.router.add_post("/v1/hosts", platform.handle_hosts)
    app.router.add_post("/v1/objects/{name:.+}", platform.handle_object)
    app.router.add_get("/v1/objects/{name:.+}", platform.handle_object)
    app.router.add_post("/control/hosts", platform.handle_set_hosts)
    app.router.add_post("/control/faults", platform.faults.handle_control)
    app.router.add_get("/control/counts", platform.handle_counts)
    return app
