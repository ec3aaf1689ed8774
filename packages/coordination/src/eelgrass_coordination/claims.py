"""Claims: a non-idempotent request runs at most once, whichever node receives it.

A claim is an idempotency record: a row that is inserted, if absent, before the first
dispatch. It is never taken over. Only its owner may release it, and only if the owner
knows that nothing was dispatched. When an answer of the table service is lost, the
same conditional write is repeated; the claim id in the row then tells whether the
first attempt took effect.

A write whose answer was lost may take effect after its sender has given up. An
abandoned claim is therefore closed by writing a released row in its place, after
which the condition of the late write fails.

Example::

    outcome = await claims.acquire(claim, within=0.5)
    if outcome.acquired:
        ...
        await claims.complete(outcome, answer)
"""

import asyncio
import hashlib
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec

from .exceptions import ClaimUnsettled, OutcomeUnknown, PlatformError
from .group_commit import GroupCommit
from .ids import AccountName, ClaimId, Incarnation, NodeId
from .table import Condition, Row, RowKey, Table, TransactionResult, Write

__all__ = ["Acquisition", "Claim", "ClaimState", "Claims", "claim_row_key"]

CLAIMS = "claims"
OPEN_CLAIMS = "open_claims"
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class ClaimState(Enum):
    """The state of the request that a claim stands for."""

    RUNNING = "running"
    COMPLETED = "completed"
    RELEASED = "released"
    UNKNOWN = "unknown"
    RESOLVED = "resolved"


class Claim(msgspec.Struct, frozen=True):
    """A claim row.

    ``digest`` is the digest of the request body and ``owner_address`` the IP address
    and port at which the owner answers peers. ``started_at`` and ``deadline_at`` are
    wall-clock seconds for operators to read; no decision depends on them.
    """

    claim_id: ClaimId
    account: AccountName
    key: str
    digest: str
    pipeline: str
    owner: NodeId
    owner_incarnation: Incarnation
    owner_address: str
    started_at: float
    deadline_at: float
    state: ClaimState = ClaimState.RUNNING
    answer: Any = None
    note: str = ""


class Acquisition(msgspec.Struct, frozen=True):
    """The claim in the row, the row's version, and whether this caller acquired it."""

    acquired: bool
    claim: Claim
    version: int


def claim_row_key(account: AccountName, key: str) -> str:
    """Return the row key of a claim.

    The caller-supplied ``key`` is hashed, since it may hold any text.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{account}/{digest}"


class Claims:
    """The claims of one process in the table service."""

    def __init__(
        self,
        table: Table,
        on_retry: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._table = table
        self._group = GroupCommit(table)
        self._on_retry = on_retry
        self._background_tasks: set[asyncio.Task] = set()

    @property
    def group(self) -> GroupCommit:
        """The underlying group commit, for its counters."""
        return self._group

    async def acquire(self, claim: Claim, within: float) -> Acquisition:
        """Insert ``claim`` if there is none, within ``within`` seconds.

        Raises :class:`ClaimUnsettled` if the table service does not confirm or refuse
        the claim in time; the claim is then closed in the background.
        """
        last_expected = [0]
        try:
            async with asyncio.timeout(within):
                return await self._acquire(claim, last_expected)
        except TimeoutError as error:
            self._start_background(self._close_abandoned(claim, last_expected[0]))
            raise ClaimUnsettled("the table service did not confirm it") from error
        except asyncio.CancelledError:
            self._start_background(self._close_abandoned(claim, last_expected[0]))
            raise

    async def _acquire(self, claim: Claim, last_expected: list[int]) -> Acquisition:
        while True:
            expected = last_expected[0]
            result = await self._commit_with_retries(claim, expected)
            if result.committed:
                return Acquisition(acquired=True, claim=claim, version=expected + 1)
            row = await self._read_with_retries(claim)
            found = _claim_of(row)
            if found is None:
                last_expected[0] = 0
            elif found.claim_id == claim.claim_id:
                return Acquisition(acquired=True, claim=claim, version=row.version)
            elif found.state is ClaimState.RELEASED:
                last_expected[0] = row.version
            else:
                return Acquisition(acquired=False, claim=found, version=row.version)

    async def complete(self, held: Acquisition, answer: Any) -> bool:
        """Store the answer; waits until the table service has confirmed the outcome."""
        return await self._finish(held, ClaimState.COMPLETED, answer, "")

    async def release(self, held: Acquisition) -> bool:
        """Release the claim; allowed only if nothing was dispatched for it."""
        return await self._finish(held, ClaimState.RELEASED, None, "not run")

    async def mark_unknown(self, held: Acquisition, note: str) -> bool:
        """Record that the request may have run; operators see the claim as open."""
        return await self._finish(held, ClaimState.UNKNOWN, None, note)

    def finish_in_background(self, finishing: Any) -> asyncio.Task:
        """Run ``complete`` or ``release`` after the caller has been answered."""
        return self._start_background(finishing)

    async def find(self, account: AccountName, key: str) -> Row:
        """Read the claim row of a key."""
        row_key = RowKey(CLAIMS, claim_row_key(account, key))
        (row,) = await self._table.read((row_key,))
        return row

    async def list_open(self, after: str = "", limit: int = 500) -> tuple[Claim, ...]:
        """Read a page of the claims that have not reached a final state."""
        rows = await self._table.scan(OPEN_CLAIMS, after, limit)
        keys = tuple(RowKey(CLAIMS, row.key) for row in rows)
        if not keys:
            return ()
        found = (_claim_of(row) for row in await self._table.read(keys))
        return tuple(claim for claim in found if claim is not None)

    async def resolve(self, account: AccountName, key: str, note: str) -> bool:
        """Close an open claim on behalf of an operator; repeats are then refused.

        Returns whether the claim was open. The key stays claimed, so the request
        cannot run a second time under it.
        """
        row = await self.find(account, key)
        claim = _claim_of(row)
        if claim is None or claim.state not in (
            ClaimState.UNKNOWN,
            ClaimState.RUNNING,
        ):
            return False
        held = Acquisition(acquired=True, claim=claim, version=row.version)
        return await self._finish(held, ClaimState.RESOLVED, None, note)

    async def drain(self, within: float) -> int:
        """Wait for background tasks; return how many are still unfinished."""
        if self._background_tasks:
            await asyncio.wait(self._background_tasks, timeout=within)
        return len(self._background_tasks)

    async def close(self) -> None:
        """Cancel the background tasks."""
        for task in list(self._background_tasks):
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)

    async def _finish(
        self, held: Acquisition, state: ClaimState, answer: Any, note: str
    ) -> bool:
        final = msgspec.structs.replace(
            held.claim, state=state, answer=answer, note=note
        )
        result = await self._commit_with_retries(final, held.version)
        if result.committed:
            return True
        found = _claim_of(await self._read_with_retries(final))
        return (
            found is not None
            and found.claim_id == final.claim_id
            and found.state is state
        )

    async def _close_abandoned(self, claim: Claim, last_expected: int) -> None:
        released = msgspec.structs.replace(
            claim, state=ClaimState.RELEASED, note="abandoned"
        )
        version = last_expected
        while True:
            result = await self._commit_with_retries(released, version)
            if result.committed:
                return
            row = await self._read_with_retries(claim)
            found = _claim_of(row)
            ours = found is not None and found.claim_id == claim.claim_id
            if not ours or found.state is not ClaimState.RUNNING:
                return
            version = row.version

    async def _commit_with_retries(
        self, claim: Claim, version: int
    ) -> TransactionResult:
        key = claim_row_key(claim.account, claim.key)
        conditions = (Condition(CLAIMS, key, version),)
        writes = (Write(CLAIMS, key, msgspec.to_builtins(claim)), _open_row(claim, key))
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                return await self._group.commit(conditions, writes)
            except OutcomeUnknown:
                self._on_retry("claim_answer_lost")
            except PlatformError:
                self._on_retry("claim_platform_unavailable")
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _read_with_retries(self, claim: Claim) -> Row:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                return await self.find(claim.account, claim.key)
            except PlatformError:
                self._on_retry("claim_read")
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def _start_background(self, work: Any) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


def _claim_of(row: Row) -> Claim | None:
    if row.value is None:
        return None
    return msgspec.convert(row.value, Claim)


def _open_row(claim: Claim, key: str) -> Write:
    still_open = claim.state in (ClaimState.RUNNING, ClaimState.UNKNOWN)
    return Write(OPEN_CLAIMS, key, {"since": time.time()} if still_open else None)
