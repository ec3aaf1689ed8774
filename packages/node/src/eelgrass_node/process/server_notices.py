"""Applies what backend servers say of themselves in their answers.

A server that says that it leaves gets no new requests, whatever the list of servers
says. The node that hears it first tells the others by gossip. One that asks for rest
gets no requests from this node until the rest ends.
"""

from collections.abc import Callable

import msgspec

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from .backends import Backend, Backends, ServerIncarnation
from .server_rests import MAX_REST_S

__all__ = ["ServerNotice", "ServerNotices"]


GOSSIP_KIND = "leaving"


class ServerNotice(msgspec.Struct, frozen=True):
    """What a server says of itself in the head of one answer.

    ``server_id`` is the id that it gives, if any. ``is_leaving`` says that it gets no
    new requests, and ``rest_s`` for how many seconds this node is not to send it any;
    None if it does not ask for that. A brittle server says how many refusals per second
    it bears, its ``refusal_limit``. ``malformed`` names headers that were ignored.
    """

    server_id: str | None = None
    is_leaving: bool = False
    rest_s: float | None = None
    refusal_limit: int | None = None
    malformed: tuple[str, ...] = ()


class ServerNotices:
    """Applies the notices of all servers.

    ``announce`` spreads a gossip item, and ``count`` counts events by kind.
    """

    def __init__(
        self,
        backends: Backends,
        announce: Callable[[GossipItem], object],
        count: Callable[[str], None],
    ) -> None:
        self._backends = backends
        self._announce = announce
        self._count = count
        self._malformed_from: set[BackendId] = set()

    def receive(self, server: ServerIncarnation, notice: ServerNotice) -> None:
        """Apply a notice in an answer from the address of a server."""
        if notice.server_id not in (None, server.id):
            # Another server has taken over the address.
            return
        if notice.malformed:
            self._report_malformed(server, notice)
        backend = self._listed(server)
        if backend is not None and notice.refusal_limit is not None:
            # Answers to other calls, such as reports, may not state it.
            backend.refusal_limit = notice.refusal_limit
        if notice.is_leaving and self._mark_leaving(server, "answer"):
            self._announce(GossipItem(GOSSIP_KIND, server.id, server.started))
        if notice.rest_s is not None:
            self.begin_rest(server, notice.rest_s, "answer")

    def begin_rest(self, server: ServerIncarnation, for_s: float, source: str) -> None:
        """Send a server nothing for some seconds."""
        if not self._backends.rests.begin(server, for_s):
            return
        self._count("notice.rest")
        log(
            Part.HOSTS,
            "A server asks for rest; this node sends it no requests until then.",
            backend=server.id,
            for_s=round(min(for_s, MAX_REST_S), 2),
            asked_s=round(for_s, 2),
            source=source,
        )
        backend = self._listed(server)
        if backend is not None:
            self._backends.on_change(backend.entry.service)

    def receive_gossip(self, item: GossipItem) -> None:
        """Apply a gossip item from another node; other kinds are ignored."""
        if item.kind == GOSSIP_KIND:
            server = ServerIncarnation(BackendId(item.name), item.number)
            self._mark_leaving(server, "another node")

    def _mark_leaving(self, server: ServerIncarnation, source: str) -> bool:
        """Have a server get no new requests; return whether it got any before."""
        if not self._backends.mark_leaving(server.id, server.started):
            return False
        self._count("notice.leaving")
        log(
            Part.HOSTS,
            "A server says that it leaves; it gets no new requests.",
            backend=server.id,
            started=server.started,
            source=source,
        )
        return True

    def _listed(self, server: ServerIncarnation) -> Backend | None:
        backend = self._backends.by_id.get(server.id)
        if backend is None or backend.entry.incarnation != server:
            return None
        return backend

    def _report_malformed(
        self, server: ServerIncarnation, notice: ServerNotice
    ) -> None:
        self._count("notice.malformed")
        self._malformed_from &= self._backends.by_id.keys()
        if server.id in self._malformed_from:
            return
        self._malformed_from.add(server.id)
        log(
            Part.HOSTS,
            "A server's answer has malformed headers; they are ignored.",
            backend=server.id,
            headers=notice.malformed,
        )
