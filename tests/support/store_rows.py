"""Rows of the store's tables, and tables that follow them, as tests need them."""

from collections.abc import Callable
from typing import Any

from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.process.store_tables import (
    StoredRow,
    TableChanges,
    TableReader,
    TableReplica,
)

__all__ = [
    "PROPAGATION_DEADLINE_S",
    "UnreachableStore",
    "changes",
    "table_replica",
    "row",
]

# For configurations and for servers that leave, on the users' sheets.
PROPAGATION_DEADLINE_S = 2.0
# Short, so that a test need not wait for a call that brings no changes.
WAIT_S = 0.01


def row(key: str, version: int, value: bytes | None = b"x") -> StoredRow:
    """Return a row; a value of None says that it was removed."""
    return StoredRow(key, version, value)


def changes(version: int, *rows: StoredRow) -> TableChanges:
    """Return rows that are complete up to a version."""
    return TableChanges(tuple(rows), version)


class UnreachableStore:
    """A store that never answers, for the reason that is given."""

    def __init__(self, reason: str) -> None:
        self._reason = reason

    async def read_table(self, table: str) -> TableChanges:
        """Say that the table cannot be read."""
        raise StoreUnavailable(table, self._reason)

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Say that the table cannot be read."""
        raise StoreUnavailable(table, self._reason)

    def response_started_at(self, table: str) -> None:
        """Return that no answer comes."""


def table_replica(
    reader: TableReader, table: str, **told: Callable[..., Any]
) -> TableReplica:
    """Return a table that tells of nothing but what ``told`` takes."""
    return TableReplica(
        reader,
        table,
        told.get("on_rows", lambda rows, source: None),
        told.get("on_whole", lambda keys: None),
        told.get("on_return", lambda: None),
        WAIT_S,
        PROPAGATION_DEADLINE_S,
    )
