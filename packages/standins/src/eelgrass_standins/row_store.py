"""A stand-in of the users' store: rows, the feed of their changes, and faults."""

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
# The operator and the servers write to these, and the system may not.
OTHERS_TABLES = frozenset(("op", "servers"))


class RowStoreStandIn:
    """Keeps rows by table and key; ``down`` refuses every call.

    ``down_tables`` are refused alone, and their waiting calls are not ended.
    ``drop_history`` makes feeds answer that their history is gone, and
    ``calls_by_table`` counts calls.
    """

    def __init__(self) -> None:
        self.down = False
        self.down_tables: set[str] = set()
        self.calls_by_table: Counter[str] = Counter()
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._version = 0
        self._oldest = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as JSON."""
        self._write(table, key, msgspec.json.encode(value))

    def put_raw(self, table: str, key: str, value: bytes) -> None:
        """Write a row as it is."""
        self._write(table, key, value)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def drop_history(self) -> None:
        """Forget all changes so far; those that know the newest miss one."""
        self._version += 1
        self._oldest = self._version
        self._wake()

    def add_routes(self, app: web.Application) -> None:
        """Add the calls of the store."""
        app.router.add_get("/-/rows-get", self._handle_get)
        app.router.add_get("/-/rows-feed", self._handle_feed)
        app.router.add_post("/-/rows-tx", self._handle_transaction)

    def keys(self, table: str) -> set[str]:
        """Return the keys of the rows that a table has."""
        rows = self._rows.items()
        return {key for (name, key), (_, value) in rows if name == table and value}

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        self._rows[table, key] = (self._version, value)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle_get(self, request: web.Request) -> web.Response:
        self.calls_by_table[request.query["Table"]] += 1
        if self._is_down(request):
            return web.Response(status=HTTP_UNAVAILABLE)
        first = request.query.get("FromKey", "")
        rows = [
            _row(key, version, value)
            for (table, key), (version, value) in sorted(self._rows.items())
            if table == request.query["Table"] and key >= first and value is not None
        ]
        return self._answer(rows)

    async def _handle_feed(self, request: web.Request) -> web.Response:
        self.calls_by_table[request.query["Table"]] += 1
        after = int(request.query["After"])
        deadline = int(request.query.get("WaitMs", "0")) / 1000
        try:
            async with asyncio.timeout(deadline):
                while not self._changed_rows(request, after):
                    if self.down or after < self._oldest:
                        break
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self._is_down(request):
            return web.Response(status=HTTP_UNAVAILABLE)
        if after < self._oldest:
            return web.Response(status=HTTP_GONE)
        return self._answer(self._changed_rows(request, after))

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        transaction = msgspec.json.decode(await request.read())
        entries = [*transaction["Writes"], *transaction["Remove"]]
        tables = {entry["Table"] for entry in entries}
        self.calls_by_table.update(tables)
        if self.down or tables & self.down_tables:
            return web.Response(status=HTTP_UNAVAILABLE)
        if tables & OTHERS_TABLES:
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

    def _answer(self, rows: list[dict[str, Any]]) -> web.Response:
        return web.json_response({"Rows": rows, "HasMore": False, "Ver": self._version})


def _row(key: str, version: int, value: bytes | None) -> dict[str, Any]:
    if value is None:
        return {"Key": key, "Ver": version, "Deleted": True}
    return {"Key": key, "Ver": version, "Value": base64.b64encode(value).decode()}
