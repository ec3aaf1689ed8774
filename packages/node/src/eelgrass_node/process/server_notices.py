"""Applies what backend servers say of themselves in their answers.

A server that says that it leaves gets no new requests, whatever the list of servers
says. The node that hears it first tells the others by gossip. So it does for one that
names a request limit. One that asks for rest gets no requests from this node until the
rest ends.
"""

import asyncio
from collections.abc import Callable

import msgspec
from msgspec import UNSET, UnsetType

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from .backends import Backend, Backends, ServerIncarnation
from .request_limits import NamedLimit
from .server_rests import MAX_REST_S

__all__ = ["ServerNotice", "ServerNotices"]


GOSSIP_KIND = "leaving"
LIMIT_GOSSIP_KIND = "request-limit"
# A gossip item carries one number. Its low bits hold the limit in requests per 1000 s,
# plus 1, or 0 if the server names none any more; the others hold the version.
LIMIT_BITS = 22
LIMIT_MASK = (1 << LIMIT_BITS) - 1
LIMIT_UNIT_PER_S = 0.001


class ServerNotice(msgspec.Struct, frozen=True):
    """What a server says of itself in the head of one answer.

    ``server_id`` is the id that it gives, if any. ``is_leaving`` says that it gets no
    new requests, and ``rest_s`` for how many seconds this node is not to send it any;
    None if it does not ask for that. A brittle server says how many refusals per second
    it bears, its ``refusal_limit``. ``limit_per_s`` is how many requests a second it
    takes from all nodes together, None if it names no limit, and UNSET if the answer
    does not tell. ``malformed`` names headers that were ignored.
    """

    server_id: str | None = None
    is_leaving: bool = False
    rest_s: float | None = None
    refusal_limit: int | None = None
    limit_per_s: float | None | UnsetType = None
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

    def receive(
        self,
        server: ServerIncarnation,
        notice: ServerNotice,
        sent_at: float | None = None,
    ) -> None:
        """Apply a notice in an answer from the address of a server.

        The request was sent at ``sent_at``, a time of the event loop; now by default.
        """
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
        if notice.limit_per_s is not UNSET:
            self._record_limit(server, notice.limit_per_s, sent_at)

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
        elif item.kind == LIMIT_GOSSIP_KIND:
            server, limit = _decode_limit(item)
            self._backends.limits.merge(server, limit, "another node")

    def _record_limit(
        self, server: ServerIncarnation, per_s: float | None, sent_at: float | None
    ) -> None:
        limits = self._backends.limits
        if per_s is None and limits.limit(server) is None:
            return
        now = asyncio.get_running_loop().time()
        limit = limits.record(server, per_s, now if sent_at is None else sent_at)
        if limit is not None:
            self._count("notice.limit")
            self._announce(_encode_limit(server, limit))

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


def _encode_limit(server: ServerIncarnation, limit: NamedLimit) -> GossipItem:
    code = 0
    if limit.per_s is not None:
        code = 1 + min(int(limit.per_s / LIMIT_UNIT_PER_S), LIMIT_MASK - 1)
    name = f"{server.id}/{server.started}"
    return GossipItem(LIMIT_GOSSIP_KIND, name, limit.version << LIMIT_BITS | code)


def _decode_limit(item: GossipItem) -> tuple[ServerIncarnation, NamedLimit]:
    server_id, _, started = item.name.rpartition("/")
    code = item.number & LIMIT_MASK
    per_s = None if code == 0 else (code - 1) * LIMIT_UNIT_PER_S
    limit = NamedLimit(item.number >> LIMIT_BITS, per_s)
    return ServerIncarnation(BackendId(server_id), int(started)), limit
