"""Exchange of the platform's tables between nodes.

A node that cannot reach the store, when it starts or later, gets the configuration, the
list of servers and the crashes from another node.
"""

from collections.abc import Callable

import msgspec
from aiohttp import web

from eelgrass_coordination import GossipItem

from ..process.crash_table import Crash
from ..process.poison_parts import PartCrashRow
from ..process.store_tables import StoredRow
from .peer_answers import peer_answer

__all__ = ["PeerState", "PeerStateInterface", "STATE_CALL"]

# Name of the call below ``/peer/v1/``, the path of all calls between nodes.
STATE_CALL = "state"
NO_ROWS_STATUS = 503


class PeerState(msgspec.Struct, frozen=True):
    """All rows that a node has of each table that it follows.

    ``crashes`` are crashes of servers, with the requests that they were running.
    ``request_crashes`` and ``part_crashes`` are those that the node knows, also by
    gossip alone: the store may not accept their rows. ``evacuations`` are gossip items
    with the newest state of each evacuated data centre. Nodes of older releases do not
    send them.
    """

    operator: tuple[StoredRow, ...]
    servers: tuple[StoredRow, ...]
    crashes: tuple[StoredRow, ...] = ()
    request_crashes: tuple[Crash, ...] = ()
    part_crashes: tuple[PartCrashRow, ...] = ()
    evacuations: tuple[GossipItem, ...] = ()


class PeerStateInterface:
    """Answers nodes that ask for the tables; ``state`` returns this node's rows."""

    def __init__(self, state: Callable[[], PeerState]) -> None:
        self._state = state

    async def handle_state(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/state``; 503 without a configuration to report."""
        state = self._state()
        if not state.operator:
            return web.Response(status=NO_ROWS_STATUS)
        return peer_answer(request, state)

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{STATE_CALL}", self.handle_state)
