"""Notices requests that end their servers, and keeps them from ever more servers.

What one node sees is kept in its quarantine and told to the others, so that a request
counts as the same one wherever it comes again.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence

from eelgrass_coordination import GossipItem

from .backends import Backend, Backends, ServerIncarnation
from .crash_detector import CrashDetector, Fingerprint, Listening
from .crash_gossip import CrashGossip
from .crash_table import CrashTable, WriteRows
from .quarantine import Quarantine

__all__ = ["PoisonRequests"]


class PoisonRequests:
    """What one node does about requests that end their servers.

    ``listening_at`` asks whether anything listens at an address, ``announce`` tells
    other nodes of marks, ``clock`` returns seconds and ``unix_ms`` the time of day in
    milliseconds. ``write`` changes rows of the table of ends in the store, and
    ``count`` counts events.
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
        self.crash_detector = CrashDetector(backends, listening_at, self._on_crash)
        self.gossip = CrashGossip(self.quarantine, announce, unix_ms)
        self.table = CrashTable(self.quarantine, write, unix_ms)

    async def on_connection_lost(
        self, backend: Backend, requests: Iterable[Fingerprint]
    ) -> None:
        """Note requests that lost a server, and wait for a check whether it ended."""
        for request in requests:
            self.crash_detector.on_connection_lost(backend, request)
        await self.crash_detector.wait_for_check(backend)

    def record_success(self, request: Fingerprint) -> None:
        """Clear a request that a server has run to its end, here and elsewhere."""
        incarnations = self.quarantine.clear(request)
        if incarnations:
            self.gossip.announce_success(request)
            self.table.remove_crashes(request, incarnations)

    def _on_crash(
        self, incarnation: ServerIncarnation, requests: list[Fingerprint]
    ) -> None:
        self._count("server.ended")
        unknown = [r for r in requests if self.quarantine.record_crash(r, incarnation)]
        self.gossip.announce_crash(incarnation, unknown)
        self.table.record_crash(incarnation, unknown)
