"""Calls with which a node asks another for permits to try quarantined prompt parts."""

import msgspec
from aiohttp import web

from eelgrass_coordination import JsonDecoder, Member

from ..process.crash_subjects import PartKey
from ..process.poison_parts import TrialPermits
from ..process.warm_up import Permit
from .peer_calls import PeerCalls

__all__ = ["TrialClient", "TrialInterface"]

TRIAL_CALL = "part-trial"
# Short, because a caller waits meanwhile; a round trip between data centres takes 3 ms.
ANSWER_TIMEOUT_S = 0.15


class _TrialRequest(msgspec.Struct, frozen=True):
    parts: frozenset[PartKey]


class TrialClient:
    """Asks other nodes for permits."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls

    async def ask(self, owner: Member, parts: frozenset[PartKey]) -> Permit:
        """Ask the node that issues the permits for some parts for one.

        Raises :class:`PeerUnreachable`.
        """
        query = _TrialRequest(parts)
        return await self._calls.ask(
            owner.internal, TRIAL_CALL, query, Permit, ANSWER_TIMEOUT_S
        )


class TrialInterface:
    """Answers other nodes' requests for permits."""

    def __init__(self, permits: TrialPermits) -> None:
        self._permits = permits
        self._decoder = JsonDecoder(_TrialRequest)

    async def handle_trial(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/part-trial``."""
        query = self._decoder.decode(await request.read())
        permit = self._permits.issue(query.parts)
        body = msgspec.json.encode(permit)
        return web.Response(body=body, content_type="application/json")

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{TRIAL_CALL}", self.handle_trial)
