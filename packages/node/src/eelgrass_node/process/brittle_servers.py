"""Keeps brittle servers from having to refuse many requests.

A brittle server crashes if it has to refuse more than a few requests within a second,
counted over all nodes. The first refusal therefore closes it for all nodes, which tell
each other by gossip: until it opens again, no node sends it a request. How many
requests are refused in a second then depends on the rate at which requests arrive in
the few milliseconds of the gossip, and not on the number of nodes.
"""

import random
from collections.abc import Callable

from eelgrass_coordination import GossipItem, share_of_limit
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from .backends import Backend, Backends

__all__ = ["BrittleServers"]

GOSSIP_KIND = "brittle-full"
# How long a brittle server is closed after a refusal: the limit is for one second, and
# the refusals of different nodes arrive a little apart.
CLOSED_S = 1.2
# A server that refuses again this soon after it has opened is closed for twice as long.
REPEAT_S = 2.0
MAX_CLOSED_S = 5.0
# Nodes open a server at different times, so that they do not fill it all at once.
SPREAD = 0.5
# The calls of a node to a brittle server may exceed its share of the server's slots by
# this factor, since nodes are not equally busy.
SHARE_FACTOR = 2


class BrittleServers:
    """The brittle servers, as one node knows them.

    ``announce`` spreads a gossip item, ``clock`` returns seconds, ``unix_ms`` the Unix
    time in milliseconds, and ``nodes`` the number of live nodes.
    """

    def __init__(
        self,
        backends: Backends,
        announce: Callable[[GossipItem], bool],
        clock: Callable[[], float],
        unix_ms: Callable[[], int],
        nodes: Callable[[], int],
        count: Callable[[str], None],
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._backends = backends
        self._announce = announce
        self._clock = clock
        self._unix_ms = unix_ms
        self._nodes = nodes
        self._count = count
        self._draw = draw

    def accepts(self, backend: Backend) -> bool:
        """Return whether a server may get one more request from this node now."""
        now = self._clock()
        if now < backend.closed_until:
            return False
        if backend.refusal_limit is None:
            return True
        running, waiting = backend.load_at(now)
        share = share_of_limit(backend.entry.limit, self._nodes())
        most = max(1, round(SHARE_FACTOR * share), backend.own_share_at(now))
        return running + waiting < backend.entry.limit and backend.in_flight < most

    def opens_in_s(self, servers: list[Backend]) -> float:
        """Return the seconds until one of some servers may accept requests again."""
        now = self._clock()
        return min((max(0.0, s.closed_until - now) for s in servers), default=0.0)

    def record_refusal(self, backend: Backend) -> None:
        """Close a server that has refused a request for lack of room, if brittle."""
        if backend.refusal_limit is None or self._clock() < backend.closed_until:
            return
        self._count("brittle.closed")
        self._close(backend)
        self._announce(GossipItem(GOSSIP_KIND, backend.entry.id, self._unix_ms()))

    def receive(self, item: GossipItem) -> None:
        """Apply a gossip item from another node; other kinds are ignored."""
        backend = self._backends.by_id.get(BackendId(item.name))
        if item.kind != GOSSIP_KIND or backend is None:
            return
        if item.number >= backend.entry.started:
            self._close(backend)

    def _close(self, backend: Backend) -> None:
        now = self._clock()
        repeated = now - backend.closed_until < REPEAT_S
        closed_s = backend.closed_s * 2 if repeated else CLOSED_S
        backend.closed_s = min(MAX_CLOSED_S, closed_s)
        spread_s = backend.closed_s * SPREAD * self._draw()
        backend.closed_until = now + backend.closed_s + spread_s
        log(
            Part.HOSTS,
            "A brittle server is full; it gets no requests for a while.",
            backend=backend.entry.id,
            limit=backend.refusal_limit,
            for_s=round(backend.closed_until - now, 2),
        )
