"""Tells other nodes of servers that fail, and hears of them.

The pattern it answers: an engine resets nearly half of its connections, or ends.
Each of eight nodes (or eighty) found that out for itself, with requests that may
have run and could not be repeated. A failure is told over the membership as a
mark, and the other nodes prefer other servers for as long as this one does.
"""

from collections.abc import Callable

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from .backends import Backend, Backends

__all__ = ["FailureGossip"]

GOSSIP_KIND = "failing"


class FailureGossip:
    """Failures of servers as the nodes tell them.

    ``announce`` tells of a mark, and ``clock`` returns the time of day in
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
        """Tell other nodes that a server has failed a request."""
        self._announce(GossipItem(GOSSIP_KIND, backend.entry.id, self._clock()))

    def receive(self, mark: GossipItem) -> None:
        """Take in what another node tells."""
        backend = self._backends.by_id.get(BackendId(mark.name))
        if mark.kind != GOSSIP_KIND or backend is None:
            return
        if mark.number < backend.entry.started:
            # It failed in an earlier life.
            return
        log(Part.HOSTS, "Another node says that a server fails.", backend=mark.name)
        backend.suspect()
