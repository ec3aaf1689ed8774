"""Detects requests that crash their servers, and keeps them from further servers.

A node records the crashes that it sees in its quarantine and announces them to the
other nodes, so that a request is recognized at whichever node it arrives. Requests that
differ in all but a part of their prompts are recognized by that part.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence

from eelgrass_coordination import GossipItem

from .backends import Backend, Backends, ServerIncarnation
from .crash_detector import CrashDetector, Fingerprint, Listening
from .crash_gossip import CrashGossip
from .crash_table import Crash, CrashTable, WriteRows
from .poison_parts import PartCrashRow, PoisonParts
from .quarantine import Quarantine

__all__ = ["PoisonRequests"]

# Crashes of each kind that a node tells another one that starts: some 115 KB.
MAX_TOLD = 1000


class PoisonRequests:
    """Detection, announcement and quarantine of poison requests on one node.

    ``listening_at`` checks whether anything listens at an address, ``announce`` spreads
    gossip items, ``clock`` returns seconds and ``unix_ms`` Unix time in milliseconds.
    ``write`` changes rows of the crash table in the store, and ``count`` counts events.
    """

    def __init__(
        self,
        backends: Backends,
        listening_at: Callable[[str], Awaitable[Listening]],
        announce: Callable[[Sequence[GossipItem]], object],
        clock: Callable[[], float],
        unix_ms: Callable[[], int],
        write: WriteRows,
        count: Callable[[str], None],
    ) -> None:
        self._unix_ms = unix_ms
        self._count = count
        self.quarantine = Quarantine(clock)
        self.parts = PoisonParts(announce, clock, unix_ms, backends.versions)
        self.crash_detector = CrashDetector(
            backends, listening_at, self._on_crash, self.parts.record_crash
        )
        self.gossip = CrashGossip(self.quarantine, announce, unix_ms)
        self.table = CrashTable(self.quarantine, write, unix_ms, self.parts.rows)
        self.parts.write_rows = self.table.write_rows
        self.parts.remove_rows = self.table.remove_rows

    async def on_connection_lost(
        self, backend: Backend, requests: Iterable[Fingerprint]
    ) -> None:
        """Handle requests that lost a server, and wait for the check for a crash."""
        for request in requests:
            self.crash_detector.on_connection_lost(backend, request)
        await self.crash_detector.wait_for_check(backend)

    def receive(self, item: GossipItem) -> None:
        """Apply a gossip item from another node; other kinds are ignored."""
        self.gossip.receive(item)
        self.parts.gossip.receive(item)

    def record_success(self, request: Fingerprint) -> None:
        """Clear a request that a server has completed, on this and all other nodes."""
        incarnations = self.quarantine.clear(request)
        if incarnations:
            self.gossip.announce_success(request)
            self.table.remove_crashes(request, incarnations)

    def crashes(self) -> tuple[Crash, ...]:
        """Return the last crashes under requests, whether or not the table has them."""
        crashes = sorted(self.quarantine.crashes(), key=lambda crash: crash[2])
        now_ms = self._unix_ms()
        return tuple(
            Crash(request, incarnation, now_ms - int(age_s * 1000))
            for request, incarnation, age_s in crashes[:MAX_TOLD]
        )

    def part_crashes(self) -> tuple[PartCrashRow, ...]:
        """Return the last crashes under prompt parts."""
        parts = self.parts
        suspected = parts.quarantine.suspected_parts()
        rows = [row for _, row in parts.rows.rows_of(suspected, self._unix_ms())]
        rows.sort(key=lambda row: -row.at_ms)
        return tuple(rows[:MAX_TOLD])

    def apply_peer_crashes(
        self, crashes: Iterable[Crash], part_crashes: Iterable[PartCrashRow]
    ) -> None:
        """Record the crashes that another node knows."""
        now_ms = self._unix_ms()
        for crash in crashes:
            age_s = max(0.0, (now_ms - crash.at_ms) / 1000)
            self.quarantine.record_crash(crash.request, crash.server, age_s)
        for row in part_crashes:
            age_s = max(0.0, (now_ms - row.at_ms) / 1000)
            self.parts.rows.record(row, age_s)

    def _on_crash(
        self, incarnation: ServerIncarnation, requests: list[Fingerprint]
    ) -> None:
        self._count("server.ended")
        new = [r for r in requests if self.quarantine.record_crash(r, incarnation)]
        self.gossip.announce_crash(incarnation, new)
        self.table.record_crash(incarnation, new)
