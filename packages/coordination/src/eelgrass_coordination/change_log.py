"""The log of configuration changes in the table service.

One head row carries the revision. A change commits its own row, its id and the
head in one transaction that is conditional on the head, so changes are serial:
no two can be checked against the same state and both be accepted.

If the answer to a commit is lost, the same transaction is retried until its outcome
is known. Its conditions let it take effect at most once, and once the head has
advanced it can no longer take effect late.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from .configuration import Change, Problem, Snapshot, apply_change, stale_items
from .exceptions import PlatformError
from .ids import ChangeId, Revision
from .json_decoding import decode_json
from .table import Condition, Row, RowKey, Table, Transaction, Write

__all__ = ["ChangeLog", "ChangeOutcome", "ChangeResult"]

HEAD = RowKey("configuration_head", "head")
CHANGES = "configuration_changes"
CHANGE_IDS = "configuration_change_ids"
RETRY_INTERVAL_S = 0.05
READ_BATCH = 100


class ChangeOutcome(Enum):
    """The outcome of a change."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ChangeResult(msgspec.Struct, frozen=True):
    """The outcome of a change, with its revision or the reasons for its refusal."""

    outcome: ChangeOutcome
    revision: Revision = Revision(0)
    problems: tuple[Problem, ...] = ()


Check = Callable[[Snapshot, Snapshot], list[Problem]]
SnapshotAt = Callable[[Revision], Awaitable[Snapshot]]


class ChangeLog:
    """Reads and appends to the log. ``head_reads`` counts reads of the head row."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self.head_reads = 0

    async def head(self) -> tuple[Revision, int]:
        """Return the newest revision and the version of the head row."""
        self.head_reads += 1
        (row,) = await self._table.read((HEAD,))
        return _head_revision(row), row.version

    async def changes_after(self, revision: Revision, head: Revision) -> list[Change]:
        """Read the changes above ``revision`` up to ``head``, in order."""
        changes: list[Change] = []
        for first in range(revision + 1, head + 1, READ_BATCH):
            last = min(first + READ_BATCH - 1, head)
            keys = tuple(RowKey(CHANGES, change_key(n)) for n in range(first, last + 1))
            rows = await self._table.read(keys)
            changes += [_decoded(row) for row in rows]
        return changes

    async def find(self, change_id: ChangeId) -> Revision | None:
        """Return the revision at which a change was accepted, or None."""
        (row,) = await self._table.read((RowKey(CHANGE_IDS, change_id),))
        return Revision(row.value["revision"]) if row.value else None

    async def propose(
        self,
        change: Change,
        snapshot_at: SnapshotAt,
        check: Check,
        within: float,
    ) -> ChangeResult:
        """Check a change and commit it, within ``within`` seconds.

        ``snapshot_at`` returns a snapshot of at least the given revision. Proposing a
        change id that was accepted before returns the first result.
        """
        try:
            async with asyncio.timeout(within):
                return await self._propose(change, snapshot_at, check)
        except TimeoutError:
            return ChangeResult(ChangeOutcome.UNKNOWN)

    async def _propose(
        self, change: Change, snapshot_at: SnapshotAt, check: Check
    ) -> ChangeResult:
        while True:
            try:
                head, version = await self.head()
                accepted_at = await self.find(change.change_id)
                if accepted_at is not None:
                    return ChangeResult(ChangeOutcome.ACCEPTED, accepted_at)
                snapshot = await snapshot_at(head)
            except PlatformError:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if snapshot.revision != head:
                continue
            next_change = msgspec.structs.replace(
                change, revision=Revision(head + 1), at=time.time()
            )
            problems = find_problems(snapshot, next_change, check)
            if problems:
                return ChangeResult(ChangeOutcome.REFUSED, problems=tuple(problems))
            if await self._commit_with_retries(next_change, version):
                return ChangeResult(ChangeOutcome.ACCEPTED, next_change.revision)

    async def _commit_with_retries(self, change: Change, head_version: int) -> bool:
        transaction = _transaction(change, head_version)
        while True:
            try:
                result = await self._table.commit(transaction)
            except PlatformError:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            # The conflict may be with this process's own earlier write whose answer
            # was lost. The caller then finds the change id in the table.
            return result.committed


def change_key(revision: int) -> str:
    """Return the row key of a revision's change; keys sort in revision order."""
    return f"{revision:012d}"


def find_problems(snapshot: Snapshot, change: Change, check: Check) -> list[Problem]:
    """Return every reason to refuse ``change`` on top of ``snapshot``."""
    problems = stale_items(snapshot, change)
    if problems:
        return problems
    return check(snapshot, apply_change(snapshot, change))


def _transaction(change: Change, head_version: int) -> Transaction:
    key = change_key(change.revision)
    # Stored as text, so that reads return the checked values byte for byte.
    record = {"change": msgspec.json.encode(change).decode()}
    revision = {"revision": change.revision}
    return Transaction(
        conditions=(
            Condition(HEAD.table, HEAD.key, head_version),
            Condition(CHANGE_IDS, change.change_id, 0),
            Condition(CHANGES, key, 0),
        ),
        writes=(
            Write(HEAD.table, HEAD.key, revision),
            Write(CHANGE_IDS, change.change_id, revision),
            Write(CHANGES, key, record),
        ),
    )


def _decoded(row: Row) -> Change:
    return decode_json(row.value["change"], Change)


def _head_revision(row: Row) -> Revision:
    return Revision(row.value["revision"]) if row.value else Revision(0)
