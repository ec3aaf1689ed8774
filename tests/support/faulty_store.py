"""A simulated store with delayed answers and old states, besides its outages."""

import asyncio

from eelgrass_node.process.store_tables import StoredRow, TableChanges

from .store_simulation import Outage, Store
from .version_plan import Plan, SlowStore, StaleReads

__all__ = ["FaultyStore"]

# During stale reads, old and current states alternate with this period.
STALE_PERIOD_S = 0.35


class FaultyStore(Store):
    """A store with delayed answers and old states that records all calls."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(h for h in plan.faults if isinstance(h, Outage))
        self._slow = [h for h in plan.faults if isinstance(h, SlowStore)]
        self._stale = [h for h in plan.faults if isinstance(h, StaleReads)]
        self._written: list[tuple[float, int, str, str, bytes | None]] = []
        self.called_at: list[tuple[str, float]] = []

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row, or remove it; return its version."""
        super().put(table, key, value)
        self._written.append((_now(), self._version, table, key, value))
        return self._version

    async def read(self, node: str, table: str) -> TableChanges:
        """Answer a full read."""
        self.called_at.append((node, _now()))
        answer = await super().read(node, table)
        await asyncio.sleep(self._delay_s())
        rows = tuple(row for row in answer.rows if row.value is not None)
        return TableChanges(rows, answer.version)

    async def feed(
        self, node: str, table: str, after: int, wait_s: float
    ) -> TableChanges:
        """Answer a call for changes."""
        self.called_at.append((node, _now()))
        answer = await super().feed(node, table, after, wait_s)
        await asyncio.sleep(self._delay_s())
        return answer

    def _delay_s(self) -> float:
        return max((h.by_s for h in self._slow if h.begin <= _now() < h.end), default=0)

    def _rows(self, table: str, after: int) -> TableChanges:
        stale = next((h for h in self._stale if h.begin <= _now() < h.end), None)
        if stale is None or int((_now() - stale.begin) / STALE_PERIOD_S) % 2:
            return super()._rows(table, after)
        row_by_key = {}
        version = 0
        for at, version_then, of, key, value in self._written:
            if at <= stale.begin - stale.lag_s:
                version = version_then
                if of == table:
                    row_by_key[key] = StoredRow(key, version, value)
        rows = (row for row in row_by_key.values() if row.version > after)
        return TableChanges(tuple(sorted(rows, key=lambda r: r.version)), version)


def _now() -> float:
    return asyncio.get_running_loop().time()
