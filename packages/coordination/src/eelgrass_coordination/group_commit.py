"""Group commit: many small transactions in one write to the table service.

While one write is under way, further units gather; they go out together when
it returns. A unit whose condition fails is answered alone, and the others are
sent again without it.

Writes keep a spacing, which doubles when the service says that its rate limit
is reached and shrinks again with each write that it takes. So many processes
share the limit without knowing of each other, and a refused unit waits here
for the next write instead of going back to its sender.
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
        named = [*conditions, *writes]
        self.keys = frozenset(RowKey(part.table, part.key) for part in named)


class GroupCommit:
    """Gathers transactions for one table service.

    ``transactions`` and ``units`` count what was sent and what it carried,
    ``throttled`` the transactions refused for the rate limit. ``spacing_s`` is
    the least time between two transactions now, in seconds.
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
                await self._keep_spacing()
                await self._send(self._take())
        finally:
            self._task = None

    async def _keep_spacing(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._next_at > now:
            await asyncio.sleep(self._next_at - now)
        # Spread out, so that processes throttled together do not stay in step.
        spread = random.uniform(0.75, 1.25)
        now = asyncio.get_running_loop().time()
        self._next_at = now + self.spacing_s * spread

    def _take(self) -> list[_Unit]:
        # Units that name a common row must not share a transaction: both would
        # be checked against the state before it, and both would pass.
        taken: list[_Unit] = []
        left: list[_Unit] = []
        keys: set[RowKey] = set()
        for unit in self._waiting:
            if len(taken) < self._max_units and keys.isdisjoint(unit.keys):
                taken.append(unit)
                keys |= unit.keys
            else:
                left.append(unit)
        self._waiting = left
        return taken

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
    left: list[_Unit] = []
    for unit in units:
        own = tuple(key for key in failed if key in unit.keys)
        if own:
            _settle(unit, TransactionResult(committed=False, failed=own))
        else:
            left.append(unit)
    if len(left) == len(units):
        _fail(units, CoordinationError("A refused transaction named no failed row."))
        return []
    return left


def _settle(unit: _Unit, result: TransactionResult) -> None:
    if not unit.result.done():
        unit.result.set_result(result)


def _fail(units: list[_Unit], error: BaseException) -> None:
    for unit in units:
        if not unit.result.done():
            unit.result.set_exception(error)
