"""Client of the platform's store: reads tables, follows changes, writes rows."""

import asyncio
import base64
from collections.abc import Mapping, Sequence

import aiohttp
import msgspec

from eelgrass_coordination import JsonDecoder, bounded_call

from ..connection.sockets import new_session
from ..exceptions import HistoryGone, StoreUnavailable
from ..log import Part, log
from ..process.store_backoff import FULL_READ_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_S
from ..process.store_tables import StoredRow, TableChanges

__all__ = ["RowStore", "StoredTable"]

# A reachable store answers within milliseconds.
CONNECT_TIMEOUT_S = 0.5
# Calls follow each other within a second or two, and an idle connection costs nothing.
KEEP_ALIVE_S = 60.0
# No reader of a table accepts this as the value of a row.
UNREADABLE = b""
HTTP_OK = 200
HTTP_GONE = 410


class _Row(msgspec.Struct, frozen=True, rename="pascal"):
    key: str
    ver: int = 0
    value: str | None = None
    deleted: bool = False


class _Rows(msgspec.Struct, frozen=True, rename="pascal"):
    rows: tuple[_Row, ...] = ()
    has_more: bool = False
    ver: int = 0


class _RowKey(msgspec.Struct, frozen=True, rename="pascal"):
    """The location of a row, in the unnamed part of its table."""

    table: str
    key: str
    part: str = msgspec.field(default="", name="part")


class _Write(_RowKey, frozen=True, rename="pascal"):
    value: str = ""


class _Transaction(msgspec.Struct, frozen=True, rename="pascal"):
    writes: tuple[_Write, ...]
    remove: tuple[_RowKey, ...]
    expect_rev: tuple[()] = ()


_decoder = JsonDecoder(_Rows)


class RowStore:
    """Reads and writes tables of the store at ``address``, an IP address and port.

    Methods raise :class:`StoreUnavailable` if no valid response arrives.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"
        # One session for the reads of a table and one for its writes. The calls of a
        # session are sequential, so each keeps one connection. A spare connection would
        # fail together with the first one, and the call on it would cost another
        # timeout of 0.6 s and a backoff.
        self._session_by_table: dict[str, aiohttp.ClientSession] = {}
        self._response_started_at_by_table: dict[str, float] = {}
        self.calls = 0

    async def read_table(self, table: str) -> TableChanges:
        """Return all rows of a table's unnamed part."""
        return await self._read_pages(table, "", {})

    async def read_range(
        self, table: str, first_key: str, end_key: str
    ) -> tuple[StoredRow, ...]:
        """Return the rows from ``first_key`` up to, and without, ``end_key``."""
        return (await self._read_pages(table, first_key, {"To": end_key})).rows

    async def _read_pages(
        self, table: str, first_key: str, limits: Mapping[str, str]
    ) -> TableChanges:
        """Read rows of a table, page by page.

        The returned version is that of the first page, because rows of that page may
        change before the last page is read: the rows reflect all changes up to it.
        """
        rows: list[StoredRow] = []
        version: int | None = None
        while True:
            params = {"Table": table, "part": "", "FromKey": first_key, **limits}
            page = await self._get("/-/rows-get", params, FULL_READ_RESPONSE_TIMEOUT_S)
            rows += [_decode_row(row) for row in page.rows]
            version = page.ver if version is None else version
            if not page.has_more or not page.rows:
                return TableChanges(tuple(rows), version)
            # FromKey is inclusive; this is the smallest key after the last one read.
            first_key = page.rows[-1].key + "\0"

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return the rows changed after a version; wait for the first change.

        Raises :class:`HistoryGone` if the store no longer has these changes.
        """
        params = {
            "Table": table,
            "After": str(after),
            "WaitMs": str(int(wait_s * 1000)),
        }
        # If no response has started by this time after the wait, the connection is
        # considered dead.
        page = await self._get("/-/rows-feed", params, wait_s + RESPONSE_TIMEOUT_S)
        return TableChanges(tuple(_decode_row(row) for row in page.rows), page.ver)

    async def write(
        self, table: str, puts: Mapping[str, bytes], removes: Sequence[str]
    ) -> None:
        """Write rows by key and remove others, in one atomic transaction."""
        writes = (
            _Write(table, key, value=base64.b64encode(value).decode())
            for key, value in puts.items()
        )
        removals = tuple(_RowKey(table, key) for key in removes)
        body = msgspec.json.encode(_Transaction(tuple(writes), removals))
        self.calls += 1
        session = self._session(f"{table}: writes")
        path = "/-/rows-tx"
        try:
            async with bounded_call(
                session,
                "POST",
                self._url + path,
                RESPONSE_TIMEOUT_S,
                CONNECT_TIMEOUT_S,
                data=body,
                headers={"Content-Type": "application/json"},
            ) as response:
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise StoreUnavailable(path, repr(error)) from error
        if status != HTTP_OK:
            raise StoreUnavailable(path, f"status {status}")

    def response_started_at(self, table: str) -> float | None:
        """Return when the response that is being received started; None if none is.

        The time is in seconds of the event loop's clock.
        """
        return self._response_started_at_by_table.get(table)

    async def close(self) -> None:
        """Close all connections."""
        for session in self._session_by_table.values():
            await session.close()

    def _session(self, table: str) -> aiohttp.ClientSession:
        session = self._session_by_table.get(table)
        if session is None:
            session = self._session_by_table[table] = new_session(KEEP_ALIVE_S)
        return session

    async def _get(
        self, path: str, params: dict[str, str], response_timeout_s: float
    ) -> _Rows:
        self.calls += 1
        table = params["Table"]
        session = self._session(table)
        url = self._url + path
        try:
            async with bounded_call(
                session,
                "GET",
                url,
                response_timeout_s,
                CONNECT_TIMEOUT_S,
                params=params,
            ) as response:
                now = asyncio.get_running_loop().time()
                self._response_started_at_by_table[table] = now
                body = await response.read()
                status = response.status
            if status == HTTP_GONE:
                raise HistoryGone(path)
            if status != HTTP_OK:
                raise StoreUnavailable(path, f"status {status}")
            return _decoder.decode(body)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as e:
            raise StoreUnavailable(path, repr(e)) from e
        finally:
            self._response_started_at_by_table.pop(table, None)


class StoredTable:
    """One table of a store, for code that knows only its rows."""

    def __init__(self, store: RowStore, table: str) -> None:
        self._store = store
        self._table = table

    async def read(self, first_key: str, end_key: str) -> tuple[StoredRow, ...]:
        """Return the rows from ``first_key`` up to, and without, ``end_key``."""
        return await self._store.read_range(self._table, first_key, end_key)

    async def write(self, puts: Mapping[str, bytes], removes: Sequence[str]) -> None:
        """Write rows by key and remove others, in one atomic transaction."""
        await self._store.write(self._table, puts, removes)


def _decode_row(row: _Row) -> StoredRow:
    if row.deleted or row.value is None:
        return StoredRow(row.key, row.ver, None)
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError as error:
        log(
            Part.STORE,
            "The value of a row is not base64; the row is taken for an unreadable one.",
            row=row.key,
            error=str(error),
        )
        value = UNREADABLE
    return StoredRow(row.key, row.ver, value)
