"""Keeps the origins of streams in a table of the platform's store.

Other nodes know an origin sooner, but all that know it may end at once. Each node
writes the origins of the streams that it serves, while several software versions of
their service are listed: with a single one every node knows what began a stream. The
node that wrote a row removes it; :class:`~.abandoned_rows.AbandonedRows` removes those
of nodes that have ended.
"""

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from functools import cache

from eelgrass_coordination import stall_aware_wait

from ...exceptions import StoreUnavailable
from ...log import Part, log
from ...version.deployment import ServiceName
from ..store_backoff import StoreBackoff
from ..store_tables import StoredRow
from .origin_rows import MAX_ENTRIES, OriginRows, encode, key_range, merged, row_key
from .origin_table import StreamOrigin

__all__ = ["DurableOrigins", "write_pace_s"]

# The shortest regular interval between two writes that are not full.
MIN_INTERVAL_S = 0.5
# Writes that a node may make after a pause without waiting for the interval, unless all
# nodes together would exceed their part of the store's rate within BURST_S.
MAX_BURST = 4
BURST_S = 1.0
# Rows of streams that begin within this time are written together.
BATCH_DELAY_S = 0.05
# The part of the store's permitted writes that all nodes together use.
WRITE_SHARE = 0.25
# Intervals are lengthened at random by up to this part, so that nodes that start
# together do not write together.
JITTER = 0.25
# A slow store takes 0.2 s for a read, and longer if many streams are resumed at once.
# Callers leave after 2 s without an event.
READ_TIMEOUT_S = 1.0
# The timeout while the store does not answer other calls either.
AWAY_READ_TIMEOUT_S = 0.25
# The pause before a read that failed is made again while there is time.
READ_RETRY_DELAY_S = 0.3
# Longest pause between attempts is derived from this time; streams last some seconds.
RETRY_DEADLINE_S = 4.0
# Time for the last write of a node that stops, which a slow store answers in 0.2 s.
FLUSH_TIMEOUT_S = 0.25
# A node at the target size has some hundred rows, one of a small site some thousand.
MAX_ROWS = 20_000


class _Row:
    """An origin to be kept until ``expires_at``; ``ttl_s`` is that of its stream.

    A row that was sent may be in the store, also if no response has arrived.
    """

    __slots__ = ("expires_at", "is_sent", "is_written", "origin", "ttl_s")

    def __init__(self, origin: StreamOrigin, is_sent: bool) -> None:
        self.origin = origin
        self.ttl_s = 0.0
        self.expires_at = 0.0
        self.is_sent = is_sent
        self.is_written = False


class DurableOrigins:
    """The rows of one start of a node, which ``writer`` names.

    ``is_needed`` returns whether the streams of a service that last so many seconds are
    to be written, ``pace_s`` the seconds between two writes at which all nodes
    together use their part of the store's rate, and ``clock`` seconds.
    """

    def __init__(
        self,
        writer: str,
        rows: OriginRows,
        is_needed: Callable[[ServiceName, float], bool],
        pace_s: Callable[[], float],
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._writer = writer
        self._rows = rows
        self._is_needed = is_needed
        self._pace_s = pace_s
        self._clock = clock
        self._count = count
        self._row_by_key: dict[str, _Row] = {}
        self._added = asyncio.Event()
        self._added_at: float | None = None
        self._urgent = asyncio.Event()
        self._is_full = False
        self._regular_at = -math.inf
        self._backoff = StoreBackoff(RETRY_DEADLINE_S)

    def __len__(self) -> int:
        """Return the number of rows that are kept or will be removed."""
        return len(self._row_by_key)

    def add(self, stream: str, origin: StreamOrigin, ttl_s: float) -> None:
        """Keep the origin of a stream for ``ttl_s`` seconds, uncertain ones at once."""
        key = row_key(stream, self._writer, origin)
        row = self._row_by_key.get(key)
        if row is None and len(self._row_by_key) >= MAX_ROWS:
            self._count("stream.origin-not-stored")
            log(Part.STORE, "Too many origins; one is not stored.", id=stream)
            return
        if row is None or row.expires_at <= self._clock():
            is_sent = row is not None and row.is_sent
            row = self._row_by_key[key] = _Row(origin, is_sent)
        row.ttl_s = max(row.ttl_s, ttl_s)
        row.expires_at = max(row.expires_at, self._clock() + ttl_s)
        if not row.is_written:
            self._wake(is_urgent=origin.version is None)

    async def find(
        self, stream: str, others: asyncio.Future[object], is_store_answering: bool
    ) -> StreamOrigin | None:
        """Return the origin of a stream, None if the store does not tell it soon.

        It is uncertain if different ones are stored. ``others`` is the search at other
        nodes: until it ends the caller waits anyway, so the store may take as long, and
        is read again if it fails. ``is_store_answering`` tells whether the store has
        answered other calls lately.
        """
        reading = asyncio.create_task(self._read(stream, others, is_store_answering))
        timeout_s = READ_TIMEOUT_S if is_store_answering else AWAY_READ_TIMEOUT_S
        try:
            if not await stall_aware_wait(reading, timeout_s):
                await asyncio.wait(
                    {reading, others}, return_when=asyncio.FIRST_COMPLETED
                )
            if reading.done():
                return merged(reading.result())
            self._log_unread(stream, TimeoutError("no answer in time"))
        except StoreUnavailable as error:
            self._log_unread(stream, error)
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
        return None

    def leave(self) -> None:
        """Write at once what is not written, because this node is leaving."""
        self._wake(is_urgent=True)

    async def flush(self) -> None:
        """Write what is not written, before the process ends."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                while self._due():
                    await self._write_batch()
        except (StoreUnavailable, TimeoutError) as error:
            self._log_unwritten(error)

    async def run(self) -> None:
        """Write and remove rows until cancelled."""
        while True:
            await self._wait_for_batch()
            try:
                await self._write_batch()
                self._backoff.reset()
            except StoreUnavailable as error:
                self._log_unwritten(error)
                await asyncio.sleep(self._backoff.next_delay_s())

    async def _read(
        self, stream: str, others: asyncio.Future[object], may_retry: bool
    ) -> Sequence[StoredRow]:
        """Read the rows of a stream; try again while ``others`` is not done.

        With ``may_retry`` try again once in any case, as the store may have closed an
        idle connection.
        """
        while True:
            try:
                return await self._rows.read(*key_range(stream))
            except StoreUnavailable as error:
                if others.done() and not may_retry:
                    raise
                may_retry = False
                log(
                    Part.STORE,
                    "A read of the origin of a stream failed; it is tried again.",
                    id=stream,
                    error=repr(error),
                )
            await asyncio.wait({others}, timeout=READ_RETRY_DELAY_S)

    def _wake(self, is_urgent: bool) -> None:
        if self._added_at is None:
            self._added_at = self._clock()
        self._added.set()
        if is_urgent:
            self._urgent.set()

    async def _wait_for_batch(self) -> None:
        """Wait until rows may be written, or for a shorter time if one is urgent."""
        await _wait(self._added, MIN_INTERVAL_S)
        await _wait(self._urgent, self._next_write_at() - self._clock())
        if self._urgent.is_set():
            await asyncio.sleep(BATCH_DELAY_S)

    def _next_write_at(self) -> float:
        """Return when to write next.

        Nodes of a large site that begin to write at the same moment spread their first
        writes over the interval.
        """
        pace_s = self._pace_s()
        interval_s = max(MIN_INTERVAL_S, pace_s)
        burst = MAX_BURST if pace_s * MAX_BURST <= BURST_S else 1
        added_at = self._clock() if self._added_at is None else self._added_at
        spread_s = random.uniform(0, interval_s - MIN_INTERVAL_S)
        return max(
            self._regular_at - (burst - 1) * interval_s,
            added_at + BATCH_DELAY_S + spread_s,
        )

    def _record_write(self) -> None:
        """Note when the next write would be regular, were there no bursts."""
        pace_s = self._pace_s()
        interval_s = pace_s if self._is_full else max(MIN_INTERVAL_S, pace_s)
        regular_at = max(self._regular_at, self._clock())
        self._regular_at = regular_at + interval_s * random.uniform(1, 1 + JITTER)

    async def _write_batch(self) -> None:
        """Write rows, and remove those that have expired as far as there is room."""
        due = self._due()
        puts = due[:MAX_ENTRIES]
        removes = self._expired()[: MAX_ENTRIES - len(puts)]
        self._is_full = len(puts) + len(removes) == MAX_ENTRIES
        was_urgent = self._urgent.is_set()
        self._urgent.clear()
        self._added.clear()
        self._added_at = None
        if puts or removes or self._has_others(due):
            self._record_write()
        if not puts and not removes:
            return
        try:
            await self._write(puts, removes)
        except StoreUnavailable:
            if was_urgent:
                self._urgent.set()
            raise

    async def _write(self, puts: Sequence[str], removes: Sequence[str]) -> None:
        rows = [self._row_by_key[key] for key in puts]
        expired = [self._row_by_key[key] for key in removes]
        for row in rows:
            row.is_sent = True
        values = (encode(row.origin) for row in rows)
        await self._rows.write(dict(zip(puts, values, strict=True)), removes)
        for row in rows:
            row.is_written = True
        for key, row in zip(removes, expired, strict=True):
            # The stream may have gone on meanwhile.
            if self._row_by_key.get(key) is row:
                del self._row_by_key[key]

    def _due(self) -> list[str]:
        """Return the keys to be written; forget rows that expired before they were."""
        now = self._clock()
        is_needed = cache(self._is_needed)
        due = []
        for key, row in list(self._row_by_key.items()):
            if row.is_written:
                continue
            if row.expires_at <= now:
                if not row.is_sent:
                    del self._row_by_key[key]
            elif row.origin.version is None or is_needed(row.origin.service, row.ttl_s):
                due.append(key)
        return due

    def _has_others(self, due: Sequence[str]) -> bool:
        """Return whether rows wait for a second version, so that few checks do."""
        rows = self._row_by_key.values()
        return len(due) < sum(not row.is_written for row in rows)

    def _expired(self) -> list[str]:
        now = self._clock()
        rows = self._row_by_key.items()
        return [key for key, row in rows if row.is_sent and row.expires_at <= now]

    def _log_unread(self, stream: str, error: Exception) -> None:
        self._count("stream.origin-store-unavailable")
        log(
            Part.STORE,
            "The store did not tell which version began a stream.",
            id=stream,
            error=repr(error),
        )

    def _log_unwritten(self, error: Exception) -> None:
        log(
            Part.STORE,
            "The origins of streams could not be written.",
            error=repr(error),
            rows=len(self._row_by_key),
        )


def write_pace_s(nodes: int, writes_per_s: float) -> float:
    """Return the interval at which so many nodes stay within their part of the rate."""
    return nodes / (WRITE_SHARE * writes_per_s)


async def _wait(event: asyncio.Event, within_s: float) -> None:
    """Wait for an event, at most ``within_s``."""
    try:
        async with asyncio.timeout(within_s):
            await event.wait()
    except TimeoutError:
        return
