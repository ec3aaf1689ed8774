"""Calls that tell a relay for how long a server wants no requests from it.

A server asks the host for rest from which a request came, and that is the relay. Only
the node that sent the request through the relay reads the answer.
"""

import msgspec
from aiohttp import web

from eelgrass_coordination import JsonDecoder, Member

from ..process.backends import ServerIncarnation
from ..process.server_notices import ServerNotices
from .peer_calls import PeerCalls

__all__ = ["RestClient", "RestInterface"]

REST_CALL = "server-rest"
# Long enough for a busy node: the relay has half a second to learn of a rest.
ANSWER_TIMEOUT_S = 0.3


class _Rest(msgspec.Struct, frozen=True):
    server: ServerIncarnation
    for_s: float


class RestClient:
    """Tells relays of rests."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls

    async def tell(
        self, relay: Member, server: ServerIncarnation, for_s: float
    ) -> None:
        """Tell a relay that a server wants nothing for some seconds.

        Raises :class:`PeerUnreachable`, also if the relay is of an older release.
        """
        rest = _Rest(server, for_s)
        await self._calls.ask(relay.internal, REST_CALL, rest, bool, ANSWER_TIMEOUT_S)


class RestInterface:
    """Receives the rests of servers that this node has relayed connections to."""

    def __init__(self, notices: ServerNotices) -> None:
        self._notices = notices
        self._decoder = JsonDecoder(_Rest)

    async def handle_rest(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/server-rest``."""
        rest = self._decoder.decode(await request.read())
        self._notices.begin_rest(rest.server, rest.for_s, "relayed")
        body = msgspec.json.encode(True)
        return web.Response(body=body, content_type="application/json")

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{REST_CALL}", self.handle_rest)
