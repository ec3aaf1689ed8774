"""Announces failing servers to other nodes, and applies their announcements.

When an engine resets nearly half of its connections, or crashes, each of eight nodes
(or eighty) would have to find that out for itself, with requests that may have run and
cannot be retried. A failure is therefore spread as a gossip item, and the other nodes
prefer other servers for as long as this one does.
"""

from collections.abc import Callable

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from .backends import Backend, Backends

__all__ = ["FailureGossip"]

GOSSIP_KIND = "failing"


class FailureGossip:
    """The failures of servers that nodes announce to each other.

    ``announce`` spreads a gossip item, and ``clock`` returns Unix time in
    milliseconds, by which later failures supersede earlier ones.
    """

    def __init__(
        self,
        backends: Backends,
        announce: Callable[[GossipItem], bool],
        clock: Callable[[], int],
    ) -> None:
        self._backends = backends
        self._announce = announce
        self._clock = clock

    def announce_failure(self, backend: Backend) -> None:
        """Announce that a server has failed a request."""
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
