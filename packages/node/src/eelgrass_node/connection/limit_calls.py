"""Calls with which a node asks another for permits to use a server with a limit."""

import msgspec
from aiohttp import web

from eelgrass_coordination import JsonDecoder, Member

from ..process.request_limits import LimitPermit, LimitPermitRequest, LimitPermits
from .peer_calls import PeerCalls

__all__ = ["LimitClient", "LimitInterface"]

PERMIT_CALL = "limit-permit"
# Callers are refused at once if there is no permit, also while an owner is frozen. A
# round trip between data centres takes 3 ms, and a busy node adds about 10 ms.
ANSWER_TIMEOUT_S = 0.05


class LimitClient:
    """Asks other nodes for permits."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls

    async def ask(self, owner: Member, request: LimitPermitRequest) -> LimitPermit:
        """Ask a node for a permit.

        Raises :class:`PeerUnreachable`, also if the node is of an older release.
        """
        return await self._calls.ask(
            owner.internal, PERMIT_CALL, request, LimitPermit, ANSWER_TIMEOUT_S
        )


class LimitInterface:
    """Answers other nodes' requests for permits."""

    def __init__(self, permits: LimitPermits) -> None:
        self._permits = permits
        self._decoder = JsonDecoder(LimitPermitRequest)

    async def handle_permit(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/limit-permit``."""
        permit = self._permits.issue(self._decoder.decode(await request.read()))
        body = msgspec.json.encode(permit)
        return web.Response(body=body, content_type="application/json")

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{PERMIT_CALL}", self.handle_permit)
