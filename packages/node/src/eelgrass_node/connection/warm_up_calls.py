"""Calls between nodes for permits to send requests to cold servers."""

import msgspec
from aiohttp import web

from eelgrass_coordination import Member

from ..process.backends import ServerIncarnation
from ..process.warm_up import Permit, WarmUpPermits
from .peer_calls import PeerCalls

__all__ = ["WarmUpClient", "WarmUpInterface"]

PERMIT_CALL = "warm-up-permit"
# A caller waits for the answer; two ways between data centres take 3 ms.
ANSWER_S = 0.15


class _Ask(msgspec.Struct, frozen=True):
    server: ServerIncarnation
    service: str


class WarmUpClient:
    """Asks other nodes."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls

    async def ask(
        self, owner: Member, incarnation: ServerIncarnation, service: str
    ) -> Permit:
        """Ask the owner of a server's permits; raises :class:`PeerUnreachable`."""
        ask = _Ask(incarnation, service)
        return await self._calls.ask(owner.internal, PERMIT_CALL, ask, Permit, ANSWER_S)


class WarmUpInterface:
    """Answers other nodes."""

    def __init__(self, permits: WarmUpPermits) -> None:
        self._permits = permits
        self._decoder = msgspec.json.Decoder(_Ask)

    async def handle_ask(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/warm-up-permit``."""
        ask = self._decoder.decode(await request.read())
        permit = self._permits.issue(ask.server, ask.service)
        body = msgspec.json.encode(permit)
        return web.Response(body=body, content_type="application/json")

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{PERMIT_CALL}", self.handle_ask)
