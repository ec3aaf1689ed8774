"""Client of the table service over HTTP with JSON."""

from typing import Any

import aiohttp
import msgspec

from .exceptions import OutcomeUnknown, PlatformUnavailable
from .json_decoding import decode_json
from .platform_call import call_platform
from .table import Row, RowKey, Transaction, TransactionResult

__all__ = ["HttpTable"]

DEFAULT_TIMEOUT_S = 0.5


class _Rows(msgspec.Struct, frozen=True):
    rows: tuple[Row, ...]


class HttpTable:
    """The table service at ``address``, for example ``http://10.0.0.5:9000``.

    The caller owns the session and closes it.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._session = session
        self._address = address
        self._timeout = timeout

    async def commit(
        self, transaction: Transaction, timeout: float | None = None
    ) -> TransactionResult:
        """Commit a transaction; see :meth:`Table.commit` for its errors."""
        body = await self._post("/v1/transactions", transaction, timeout)
        return decode_json(body, TransactionResult)

    async def read(
        self, keys: tuple[RowKey, ...], timeout: float | None = None
    ) -> tuple[Row, ...]:
        """Read rows by key."""
        body = await self._read("/v1/read", {"keys": keys}, timeout)
        return decode_json(body, _Rows).rows

    async def scan(
        self, table: str, after: str = "", limit: int = 500
    ) -> tuple[Row, ...]:
        """Read a page of a table in key order."""
        query = {"table": table, "after": after, "limit": limit}
        body = await self._read("/v1/scan", query, None)
        return decode_json(body, _Rows).rows

    async def _read(self, path: str, query: Any, timeout: float | None) -> bytes:
        # A read has no effect, so a lost answer is equivalent to a call not made.
        try:
            return await self._post(path, query, timeout)
        except OutcomeUnknown as error:
            raise PlatformUnavailable(str(error.__cause__ or error)) from error

    async def _post(self, path: str, message: Any, timeout: float | None) -> bytes:
        return await call_platform(
            self._session,
            "POST",
            self._address + path,
            msgspec.json.encode(message),
            timeout or self._timeout,
        )
