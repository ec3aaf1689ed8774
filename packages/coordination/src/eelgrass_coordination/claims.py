"""Claims: at most one run of a non-idempotent request, wherever it arrives.

A claim is a row inserted if absent before the first dispatch. It is never taken
over: only its owner may release it, and only where the owner knows that nothing
was dispatched. A lost answer of the table service is settled by repeating the
same conditional write, because the row names its claim id.

A write whose answer was lost may land after its sender gave up. An abandoned
claim is therefore closed by writing a released row in its place: from then on
the condition of the late write can no longer hold.

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

__all__ = ["Claim", "ClaimState", "Claims", "Acquisition", "claim_row_key"]

CLAIMS = "claims"
OPEN_CLAIMS = "open_claims"
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0


class ClaimState(Enum):
    """What is known of the request behind a claim."""

    RUNNING = "running"
    COMPLETED = "completed"
    RELEASED = "released"
    UNKNOWN = "unknown"
    RESOLVED = "resolved"


class Claim(msgspec.Struct, frozen=True):
    """A claim row.

    ``digest`` is that of the request body, ``owner_address`` the IP address and
    port at which the owner answers peers, ``started_at`` and ``deadline_at``
    are wall-clock seconds for operators to read; nothing is decided by them.
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
    """The result of an acquisition: the row's claim, and whether it is ours."""

    acquired: bool
    claim: Claim
    version: int


def claim_row_key(account: AccountName, key: str) -> str:
    """Return the row key of a claim; hashed, since callers choose ``key``."""
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
        self._closing: set[asyncio.Task] = set()

    @property
    def group(self) -> GroupCommit:
        """The group commit below, for its counters."""
        return self._group

    async def acquire(self, claim: Claim, within: float) -> Acquisition:
        """Insert ``claim`` if there is none, within that many seconds.

        Raises :class:`ClaimUnsettled` where the table service does not settle
        it in time; the claim is then closed in the background.
        """
        tried = [0]
        try:
            async with asyncio.timeout(within):
                return await self._acquire(claim, tried)
        except TimeoutError as error:
            self._in_background(self._close_abandoned(claim, tried[0]))
            raise ClaimUnsettled("the platform did not settle it") from error
        except asyncio.CancelledError:
            self._in_background(self._close_abandoned(claim, tried[0]))
            raise

    async def _acquire(self, claim: Claim, tried: list[int]) -> Acquisition:
        while True:
            expected = tried[0]
            result = await self._commit_until_answered(claim, expected)
            if result.committed:
                return Acquisition(acquired=True, claim=claim, version=expected + 1)
            row = await self._read_until_answered(claim)
            found = _claim_of(row)
            if found is None:
                tried[0] = 0
            elif found.claim_id == claim.claim_id:
                return Acquisition(acquired=True, claim=claim, version=row.version)
            elif found.state is ClaimState.RELEASED:
                tried[0] = row.version
            else:
                return Acquisition(acquired=False, claim=found, version=row.version)

    async def complete(self, held: Acquisition, answer: Any) -> bool:
        """Store the answer; waits until the table service has settled it."""
        return await self._finish(held, ClaimState.COMPLETED, answer, "")

    async def release(self, held: Acquisition) -> bool:
        """Give the claim back; only where nothing was dispatched for it."""
        return await self._finish(held, ClaimState.RELEASED, None, "not run")

    async def mark_unknown(self, held: Acquisition, note: str) -> bool:
        """Record that the request may have run; operators see it listed."""
        return await self._finish(held, ClaimState.UNKNOWN, None, note)

    def finish_in_background(self, finishing: Any) -> asyncio.Task:
        """Go on with ``complete`` or ``release`` after the caller's answer."""
        return self._in_background(finishing)

    async def find(self, account: AccountName, key: str) -> Row:
        """Read the claim row of a key."""
        row_key = RowKey(CLAIMS, claim_row_key(account, key))
        (row,) = await self._table.read((row_key,))
        return row

    async def list_open(self, after: str = "", limit: int = 500) -> tuple[Claim, ...]:
        """Read a page of the claims that have no final state."""
        rows = await self._table.scan(OPEN_CLAIMS, after, limit)
        keys = tuple(RowKey(CLAIMS, row.key) for row in rows)
        if not keys:
            return ()
        found = (_claim_of(row) for row in await self._table.read(keys))
        return tuple(claim for claim in found if claim is not None)

    async def resolve(self, account: AccountName, key: str, note: str) -> bool:
        """Let an operator close an unknown claim; a repeat is then refused.

        Returns whether the claim was open. It stays claimed, so the request
        still cannot run a second time under this key.
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
        """Wait for background work; return how many pieces are left undone."""
        if self._closing:
            await asyncio.wait(self._closing, timeout=within)
        return len(self._closing)

    async def close(self) -> None:
        """Cancel background work."""
        for task in list(self._closing):
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def _finish(
        self, held: Acquisition, state: ClaimState, answer: Any, note: str
    ) -> bool:
        final = msgspec.structs.replace(
            held.claim, state=state, answer=answer, note=note
        )
        result = await self._commit_until_answered(final, held.version)
        if result.committed:
            return True
        found = _claim_of(await self._read_until_answered(final))
        return (
            found is not None
            and found.claim_id == final.claim_id
            and found.state is state
        )

    async def _close_abandoned(self, claim: Claim, tried: int) -> None:
        released = msgspec.structs.replace(
            claim, state=ClaimState.RELEASED, note="abandoned"
        )
        version = tried
        while True:
            result = await self._commit_until_answered(released, version)
            if result.committed:
                return
            row = await self._read_until_answered(claim)
            found = _claim_of(row)
            ours = found is not None and found.claim_id == claim.claim_id
            if not ours or found.state is not ClaimState.RUNNING:
                return
            version = row.version

    async def _commit_until_answered(
        self, claim: Claim, version: int
    ) -> TransactionResult:
        key = claim_row_key(claim.account, claim.key)
        conditions = (Condition(CLAIMS, key, version),)
        writes = (Write(CLAIMS, key, msgspec.to_builtins(claim)), _open_row(claim, key))
        pause = FIRST_PAUSE_S
        while True:
            try:
                return await self._group.commit(conditions, writes)
            except OutcomeUnknown:
                self._on_retry("claim_answer_lost")
            except PlatformError:
                self._on_retry("claim_platform_unavailable")
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_S)

    async def _read_until_answered(self, claim: Claim) -> Row:
        pause = FIRST_PAUSE_S
        while True:
            try:
                return await self.find(claim.account, claim.key)
            except PlatformError:
                self._on_retry("claim_read")
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_S)

    def _in_background(self, work: Any) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        return task


def _claim_of(row: Row) -> Claim | None:
    if row.value is None:
        return None
    return msgspec.convert(row.value, Claim)


def _open_row(claim: Claim, key: str) -> Write:
    still_open = claim.state in (ClaimState.RUNNING, ClaimState.UNKNOWN)
    return Write(OPEN_CLAIMS, key, {"since": time.time()} if still_open else None)
