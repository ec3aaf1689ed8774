"""The rows of the platform's store, and the calls that read them."""

from typing import Protocol

import msgspec

__all__ = ["StoredRow", "TableChanges", "TableReader"]

# Size of the value, in bytes, from which a row is sent as a difference; smaller rows
# fit into a few packets.
LARGE_ROW_BYTES = 4096


class StoredRow(msgspec.Struct, frozen=True):
    """A row of a table; ``value`` is None if the row was removed."""

    key: str
    version: int
    value: bytes | None

    @property
    def is_large(self) -> bool:
        """Whether a change of the row is worth sending as a difference."""
        return self.value is not None and len(self.value) >= LARGE_ROW_BYTES


class TableChanges(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changed rows, complete up to a version of the store.

    The store acknowledged none of the rows before ``acknowledged_after``, a time of
    this node's event loop; None if that is not known.
    """

    rows: tuple[StoredRow, ...]
    version: int
    acknowledged_after: float | None = None


class TableReader(Protocol):
    """The read operations that a replica needs."""

    async def read_table(self, table: str) -> TableChanges:
        """Return all rows of a table; raises :class:`StoreUnavailable`."""

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return the rows changed after a version, waiting for the first change.

        Raises :class:`StoreUnavailable`, and :class:`HistoryGone` if the history does
        not go back to the version.
        """

    async def feed_at_once(self, table: str, after: int) -> TableChanges:
        """Return the rows changed after a version, from the store itself.

        Raises the same as :meth:`feed`.
        """
