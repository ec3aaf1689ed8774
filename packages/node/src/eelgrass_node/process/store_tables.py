"""A replica of one table of the platform's store that survives outages.

The replica starts with a full read of the table and then polls for changes. It never
goes back to an older state: a row is applied only if its version is newer, and a full
read that is older than the replica is rejected.

Rows do not depend on each other. One that cannot be applied is skipped, and all others
that came with it are applied.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from ..exceptions import HistoryGone, StoreUnavailable
from ..log import Part, log
from .store_backoff import StoreBackoff
from .table_reader import StoredRow, TableChanges, TableReader

__all__ = ["MAX_GAP_S", "TableReplica", "StoredRow", "TableChanges", "TableReader"]

# A table is confirmed after each wait for changes, at a relay as well. It takes longer
# if the store is away or this process has stood still: rows that were written and
# removed meanwhile are not known.
MAX_GAP_S = 2.5
# Recent batches of changes whose acknowledgement times are kept. Followers of a relay
# are one or two batches behind.
MAX_BATCHES = 8
# How many removed rows are remembered for followers that are behind. The number is
# bounded because servers come and go under new ids for as long as a node runs.
MAX_REMOVED_ROWS = 1000


class _Batch(msgspec.Struct, frozen=True):
    """Changes that led from one version to another, as they were read."""

    after: int
    version: int
    acknowledged_after: float | None


class TableReplica:
    """One table of the store, kept up to date by :meth:`run`.

    ``on_rows`` is called with the rows that changed and their source; if it fails, it
    is called again with fewer of them. ``on_snapshot`` is called with all existing keys
    after a full read. After an outage, ``on_store_recovered`` is called before either
    of them. ``wait_s`` bounds one wait for changes; a change must be in force within
    ``deadline_s``. Both are in seconds.
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
        # For each key the large row that the current row has replaced.
        self._previous_by_key: dict[str, StoredRow] = {}
        # The keys of removed rows, in the order of their removal.
        self._removed_keys: deque[str] = deque()
        self._version = -1
        self._batches: deque[_Batch] = deque(maxlen=MAX_BATCHES)
        # The time after which the store acknowledged the rows given to ``on_rows``,
        # None if it is not known.
        self.acknowledged_after: float | None = None
        self._is_complete = False
        self._was_sent = False
        # The version up to which removals may have been forgotten or missed.
        self._complete_from = -1
        self._changed = asyncio.Event()
        self.reachable = True
        self.lost_at = 0.0
        self.confirmed_at = 0.0
        self._followed_since = 0.0

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
                log(
                    Part.STORE,
                    "The store has dropped its history; reading the whole table.",
                    table=self._table,
                )
                # The first time a full read follows at once. If the store has dropped
                # its history again right after it, another one would not help.
                if was_gone:
                    await asyncio.sleep(self._history_backoff.next_delay_s())
                was_gone = True
            except StoreUnavailable as error:
                again_s = self._unavailable_backoff.next_delay_s()
                self._on_lost(error, again_s)
                await asyncio.sleep(again_s)

    @property
    def has_rows(self) -> bool:
        """Whether the table was ever read, or another node has sent rows of it."""
        return self._version >= 0 or bool(self._row_by_key)

    @property
    def was_received(self) -> bool:
        """Whether the table was ever read, or another node has sent it, maybe empty."""
        return self._version >= 0 or self._was_sent

    def rows(self) -> tuple[StoredRow, ...]:
        """Return all known rows, for a node that cannot reach the store."""
        return tuple(self._row_by_key.values())

    def row(self, key: str) -> StoredRow | None:
        """Return the last known row of a key, which may be a removal."""
        return self._row_by_key.get(key)

    def previous_large_row(self, key: str, version: int) -> StoredRow | None:
        """Return the large row that the current row of a key has replaced.

        Return None if there is none, or if it is newer than ``version``.
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
        """Return all existing rows, as of the replica's version.

        Raises :class:`StoreUnavailable` until the table has been read in full.
        """
        self._check_complete()
        rows = (row for row in self._row_by_key.values() if row.value is not None)
        return TableChanges(tuple(rows), self._version)

    def changes_after(self, version: int) -> TableChanges:
        """Return the rows changed after a version, in the order of their change.

        Raises :class:`HistoryGone` if removals since then may be missing, and
        :class:`StoreUnavailable` until the table has been read in full.
        """
        self._check_complete()
        if version < self._complete_from:
            raise HistoryGone(self._table)
        # Rows from other nodes may be newer than the version up to which this replica
        # is complete. A follower would get them again with every call, without a wait.
        rows = [
            row
            for row in self._row_by_key.values()
            if version < row.version <= self._version
        ]
        rows.sort(key=lambda row: row.version)
        return TableChanges(
            tuple(rows), self._version, self._acknowledged_after(version)
        )

    def _acknowledged_after(self, version: int) -> float | None:
        """Return the time after which all rows newer than a version were acknowledged.

        None if it is not known.
        """
        batches = [batch for batch in self._batches if batch.version > version]
        times = [batch.acknowledged_after for batch in batches]
        if not batches or batches[0].after > version or None in times:
            return None
        return min(times)

    def _check_complete(self) -> None:
        if not self._is_complete:
            raise StoreUnavailable(self._table, "it has not been read in full yet")

    async def wait_for_change(self, within_s: float) -> None:
        """Wait until rows change or the store is lost, at most ``within_s``."""
        changed = self._changed
        try:
            async with asyncio.timeout(within_s):
                await changed.wait()
        except TimeoutError:
            return

    def apply_peer_rows(self, rows: tuple[StoredRow, ...], node: str) -> None:
        """Apply the rows of another node, which is named by its address.

        This replica has all changes up to its version. An older row that is missing
        here was removed; if it were applied, no later change would remove it again.
        """
        self._was_sent = True
        newer = (row for row in rows if row.version > self._version)
        applied = tuple(row for row in newer if self._apply_if_newer(row))
        if not applied:
            return
        log(
            Part.STORE,
            "Rows came from another node.",
            table=self._table,
            node=node,
            rows=len(applied),
            newest=max(row.version for row in applied),
            complete_to=self._version,
        )
        self.acknowledged_after = None
        self._deliver(applied, f"node {node}")

    async def _step(self) -> bool:
        """Make one call; return True for a feed and False for a full read."""
        if self._is_complete:
            began = asyncio.get_running_loop().time()
            changes = await self._reader.feed(self._table, self._version, self._wait_s)
            self._on_reached(began)
            self._apply(changes)
            return True
        began = asyncio.get_running_loop().time()
        changes = await self._reader.read_table(self._table)
        self._on_reached(began)
        if changes.version < self._version:
            raise StoreUnavailable(
                self._table, "its answer is older than the state of this node"
            )
        self._apply_snapshot(changes)
        return False

    def _apply_snapshot(self, changes: TableChanges) -> None:
        self._is_complete = True
        self._complete_from = changes.version
        keys = {row.key for row in changes.rows}
        # Rows from other nodes may be newer than the full read.
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
        applied = tuple(row for row in changes.rows if self._apply_if_newer(row))
        if changes.version > self._version:
            self._batches.append(
                _Batch(self._version, changes.version, changes.acknowledged_after)
            )
            self._version = changes.version
        if applied:
            self.acknowledged_after = changes.acknowledged_after
            self._deliver(applied, "store")
            self._wake_waiters()

    def _deliver(self, rows: tuple[StoredRow, ...], source: str) -> None:
        """Pass rows on, in ever smaller parts until those are left that cannot be.

        These rows are not read again, so none may be lost with another one.
        """
        try:
            self._on_rows(rows, source)
            return
        except Exception as error:  # noqa: BLE001
            if len(rows) == 1:
                log(
                    Part.STORE,
                    "A row cannot be applied; it is skipped.",
                    table=self._table,
                    row=rows[0].key,
                    version=rows[0].version,
                    source=source,
                    error=repr(error),
                )
                return
        middle = len(rows) // 2
        self._deliver(rows[:middle], source)
        self._deliver(rows[middle:], source)

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
        """Remember a removal, and forget the oldest one beyond the limit."""
        self._removed_keys.append(key)
        if len(self._removed_keys) <= MAX_REMOVED_ROWS:
            return
        first = self._row_by_key.get(self._removed_keys.popleft())
        if first is not None and first.value is None:
            del self._row_by_key[first.key]
            self._complete_from = max(self._complete_from, first.version)

    def is_confirmed_within(self, max_age_s: float) -> bool:
        """Return whether the table was read within so many seconds."""
        age_s = asyncio.get_running_loop().time() - self.confirmed_at
        return self.reachable and age_s <= max_age_s

    def followed_since(self) -> float:
        """Return the time since which the table was read without a gap until now."""
        now = asyncio.get_running_loop().time()
        return now if now - self.confirmed_at > MAX_GAP_S else self._followed_since

    async def catch_up(self) -> bool:
        """Ask the store what has changed; return whether it has answered.

        All that it had acknowledged before the call is known then, however old the
        last answer was.
        """
        if not self._is_complete:
            return False
        try:
            changes = await self._reader.feed_at_once(self._table, self._version)
        except (StoreUnavailable, HistoryGone) as error:
            log(
                Part.STORE,
                "The store did not say whether a table is up to date.",
                table=self._table,
                error=str(error),
            )
            return False
        self._apply(changes)
        return True

    def _on_reached(self, began: float) -> None:
        """Handle the answer to a call, which may have waited here to be read."""
        self._followed_since = self.followed_since()
        self.confirmed_at = began
        if not self.reachable:
            self.reachable = True
            lost_s = asyncio.get_running_loop().time() - self.lost_at
            log(
                Part.STORE,
                "The table can be read again.",
                table=self._table,
                lost_s=lost_s,
            )
            self._on_store_recovered()

    def _on_lost(self, error: StoreUnavailable, again_s: float) -> None:
        first = self.reachable
        if first:
            self.reachable = False
            self.lost_at = asyncio.get_running_loop().time()
            self._wake_waiters()
        log(
            Part.STORE,
            "The table cannot be read." if first else "The table still cannot be read.",
            table=self._table,
            error=str(error),
            lost_s=asyncio.get_running_loop().time() - self.lost_at,
            again_s=again_s,
        )
