"""Keeps in the platform's store under which requests servers have ended.

Marks of the membership are faster, and reach a node only while it runs and hears
others. A node that starts later, or that reaches the store and no other node, reads the
table. Each row says that one life of a server ended under one request; it is written
whole, so writers need not agree, and is removed by whoever finds it outdated.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from hashlib import blake2b

import msgspec

from ..exceptions import StoreUnavailable
from ..log import Part, log
from .backends import ServerIncarnation
from .crash_detector import Fingerprint
from .quarantine import MAX_CRASHES, RETENTION_S, Quarantine
from .store_tables import StoredRow

__all__ = ["CrashTable", "Crash", "decode_crash"]

# Ends that are noticed together are written together.
COLLECT_S = 0.05
# Rows that are outdated do no harm; their removals wait for more, or for a write.
REMOVE_S = 2.0
# Between two tries while the store does not answer, with up to half of it more.
AGAIN_S = 0.4
# The platform takes so many entries in one transaction.
MAX_ENTRIES = 100
# What waits for the store; the oldest is dropped where more comes.
MAX_PENDING = 1000
# Rows of the table; beyond that those of requests with the fewest ends are removed.
MAX_ROWS = 2000
DIGEST_BYTES = 4
KEY_SEPARATOR = "-"

# Writes rows by key and removes others; raises StoreUnavailable.
WriteRows = Callable[[Mapping[str, bytes], Sequence[str]], Awaitable[None]]


class Crash(msgspec.Struct, frozen=True):
    """The end of a server under a request, at a time of day in Unix milliseconds."""

    request: Fingerprint
    server: ServerIncarnation
    at_ms: int


_decoder = msgspec.json.Decoder(Crash)


def decode_crash(value: bytes) -> Crash:
    """Decode the value of a row; raises :class:`msgspec.MsgspecError`."""
    return _decoder.decode(value)


class CrashTable:
    """The rows as this node knows them, and what it has to write.

    ``write`` changes rows of the store's table, and ``clock`` returns the time of day
    in milliseconds. What is read goes to ``quarantine``.
    """

    def __init__(
        self, quarantine: Quarantine, write: WriteRows, clock: Callable[[], int]
    ) -> None:
        self._quarantine = quarantine
        self._write = write
        self._clock = clock
        self._end_by_key: dict[str, Crash] = {}
        # None stands for a row to be removed.
        self._pending_by_key: dict[str, bytes | None] = {}
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()

    def record_crash(
        self, incarnation: ServerIncarnation, requests: Iterable[Fingerprint]
    ) -> None:
        """Write that a server has ended under requests."""
        for request in requests:
            end = Crash(request, incarnation, self._clock())
            self._put(_key(request, incarnation), msgspec.json.encode(end))
            self._urgent.set()

    def remove_crashes(
        self, request: Fingerprint, incarnations: Iterable[ServerIncarnation]
    ) -> None:
        """Remove the rows of a request that a server has run to its end."""
        for incarnation in incarnations:
            self._put(_key(request, incarnation), None)

    def apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in rows that changed."""
        for row in rows:
            if row.value is None:
                self._removed(row.key)
            else:
                self._written(row.key, row.value)

    def apply_snapshot(self, keys: set[str]) -> None:
        """Take in which rows there are, after a whole read."""
        for key in self._end_by_key.keys() - keys:
            self._removed(key)

    async def run(self) -> None:
        """Write what there is to write, until cancelled."""
        while True:
            await self._wake.wait()
            await self._collect()
            try:
                await self._write_some()
            except StoreUnavailable as error:
                log(
                    Part.STORE,
                    "Ends of servers are not written yet.",
                    error=str(error),
                    rows=len(self._pending_by_key),
                )
                await asyncio.sleep(AGAIN_S * random.uniform(1.0, 1.5))

    async def _collect(self) -> None:
        """Wait for more to write, for a shorter time where servers have ended."""
        try:
            async with asyncio.timeout(REMOVE_S):
                await self._urgent.wait()
        except TimeoutError:
            return
        await asyncio.sleep(COLLECT_S)

    async def _write_some(self) -> None:
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

    def _put(self, key: str, value: bytes | None) -> None:
        self._pending_by_key.pop(key, None)
        self._pending_by_key[key] = value
        if len(self._pending_by_key) > MAX_PENDING:
            dropped = next(iter(self._pending_by_key))
            del self._pending_by_key[dropped]
            log(Part.STORE, "The end of a server is not written.", row=dropped)
        self._wake.set()

    def _queue_outdated(self) -> None:
        """Have rows removed whose time is over, and those that are too many."""
        since_ms = self._clock() - RETENTION_S * 1000
        outdated = [
            key for key, end in self._end_by_key.items() if end.at_ms < since_ms
        ]
        surplus = len(self._end_by_key) - MAX_ROWS
        if surplus > 0:
            outdated += sorted(self._end_by_key, key=self._worth)[:surplus]
        for key in outdated[:MAX_ENTRIES]:
            self._pending_by_key.setdefault(key, None)

    def _worth(self, key: str) -> tuple[int, int]:
        end = self._end_by_key[key]
        ends = len(self._quarantine.crashed_servers(end.request))
        return (min(MAX_CRASHES, ends), end.at_ms)

    def _written(self, key: str, value: bytes) -> None:
        try:
            end = decode_crash(value)
        except msgspec.MsgspecError as error:
            log(Part.STORE, "A row is not taken.", row=key, error=str(error))
            return
        self._end_by_key[key] = end
        age_s = max(0.0, (self._clock() - end.at_ms) / 1000)
        self._quarantine.record_crash(end.request, end.server, age_s)

    def _removed(self, key: str) -> None:
        """Forget an end, also one that only marks have told of."""
        self._end_by_key.pop(key, None)
        request = Fingerprint(key.partition(KEY_SEPARATOR)[0])
        for incarnation in self._quarantine.crashed_servers(request):
            if _key(request, incarnation) == key:
                self._quarantine.remove_crash(request, incarnation)


def _key(request: Fingerprint, incarnation: ServerIncarnation) -> str:
    """Return a key of bounded length; server ids may be as long as a key may be."""
    server = f"{incarnation.started} {incarnation.id}".encode()
    digest = blake2b(server, digest_size=DIGEST_BYTES).hexdigest()
    return f"{request}{KEY_SEPARATOR}{digest}"
