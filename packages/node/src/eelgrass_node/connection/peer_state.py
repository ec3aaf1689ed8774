"""What nodes tell each other of the platform's tables.

A node that reaches no store, at its start or later, gets the configuration and
the list of servers from another node.
"""

from collections.abc import Callable

import msgspec
from aiohttp import web

from ..process.store_tables import StoredRow
from .peer_answers import peer_answer

__all__ = ["PeerState", "PeerStateInterface", "STATE_CALL"]

# The name of the call under the path of all calls between nodes.
STATE_CALL = "state"
NOTHING_KNOWN = 503


class PeerState(msgspec.Struct, frozen=True):
    """All rows that a node knows, of each of the tables that it follows.

    Older releases do not tell of ``crashes``, the ends of servers under requests.
    """

    operator: tuple[StoredRow, ...]
    servers: tuple[StoredRow, ...]
    crashes: tuple[StoredRow, ...] = ()


class PeerStateInterface:
    """Answers nodes that ask for the state; ``state`` returns what is known."""

    def __init__(self, state: Callable[[], PeerState]) -> None:
        self._state = state

    async def handle_state(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/state``; a node that knows nothing says so."""
        state = self._state()
        if not state.operator:
            return web.Response(status=NOTHING_KNOWN)
        return peer_answer(request, state)

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{STATE_CALL}", self.handle_state)
