"""Keeps the crashes of servers under requests in a table of the platform's store.

Gossip is faster, but reaches a node only while it runs and is connected to others. A
node that starts later, or that reaches the store but no other node, reads the table.
Each row states that one incarnation of a server crashed under one request, or under one
part of prompts. Rows do not depend on each other, so writers need no coordination. Any
node that finds a row outdated removes it.

Rows of other kinds may lie in the same table, which all nodes follow.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from hashlib import blake2b
from typing import Any, Protocol

import msgspec

from eelgrass_coordination import JsonDecoder

from ..exceptions import StoreUnavailable
from ..log import Part, log
from .backends import ServerIncarnation
from .crash_detector import Fingerprint
from .poison_parts import PART_ROW_PREFIX, PartRows
from .quarantine import MAX_CRASHES, RETENTION_S, Quarantine
from .store_tables import StoredRow

__all__ = ["Crash", "CrashTable", "decode_crash"]

# Crashes that are noticed within this time are written in one batch.
BATCH_DELAY_S = 0.05
# Outdated rows do no harm; their removal waits this long for more changes to batch.
REMOVAL_DELAY_S = 2.0
# Interval of retries while the store does not answer, plus up to half of it as jitter.
RETRY_INTERVAL_S = 0.4
# The platform's limit on entries in one transaction.
MAX_ENTRIES = 100
# Changes that may wait for the store; beyond that the oldest is dropped.
MAX_PENDING = 1000
# Rows of the table; beyond that those of requests with the fewest crashes are removed.
MAX_ROWS = 2000
DIGEST_BYTES = 4
KEY_SEPARATOR = "-"

# Writes rows by key and removes others; raises StoreUnavailable.
WriteRows = Callable[[Mapping[str, bytes], Sequence[str]], Awaitable[None]]


class Crash(msgspec.Struct, frozen=True):
    """The crash of a server under a request, with its time in Unix milliseconds."""

    request: Fingerprint
    server: ServerIncarnation
    at_ms: int

    @property
    def subject(self) -> str:
        """The request, as what the server crashed under."""
        return self.request


_decoder = JsonDecoder(Crash)


def decode_crash(value: bytes) -> Crash:
    """Decode the value of a row; raises :class:`msgspec.MsgspecError`."""
    return _decoder.decode(value)


class _RowKind(Protocol):
    """Applies rows of one kind to the record of this node.

    Rows have ``at_ms``, after which they are kept for a while.
    """

    def decode(self, value: bytes) -> Any:
        """Decode the value of a row; raises :class:`msgspec.MsgspecError`."""

    def record(self, row: Any, age_s: float) -> None:
        """Record what a row states."""

    def forget(self, key: str) -> None:
        """Forget a row that was removed, also if only gossip told its content."""

    def retention_rank(self, row: Any) -> int:
        """Return how much a row matters: those with the lowest rank go first."""


class _RequestRows:
    """Applies rows of crashes under requests to a quarantine."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def decode(self, value: bytes) -> Crash:
        return decode_crash(value)

    def record(self, row: Crash, age_s: float) -> None:
        self._quarantine.record_crash(row.request, row.server, age_s)

    def forget(self, key: str) -> None:
        request = Fingerprint(key.partition(KEY_SEPARATOR)[0])
        for incarnation in self._quarantine.crashed_servers(request):
            if _key(request, incarnation) == key:
                self._quarantine.remove_crash(request, incarnation)

    def retention_rank(self, row: Crash) -> int:
        return len(self._quarantine.crashed_servers(row.request))


class CrashTable:
    """The rows that this node has read, and the changes that it has to write.

    ``write`` changes rows of the table in the store, and ``clock`` returns Unix time in
    milliseconds. Crashes that are read are recorded in ``quarantine``, those under
    parts of prompts by ``part_rows``.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        write: WriteRows,
        clock: Callable[[], int],
        part_rows: PartRows | None = None,
    ) -> None:
        self._request_rows = _RequestRows(quarantine)
        # Rows of other kinds, by the prefix of their keys.
        self._rows_by_prefix: dict[str, _RowKind] = {}
        if part_rows is not None:
            self._rows_by_prefix[PART_ROW_PREFIX] = part_rows
        self._write = write
        self._clock = clock
        self._crash_by_key: dict[str, Any] = {}
        # None stands for a row to be removed.
        self._pending_by_key: dict[str, bytes | None] = {}
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()

    def record_crash(
        self, incarnation: ServerIncarnation, requests: Iterable[Fingerprint]
    ) -> None:
        """Queue rows for a server that has crashed under requests."""
        for request in requests:
            crash = Crash(request, incarnation, self._clock())
            self._enqueue(_key(request, incarnation), msgspec.json.encode(crash))
            self._urgent.set()

    def add_kind(self, prefix: str, rows: "_RowKind") -> None:
        """Apply rows whose keys have a prefix by ``rows``."""
        self._rows_by_prefix[prefix] = rows

    def put_row(self, key: str, row: msgspec.Struct) -> None:
        """Queue a row that replaces one with the same key."""
        self._enqueue(key, msgspec.json.encode(row))
        self._urgent.set()

    def write_rows(self, rows: Iterable[tuple[str, msgspec.Struct]]) -> None:
        """Queue rows, by key, unless the table has them."""
        for key, row in rows:
            if key not in self._crash_by_key and key not in self._pending_by_key:
                self._enqueue(key, msgspec.json.encode(row))
                self._urgent.set()

    def remove_rows(self, keys: Iterable[str]) -> None:
        """Queue the removal of those of some rows that the table has or will have."""
        for key in keys:
            if key in self._crash_by_key or key in self._pending_by_key:
                self._enqueue(key, None)

    def remove_crashes(
        self, request: Fingerprint, incarnations: Iterable[ServerIncarnation]
    ) -> None:
        """Queue the removal of a request's rows after a server has completed it."""
        for incarnation in incarnations:
            self._enqueue(_key(request, incarnation), None)

    def apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changed rows."""
        for row in rows:
            if row.value is None:
                self._on_row_removed(row.key)
            else:
                self._on_row_written(row.key, row.value)

    def apply_snapshot(self, keys: set[str]) -> None:
        """Apply the keys of all rows, after a full read."""
        for key in self._crash_by_key.keys() - keys:
            self._on_row_removed(key)

    async def run(self) -> None:
        """Write queued changes until cancelled."""
        while True:
            await self._wake.wait()
            await self._wait_for_batch()
            try:
                await self._write_batch()
            except StoreUnavailable as error:
                log(
                    Part.STORE,
                    "Crash rows could not be written; retrying.",
                    error=str(error),
                    rows=len(self._pending_by_key),
                )
                await asyncio.sleep(RETRY_INTERVAL_S * random.uniform(1.0, 1.5))

    async def _wait_for_batch(self) -> None:
        """Wait for more changes, for a shorter time if servers have crashed."""
        try:
            async with asyncio.timeout(REMOVAL_DELAY_S):
                await self._urgent.wait()
        except TimeoutError:
            return
        await asyncio.sleep(BATCH_DELAY_S)

    async def _write_batch(self) -> None:
        self._queue_outdated()
        batch = dict(list(self._pending_by_key.items())[:MAX_ENTRIES])
        puts = {key: value for key, value in batch.items() if value is not None}
        await self._write(puts, [key for key in batch if key not in puts])
        for key, value in batch.items():
            if self._pending_by_key.get(key, value) == value:
                self._pending_by_key.pop(key, None)
        if not any(value is not None for value in self._pending_by_key.values()):
            self._urgent.clear()
        if not self._pending_by_key:
            self._wake.clear()

    def _enqueue(self, key: str, value: bytes | None) -> None:
        self._pending_by_key.pop(key, None)
        self._pending_by_key[key] = value
        if len(self._pending_by_key) > MAX_PENDING:
            dropped = next(iter(self._pending_by_key))
            del self._pending_by_key[dropped]
            log(
                Part.STORE,
                "Dropped the oldest queued change of a crash row; too many are queued.",
                row=dropped,
            )
        self._wake.set()

    def _queue_outdated(self) -> None:
        """Queue the removal of rows that have expired and of rows in excess."""
        since_ms = self._clock() - RETENTION_S * 1000
        outdated = [
            key for key, crash in self._crash_by_key.items() if crash.at_ms < since_ms
        ]
        surplus = len(self._crash_by_key) - MAX_ROWS
        if surplus > 0:
            outdated += sorted(self._crash_by_key, key=self._retention_priority)[
                :surplus
            ]
        for key in outdated[:MAX_ENTRIES]:
            self._pending_by_key.setdefault(key, None)

    def _retention_priority(self, key: str) -> tuple[int, int]:
        crash = self._crash_by_key[key]
        rank = self._rows_of_kind(key).retention_rank(crash)
        return (min(MAX_CRASHES, rank), crash.at_ms)

    def _rows_of_kind(self, key: str) -> _RowKind:
        for prefix, rows in self._rows_by_prefix.items():
            if key.startswith(prefix):
                return rows
        return self._request_rows

    def _on_row_written(self, key: str, value: bytes) -> None:
        rows = self._rows_of_kind(key)
        try:
            crash = rows.decode(value)
            age_s = max(0.0, (self._clock() - crash.at_ms) / 1000)
        except (msgspec.MsgspecError, OverflowError) as error:
            log(Part.STORE, "A crash row is invalid.", row=key, error=str(error))
            return
        self._crash_by_key[key] = crash
        rows.record(crash, age_s)

    def _on_row_removed(self, key: str) -> None:
        """Forget a crash, also one that is known only by gossip."""
        self._crash_by_key.pop(key, None)
        self._rows_of_kind(key).forget(key)


def _key(request: Fingerprint, incarnation: ServerIncarnation) -> str:
    """Return a key of bounded length; server ids may be as long as a key may be."""
    server = f"{incarnation.started} {incarnation.id}".encode()
    digest = blake2b(server, digest_size=DIGEST_BYTES).hexdigest()
    return f"{request}{KEY_SEPARATOR}{digest}"
