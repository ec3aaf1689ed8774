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
from .crash_table import CrashTable, WriteRows
from .poison_parts import PoisonParts
from .quarantine import Quarantine

__all__ = ["PoisonRequests"]


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

    def _on_crash(
        self, incarnation: ServerIncarnation, requests: list[Fingerprint]
    ) -> None:
        self._count("server.ended")
        new = [r for r in requests if self.quarantine.record_crash(r, incarnation)]
        self.gossip.announce_crash(incarnation, new)
        self.table.record_crash(incarnation, new)
