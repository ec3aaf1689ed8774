"""Follows one table of the platform's store, through outages and lost history.

The follower reads the table whole, then asks for changes again and again. What
it has taken in never goes back: a row is taken only with a newer version, and a
whole read that is older than what is known is not believed.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from ..exceptions import HistoryGone, StoreUnavailable
from ..log import Part, log
from .store_backoff import StoreBackoff

__all__ = ["TableReplica", "StoredRow", "TableChanges", "TableReader"]

# In bytes of the value; smaller rows fit into a few packets.
LARGE_ROW_BYTES = 4096
# Rows that are gone and still known one by one, for followers that are behind; servers
# come and go with new ids for as long as a node runs.
MAX_REMOVED_ROWS = 1000


class StoredRow(msgspec.Struct, frozen=True):
    """A row of a table; ``value`` is None where the row is gone."""

    key: str
    version: int
    value: bytes | None

    @property
    def is_large(self) -> bool:
        """Whether it pays to send only what has changed in it."""
        return self.value is not None and len(self.value) >= LARGE_ROW_BYTES


class TableChanges(msgspec.Struct, frozen=True):
    """Rows, and the version of the store up to which they are complete."""

    rows: tuple[StoredRow, ...]
    version: int


class TableReader(Protocol):
    """What the follower needs of the store."""

    async def read_table(self, table: str) -> TableChanges:
        """Return all rows of a table; raises :class:`StoreUnavailable`."""

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return changed rows; raises also :class:`HistoryGone`."""


class TableReplica:
    """One table of the store, kept up to date by :meth:`run`.

    ``on_rows`` is told the rows that changed and from where they came, ``on_whole``
    the keys there are after a whole read, and before either ``on_return`` that the
    store had been out of reach. ``wait_s`` bounds one wait for changes and
    ``promised_s`` is the time within which a change must be in force, in seconds.
    """

    def __init__(
        self,
        reader: TableReader,
        table: str,
        on_rows: Callable[[tuple[StoredRow, ...], str], None],
        on_snapshot: Callable[[set[str]], None],
        on_store_recovered: Callable[[], None],
        wait_s: float,
        deadline_s: float,
    ) -> None:
        self._reader = reader
        self._table = table
        self._on_rows = on_rows
        self._on_snapshot = on_snapshot
        self._on_store_recovered = on_store_recovered
        self._wait_s = wait_s
        self._unavailable_backoff = StoreBackoff(deadline_s)
        self._history_backoff = StoreBackoff(deadline_s)
        self._row_by_key: dict[str, StoredRow] = {}
        # Large rows that the one of their key has replaced.
        self._previous_by_key: dict[str, StoredRow] = {}
        # The keys of rows that are gone, in the order in which they went.
        self._removed_keys: deque[str] = deque()
        self._version = -1
        self._is_complete = False
        # Removals before this version are not known one by one.
        self._complete_from = -1
        self._changed = asyncio.Event()
        self.reachable = True
        self.lost_at = 0.0
        self.confirmed_at = 0.0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        was_gone = False
        while True:
            try:
                if await self._step():
                    was_gone = False
                    self._history_backoff.reset()
                self._unavailable_backoff.reset()
            except HistoryGone:
                self._is_complete = False
                log(Part.STORE, "The history is gone; reading all.", table=self._table)
                # Once is cured by reading all at once; where it is gone again
                # straight after that, nothing is gained by haste.
                if was_gone:
                    await asyncio.sleep(self._history_backoff.next_delay_s())
                was_gone = True
            except StoreUnavailable as error:
                again_s = self._unavailable_backoff.next_delay_s()
                self._on_lost(error, again_s)
                await asyncio.sleep(again_s)

    @property
    def has_rows(self) -> bool:
        """Whether the table was ever read, or another node told of rows of it."""
        return self._version >= 0 or bool(self._row_by_key)

    def rows(self) -> tuple[StoredRow, ...]:
        """Return all rows that are known, for a node that reaches no store."""
        return tuple(self._row_by_key.values())

    def row(self, key: str) -> StoredRow | None:
        """Return the row of a key as it is known, also where it is gone."""
        return self._row_by_key.get(key)

    def previous_large_row(self, key: str, version: int) -> StoredRow | None:
        """Return the large row that the one of a key has replaced.

        None where there is none, or it was not there yet at a version.
        """
        before = self._previous_by_key.get(key)
        if before is None or before.version > version:
            return None
        return before

    @property
    def complete_to(self) -> int:
        """The version up to which all changes are known; -1 before the first read."""
        return self._version

    def snapshot(self) -> TableChanges:
        """Return all rows that there are, as of the version that is known.

        Raises :class:`StoreUnavailable` where the table has yet to be read whole.
        """
        self._check_complete()
        rows = (row for row in self._row_by_key.values() if row.value is not None)
        return TableChanges(tuple(rows), self._version)

    def changes_after(self, version: int) -> TableChanges:
        """Return the rows changed after a version, in the order of their change.

        Raises :class:`HistoryGone` where removals since then may be missing, and
        :class:`StoreUnavailable` where the table has yet to be read whole.
        """
        self._check_complete()
        if version < self._complete_from:
            raise HistoryGone(self._table)
        # Rows that came from other nodes may be newer than what is complete here; a
        # follower would get them again with each call, at once.
        rows = [
            row
            for row in self._row_by_key.values()
            if version < row.version <= self._version
        ]
        rows.sort(key=lambda row: row.version)
        return TableChanges(tuple(rows), self._version)

    def _check_complete(self) -> None:
        if not self._is_complete:
            raise StoreUnavailable(self._table, "it has yet to be read whole")

    async def wait_for_change(self, within_s: float) -> None:
        """Wait until rows have changed or the store is lost, or for so long."""
        changed = self._changed
        try:
            async with asyncio.timeout(within_s):
                await changed.wait()
        except TimeoutError:
            return

    def apply_peer_rows(self, rows: tuple[StoredRow, ...], node: str) -> None:
        """Take in what another node, named by its address, knows of the table.

        All changes up to the version of this table are known here. An older row that
        is not known was removed, and nobody would tell of its removal again.
        """
        newer = (row for row in rows if row.version > self._version)
        news = tuple(row for row in newer if self._apply_if_newer(row))
        if not news:
            return
        log(
            Part.STORE,
            "Rows came from another node.",
            table=self._table,
            node=node,
            rows=len(news),
            newest=max(row.version for row in news),
            complete_to=self._version,
        )
        self._on_rows(news, f"node {node}")

    async def _step(self) -> bool:
        """Make one call; return whether it brought changes, and not the whole."""
        if self._is_complete:
            changes = await self._reader.feed(self._table, self._version, self._wait_s)
            self._on_reached()
            self._apply(changes)
            return True
        changes = await self._reader.read_table(self._table)
        self._on_reached()
        if changes.version < self._version:
            raise StoreUnavailable(self._table, "an old state was read")
        self._apply_snapshot(changes)
        return False

    def _apply_snapshot(self, changes: TableChanges) -> None:
        self._is_complete = True
        self._complete_from = changes.version
        keys = {row.key for row in changes.rows}
        # What other nodes have told of may be newer than what was read.
        keys |= {
            row.key
            for row in self._row_by_key.values()
            if row.version > changes.version and row.value is not None
        }
        for key in self._row_by_key.keys() - keys:
            del self._row_by_key[key]
            self._previous_by_key.pop(key, None)
        self._apply(changes)
        self._on_snapshot(keys)

    def _apply(self, changes: TableChanges) -> None:
        news = tuple(row for row in changes.rows if self._apply_if_newer(row))
        self._version = max(self._version, changes.version)
        if news:
            self._on_rows(news, "store")
            self._wake_waiters()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply_if_newer(self, row: StoredRow) -> bool:
        current = self._row_by_key.get(row.key)
        if current is not None and row.version <= current.version:
            return False
        if current is not None and current.is_large:
            self._previous_by_key[row.key] = current
        else:
            self._previous_by_key.pop(row.key, None)
        self._row_by_key[row.key] = row
        if row.value is None:
            self._record_removal(row.key)
        return True

    def _record_removal(self, key: str) -> None:
        """Remember that a row is gone, in place of the one that went first."""
        self._removed_keys.append(key)
        if len(self._removed_keys) <= MAX_REMOVED_ROWS:
            return
        first = self._row_by_key.get(self._removed_keys.popleft())
        if first is not None and first.value is None:
            del self._row_by_key[first.key]
            self._complete_from = max(self._complete_from, first.version)

    def _on_reached(self) -> None:
        self.confirmed_at = asyncio.get_running_loop().time()
        if not self.reachable:
            self.reachable = True
            lost_s = self.confirmed_at - self.lost_at
            log(Part.STORE, "Reached again.", table=self._table, lost_s=lost_s)
            self._on_store_recovered()

    def _on_lost(self, error: StoreUnavailable, again_s: float) -> None:
        first = self.reachable
        if first:
            self.reachable = False
            self.lost_at = asyncio.get_running_loop().time()
            self._wake_waiters()
        log(
            Part.STORE,
            "Lost." if first else "Still lost.",
            table=self._table,
            error=str(error),
            lost_s=asyncio.get_running_loop().time() - self.lost_at,
            again_s=again_s,
        )
