"""Notices requests that end their servers, and keeps them from ever more servers.

What one node sees is kept in its quarantine and told to the others, so that a request
counts as the same one wherever it comes again.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence

from eelgrass_coordination import GossipItem

from .backends import Backend, Backends, ServerLife
from .crash_news import CrashNews
from .crash_table import CrashTable, WriteRows
from .ended_servers import EndedServers, Fingerprint, Listening
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
        self.ended = EndedServers(backends, listening_at, self._note_ended)
        self.news = CrashNews(self.quarantine, announce, unix_ms)
        self.table = CrashTable(self.quarantine, write, unix_ms)

    async def note_lost(
        self, backend: Backend, requests: Iterable[Fingerprint]
    ) -> None:
        """Note requests that lost a server, and wait for a check whether it ended."""
        for request in requests:
            self.ended.note_lost(backend, request)
        await self.ended.wait_checked(backend)

    def note_success(self, request: Fingerprint) -> None:
        """Clear a request that a server has run to its end, here and elsewhere."""
        lives = self.quarantine.clear(request)
        if lives:
            self.news.tell_success(request)
            self.table.tell_success(request, lives)

    def _note_ended(self, life: ServerLife, requests: list[Fingerprint]) -> None:
        self._count("server.ended")
        unknown = [r for r in requests if self.quarantine.take(r, life)]
        self.news.tell_ended(life, unknown)
        self.table.tell_ended(life, unknown)
