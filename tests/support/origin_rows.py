"""A table of the platform's store that keeps the origins of streams, in memory."""

import asyncio
from collections.abc import Mapping, Sequence

from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.process.store_tables import StoredRow

__all__ = ["StoredOrigins"]


class StoredOrigins:
    """The table; it refuses all calls unless ``is_reachable`` is set.

    A call takes ``delay_s``. ``written_at`` holds the times of all transactions,
    ``largest`` the most entries that one had. ``written`` counts the rows written, and
    ``reads`` the reads that have ended.
    """

    def __init__(self, is_reachable: bool = True) -> None:
        self.is_reachable = is_reachable
        self.delay_s = 0.004
        self.row_by_key: dict[str, StoredRow] = {}
        self.written_at: list[float] = []
        self.largest = 0
        self.written = 0
        self.reads = 0
        self._version = 0

    async def read(self, first_key: str, end_key: str) -> list[StoredRow]:
        """Return the rows of a range of keys."""
        try:
            await self._call()
        finally:
            self.reads += 1
        rows = self.row_by_key.items()
        return [row for key, row in sorted(rows) if first_key <= key < end_key]

    async def write(self, puts: Mapping[str, bytes], removes: Sequence[str]) -> None:
        """Write and remove rows."""
        self.written_at.append(asyncio.get_running_loop().time())
        self.largest = max(self.largest, len(puts) + len(removes))
        await self._call()
        for key, value in puts.items():
            self._version += 1
            self.written += 1
            self.row_by_key[key] = StoredRow(key, self._version, value)
        for key in removes:
            self.row_by_key.pop(key, None)

    async def _call(self) -> None:
        await asyncio.sleep(self.delay_s)
        if not self.is_reachable:
            raise StoreUnavailable("/-/rows", "it does not answer")
