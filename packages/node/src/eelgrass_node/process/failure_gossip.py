"""Announces failing servers to other nodes, and applies their announcements.

When an engine resets nearly half of its connections, or crashes, each of eight nodes
(or eighty) would have to find that out for itself, with requests that may have run and
cannot be retried. A failure is therefore spread as a gossip item, and the other nodes
prefer other servers for as long as this one does.
"""

import asyncio
from collections.abc import Awaitable, Callable

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from .backends import Backend, Backends

__all__ = ["FailureGossip"]

GOSSIP_KIND = "failing"


class FailureGossip:
    """The failures of servers that nodes announce to each other.

    ``announce`` spreads a gossip item, and ``clock`` returns Unix time in
    milliseconds, by which later failures supersede earlier ones. ``check_path`` checks
    this node's path to the server at an address before a failure is announced: a
    failure of the path must not keep other nodes from using the server.
    """

    def __init__(
        self,
        backends: Backends,
        announce: Callable[[GossipItem], bool],
        clock: Callable[[], int],
        check_path: Callable[[str], Awaitable[object]] | None = None,
    ) -> None:
        self._backends = backends
        self._announce = announce
        self._clock = clock
        self._check_path = check_path
        self._checks: set[asyncio.Task] = set()

    def announce_failure(self, backend: Backend) -> None:
        """Announce that a server has failed a request."""
        if self._check_path is None:
            self._announce_now(backend)
            return
        check = asyncio.create_task(self._check(backend))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, backend: Backend) -> None:
        await self._check_path(backend.entry.address)
        if not backend.is_relayed:
            self._announce_now(backend)

    def _announce_now(self, backend: Backend) -> None:
        log(
            Part.HOSTS,
            "A failing server is announced to the other nodes.",
            backend=backend.entry.id,
        )
        self._announce(GossipItem(GOSSIP_KIND, backend.entry.id, self._clock()))

    def receive(self, item: GossipItem) -> None:
        """Apply a gossip item from another node; other kinds are ignored."""
        backend = self._backends.by_id.get(BackendId(item.name))
        if item.kind != GOSSIP_KIND or backend is None:
            return
        if item.number < backend.entry.started:
            # An earlier incarnation of the server failed.
            return
        log(Part.HOSTS, "Another node reported a failing server.", backend=item.name)
        backend.suspect()
