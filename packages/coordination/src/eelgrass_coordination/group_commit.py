"""Group commit: many small transactions in one write to the table service.

Units that arrive while a write is in progress are batched into the next write. If
the condition of a unit fails, that unit gets its result and the others are sent
again without it.

Writes are spaced. The spacing doubles when the service reports that its rate limit
is reached, and shrinks with each write that it accepts. Processes thus share the
limit without knowing of each other, and a throttled unit waits here for the next
write instead of being returned to its sender.
"""

import asyncio
import random

from .exceptions import CoordinationError, Throttled
from .table import Condition, RowKey, Table, Transaction, TransactionResult, Write

__all__ = ["GroupCommit"]

DEFAULT_MAX_UNITS = 64
MIN_SPACING_S = 0.01
MAX_SPACING_S = 0.3
SPACING_GROWTH = 2.0
SPACING_DECAY = 0.95


class _Unit:
    """One caller's transaction, waiting for its result."""

    def __init__(self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]):
        self.conditions = conditions
        self.writes = writes
        self.result: asyncio.Future[TransactionResult] = (
            asyncio.get_running_loop().create_future()
        )
        parts = [*conditions, *writes]
        self.keys = frozenset(RowKey(part.table, part.key) for part in parts)


class GroupCommit:
    """Batches transactions for one table service.

    ``transactions`` counts the transactions sent, ``units`` the units in them and
    ``throttled`` the transactions that were refused because of the rate limit.
    ``spacing_s`` is the current minimum time between two transactions, in seconds.
    """

    def __init__(self, table: Table, max_units: int = DEFAULT_MAX_UNITS) -> None:
        self._table = table
        self._max_units = max_units
        self._waiting: list[_Unit] = []
        self._task: asyncio.Task | None = None
        self._next_at = 0.0
        self.spacing_s = MIN_SPACING_S
        self.transactions = 0
        self.units = 0
        self.throttled = 0

    async def commit(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> TransactionResult:
        """Commit one unit; raises as :meth:`Table.commit` does."""
        unit = _Unit(conditions, writes)
        self._waiting.append(unit)
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return await unit.result

    async def _run(self) -> None:
        try:
            while self._waiting:
                await self._wait_for_spacing()
                await self._send(self._next_batch())
        finally:
            self._task = None

    async def _wait_for_spacing(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._next_at > now:
            await asyncio.sleep(self._next_at - now)
        # Jitter, so that processes throttled together do not stay synchronized.
        jitter = random.uniform(0.75, 1.25)
        now = asyncio.get_running_loop().time()
        self._next_at = now + self.spacing_s * jitter

    def _next_batch(self) -> list[_Unit]:
        # Units that name the same row must not share a transaction: both would be
        # checked against the state before it, and both would pass.
        batch: list[_Unit] = []
        remaining: list[_Unit] = []
        keys: set[RowKey] = set()
        for unit in self._waiting:
            if len(batch) < self._max_units and keys.isdisjoint(unit.keys):
                batch.append(unit)
                keys |= unit.keys
            else:
                remaining.append(unit)
        self._waiting = remaining
        return batch

    async def _send(self, units: list[_Unit]) -> None:
        transaction = Transaction(
            conditions=tuple(part for unit in units for part in unit.conditions),
            writes=tuple(part for unit in units for part in unit.writes),
        )
        self.transactions += 1
        self.units += len(units)
        try:
            result = await self._table.commit(transaction)
        except Throttled:
            self.throttled += 1
            self.spacing_s = min(MAX_SPACING_S, self.spacing_s * SPACING_GROWTH)
            self._waiting = units + self._waiting
            return
        except CoordinationError as error:
            _fail(units, error)
            return
        except BaseException as error:
            _fail(units, error)
            raise
        self.spacing_s = max(MIN_SPACING_S, self.spacing_s * SPACING_DECAY)
        if result.committed:
            for unit in units:
                _settle(unit, result)
            return
        self._waiting = _without_failed(units, result) + self._waiting


def _without_failed(units: list[_Unit], result: TransactionResult) -> list[_Unit]:
    failed = frozenset(result.failed)
    remaining: list[_Unit] = []
    for unit in units:
        unit_failed = tuple(key for key in failed if key in unit.keys)
        if unit_failed:
            _settle(unit, TransactionResult(committed=False, failed=unit_failed))
        else:
            remaining.append(unit)
    if len(remaining) == len(units):
        _fail(
            units,
            CoordinationError(
                "The table service refused a write but named no failed row."
            ),
        )
        return []
    return remaining


def _settle(unit: _Unit, result: TransactionResult) -> None:
    if not unit.result.done():
        unit.result.set_result(result)


def _fail(units: list[_Unit], error: BaseException) -> None:
    for unit in units:
        if not unit.result.done():
            unit.result.set_exception(error)
