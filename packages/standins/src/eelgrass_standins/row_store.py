"""Stand-in for the entry nodes' row store: rows, a change feed, and faults."""

import asyncio
import base64
from collections import Counter
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["RowStoreStandIn"]

HTTP_FORBIDDEN = 403
HTTP_GONE = 410
HTTP_UNAVAILABLE = 503
# Written only by the operator and the servers; the store refuses writes of nodes.
READ_ONLY_TABLES = frozenset(("op", "servers"))


class RowStoreStandIn:
    """Keeps rows by table and key; while ``down`` is set it refuses every call.

    ``down_tables`` refuses calls for some tables only; feed calls that already wait
    for a change keep waiting. After ``drop_history``, feeds that are behind get HTTP
    410.
    ``calls_by_table`` counts calls.
    """

    def __init__(self) -> None:
        self.down = False
        self.down_tables: set[str] = set()
        self.calls_by_table: Counter[str] = Counter()
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._version = 0
        self._oldest_version = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as JSON."""
        self._write(table, key, msgspec.json.encode(value))

    def put_raw(self, table: str, key: str, value: bytes) -> None:
        """Write a row with an already encoded value."""
        self._write(table, key, value)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def drop_history(self) -> None:
        """Discard the history of changes, also for readers at the latest version."""
        self._version += 1
        self._oldest_version = self._version
        self._notify_feeds()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the store."""
        app.router.add_get("/-/rows-get", self._handle_get)
        app.router.add_get("/-/rows-feed", self._handle_feed)
        app.router.add_post("/-/rows-tx", self._handle_transaction)

    def keys(self, table: str) -> set[str]:
        """Return the keys of the existing rows of a table."""
        rows = self._rows.items()
        return {key for (name, key), (_, value) in rows if name == table and value}

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        self._rows[table, key] = (self._version, value)
        self._notify_feeds()

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle_get(self, request: web.Request) -> web.Response:
        self.calls_by_table[request.query["Table"]] += 1
        if self._is_down(request):
            return web.Response(status=HTTP_UNAVAILABLE)
        first, end = request.query.get("FromKey", ""), request.query.get("To")
        rows = [
            _row(key, version, value)
            for (table, key), (version, value) in sorted(self._rows.items())
            if table == request.query["Table"]
            and value is not None
            and first <= key
            and (end is None or key < end)
        ]
        return self._rows_response(rows)

    async def _handle_feed(self, request: web.Request) -> web.Response:
        self.calls_by_table[request.query["Table"]] += 1
        after = int(request.query["After"])
        deadline = int(request.query.get("WaitMs", "0")) / 1000
        try:
            async with asyncio.timeout(deadline):
                while not self._changed_rows(request, after):
                    if self.down or after < self._oldest_version:
                        break
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self._is_down(request):
            return web.Response(status=HTTP_UNAVAILABLE)
        if after < self._oldest_version:
            return web.Response(status=HTTP_GONE)
        return self._rows_response(self._changed_rows(request, after))

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        transaction = msgspec.json.decode(await request.read())
        entries = [*transaction["Writes"], *transaction["Remove"]]
        tables = {entry["Table"] for entry in entries}
        self.calls_by_table.update(tables)
        if self.down or tables & self.down_tables:
            return web.Response(status=HTTP_UNAVAILABLE)
        if tables & READ_ONLY_TABLES:
            return web.Response(status=HTTP_FORBIDDEN)
        for row in transaction["Writes"]:
            self._write(row["Table"], row["Key"], base64.b64decode(row["Value"]))
        for row in transaction["Remove"]:
            if row["Key"] in self.keys(row["Table"]):
                self._write(row["Table"], row["Key"], None)
        return web.json_response({"Ver": self._version, "NowMs": 0})

    def _is_down(self, request: web.Request) -> bool:
        return self.down or request.query["Table"] in self.down_tables

    def _changed_rows(self, request: web.Request, after: int) -> list[dict[str, Any]]:
        changed = sorted(
            (version, key, value)
            for (table, key), (version, value) in self._rows.items()
            if table == request.query["Table"] and version > after
        )
        return [_row(key, version, value) for version, key, value in changed]

    def _rows_response(self, rows: list[dict[str, Any]]) -> web.Response:
        return web.json_response({"Rows": rows, "HasMore": False, "Ver": self._version})


def _row(key: str, version: int, value: bytes | None) -> dict[str, Any]:
    if value is None:
        return {"Key": key, "Ver": version, "Deleted": True}
    return {"Key": key, "Ver": version, "Value": base64.b64encode(value).decode()}
