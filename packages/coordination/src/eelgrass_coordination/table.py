"""The interface of the platform's transactional table service.

A row is identified by table and key and has a version, which the service increments
by one at each write. Version 0 means that the row does not exist. A transaction
commits all of its writes, or none if a condition fails.

Example::

    result = await table.commit(
        Transaction(
            conditions=(Condition("leases", "engines", 0),),
            writes=(Write("leases", "engines", {"holder": "node-1"}),),
        )
    )
"""

from typing import Any, Protocol

import msgspec

__all__ = [
    "Condition",
    "Row",
    "RowKey",
    "Table",
    "Transaction",
    "TransactionResult",
    "Write",
]


class RowKey(msgspec.Struct, frozen=True, array_like=True):
    """The identity of a row."""

    table: str
    key: str


class Row(msgspec.Struct, frozen=True):
    """A row as read; if it is absent, ``version`` is 0 and ``value`` is None."""

    table: str
    key: str
    version: int
    value: dict[str, Any] | None = None


class Condition(msgspec.Struct, frozen=True):
    """Requires that a row has exactly this version."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Replaces a row, or deletes it if ``value`` is None."""

    table: str
    key: str
    value: dict[str, Any] | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect atomically if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class TransactionResult(msgspec.Struct, frozen=True):
    """Whether a transaction committed, and the rows whose conditions failed."""

    committed: bool
    failed: tuple[RowKey, ...] = ()


class Table(Protocol):
    """The operations that this package needs of the table service."""

    async def commit(
        self, transaction: Transaction, timeout: float | None = None
    ) -> TransactionResult:
        """Commit ``transaction``; ``timeout`` is in seconds.

        Raises :class:`PlatformUnavailable` if it certainly had no effect and
        :class:`OutcomeUnknown` if it may have had one.
        """

    async def read(
        self, keys: tuple[RowKey, ...], timeout: float | None = None
    ) -> tuple[Row, ...]:
        """Read rows from one consistent state, in the order of ``keys``."""

    async def scan(
        self, table: str, after: str = "", limit: int = 500
    ) -> tuple[Row, ...]:
        """Read up to ``limit`` rows with keys after ``after``, in key order."""
