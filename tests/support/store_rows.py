"""Helpers to build rows of the store's tables, and table replicas, for tests."""

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

# The deadline for configurations and for servers that leave.
PROPAGATION_DEADLINE_S = 2.0
# Short, so that a test does not wait for a call without changes.
WAIT_S = 0.01


def row(key: str, version: int, value: bytes | None = b"x") -> StoredRow:
    """Return a row; a value of None marks a removal."""
    return StoredRow(key, version, value)


def changes(version: int, *rows: StoredRow) -> TableChanges:
    """Return rows that are complete up to a version."""
    return TableChanges(tuple(rows), version)


class UnreachableStore:
    """A store whose calls always fail with the given reason."""

    def __init__(self, reason: str) -> None:
        self._reason = reason

    async def read_table(self, table: str) -> TableChanges:
        """Say that the table cannot be read."""
        raise StoreUnavailable(table, self._reason)

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Say that the table cannot be read."""
        raise StoreUnavailable(table, self._reason)

    def response_started_at(self, table: str) -> None:
        """Return None: no answer is being received."""


def table_replica(
    reader: TableReader, table: str, **callbacks: Callable[..., Any]
) -> TableReplica:
    """Return a replica with the given callbacks; the others do nothing."""
    return TableReplica(
        reader,
        table,
        callbacks.get("on_rows", lambda rows, source: None),
        callbacks.get("on_snapshot", lambda keys: None),
        callbacks.get("on_store_recovered", lambda: None),
        WAIT_S,
        PROPAGATION_DEADLINE_S,
    )
