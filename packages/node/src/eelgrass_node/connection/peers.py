"""The HTTP interface of a node for its peers: configuration, claims and members."""

import asyncio

import msgspec
from aiohttp import web

from eelgrass_coordination import Exchange, Membership, decode_json
from eelgrass_coordination.ids import ClaimId, Revision

from ..process.claimed_requests import ClaimedRequests
from ..process.configuration import ConfigurationSync, RevisionReply

__all__ = ["PeersInterface", "json_response"]

MAX_WAIT_S = 30.0


class _After(msgspec.Struct):
    after: Revision


class _WaitForRevision(msgspec.Struct):
    revision: Revision
    wait_s: float


class _WaitForClaim(msgspec.Struct):
    claim_id: ClaimId
    wait_s: float


def json_response(message: object, status: int = 200) -> web.Response:
    """Return a JSON response; ``message`` may hold structs, enums and raw JSON."""
    body = msgspec.json.encode(message)
    return web.Response(body=body, status=status, content_type="application/json")


class PeersInterface:
    """Handles peers' requests in this process."""

    def __init__(
        self,
        configuration: ConfigurationSync,
        membership: Membership,
        claimed: ClaimedRequests,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._claimed = claimed

    async def handle_changes(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/changes`` with the changes after a revision."""
        query = decode_json(await request.read(), _After)
        return json_response(self._configuration.changes_for_peer(query.after))

    async def handle_revision(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/revision`` once it is in force, or after the wait."""
        query = decode_json(await request.read(), _WaitForRevision)
        follower = self._configuration.follower
        try:
            async with asyncio.timeout(min(query.wait_s, MAX_WAIT_S)):
                await follower.wait_for(query.revision)
        except TimeoutError:
            pass
        return json_response(RevisionReply(follower.revision))

    async def handle_claim(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/claims/wait`` once the claim's request has ended."""
        query = decode_json(await request.read(), _WaitForClaim)
        wait_s = min(query.wait_s, MAX_WAIT_S)
        return json_response(
            await self._claimed.wait_until_finished(query.claim_id, wait_s)
        )

    async def handle_members(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/members``: a full exchange of the member lists."""
        received = decode_json(await request.read(), Exchange)
        own = self._membership.exchange()
        self._membership.apply_exchange(received)
        return json_response(own)

    def add_routes(self, app: web.Application) -> None:
        """Add the peers' routes."""
        app.router.add_post("/peer/v1/changes", self.handle_changes)
        app.router.add_post("/peer/v1/revision", self.handle_revision)
        app.router.add_post("/peer/v1/claims/wait", self.handle_claim)
        app.router.add_post("/peer/v1/members", self.handle_members)
