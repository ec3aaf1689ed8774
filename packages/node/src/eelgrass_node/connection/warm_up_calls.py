"""Calls with which a node asks another for permits to use a cold server."""

import msgspec
from aiohttp import web

from eelgrass_coordination import JsonDecoder, Member

from ..process.backends import ServerIncarnation
from ..process.warm_up import Permit, WarmUpPermits
from .peer_calls import PeerCalls

__all__ = ["WarmUpClient", "WarmUpInterface"]

PERMIT_CALL = "warm-up-permit"
# Short, because a caller waits meanwhile; a round trip between data centres takes 3 ms.
ANSWER_TIMEOUT_S = 0.15


class _PermitRequest(msgspec.Struct, frozen=True):
    server: ServerIncarnation
    service: str


class WarmUpClient:
    """Asks other nodes for permits."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls

    async def ask(
        self, owner: Member, incarnation: ServerIncarnation, service: str
    ) -> Permit:
        """Ask the node that issues a server's permits for one.

        Raises :class:`PeerUnreachable`.
        """
        query = _PermitRequest(incarnation, service)
        return await self._calls.ask(
            owner.internal, PERMIT_CALL, query, Permit, ANSWER_TIMEOUT_S
        )


class WarmUpInterface:
    """Answers other nodes' requests for permits."""

    def __init__(self, permits: WarmUpPermits) -> None:
        self._permits = permits
        self._decoder = JsonDecoder(_PermitRequest)

    async def handle_permit(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/warm-up-permit``."""
        query = self._decoder.decode(await request.read())
        permit = self._permits.issue(query.server, query.service)
        body = msgspec.json.encode(permit)
        return web.Response(body=body, content_type="application/json")

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{PERMIT_CALL}", self.handle_permit)
