"""An entry node's HTTP applications for nodes, the load balancer and metrics."""

from functools import partial
from typing import TYPE_CHECKING

from aiohttp import web

from .connection.batch_handoff import HandoffInterface
from .connection.limit_calls import LimitInterface
from .connection.loan_calls import LoanInterface
from .connection.peer_state import PeerStateInterface
from .connection.rest_calls import RestInterface
from .connection.table_feed import TableFeedInterface
from .connection.trial_calls import TrialInterface
from .connection.warm_up_calls import WarmUpInterface
from .entry_peer_state import peer_state

if TYPE_CHECKING:
    from .entry_node import EntryNode

__all__ = [
    "MAX_BODY_BYTES",
    "metrics_application",
    "peer_application",
    "readiness_application",
]

MAX_BODY_BYTES = 64 << 20


def peer_application(node: "EntryNode", handoff: HandoffInterface) -> web.Application:
    """Return the application that serves other nodes."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    handoff.add_routes(app)
    PeerStateInterface(partial(peer_state, node)).add_routes(app)
    TableFeedInterface(node.tables.relay).add_routes(app)
    LimitInterface(node.request_limits.permits).add_routes(app)
    WarmUpInterface(node.warm_up.permits).add_routes(app)
    LoanInterface(node.retry_budgets).add_routes(app)
    RestInterface(node.server_notices).add_routes(app)
    TrialInterface(node.poison_requests.parts.permits).add_routes(app)
    return app


def readiness_application(node: "EntryNode", path: str) -> web.Application:
    """Return the application for the load balancer's readiness check at ``path``."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=200 if node.ready else 503)

    app = web.Application()
    app.router.add_get(path, answer)
    return app


def metrics_application(node: "EntryNode") -> web.Application:
    """Return the application that serves metrics to scrapers."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(body=node.metrics.text(), content_type="text/plain")

    app = web.Application()
    app.router.add_get("/metrics", answer)
    return app
