"""The operators' HTTP interface of a node; its usual client is the command line."""

import hmac
from typing import Any

import msgspec
from aiohttp import web

from eelgrass_coordination import Change, ChangeLog, Claims, Entry, decode_json
from eelgrass_coordination.exceptions import PlatformError
from eelgrass_coordination.ids import AccountName, ChangeId

from ..log import Part, log
from ..process.changes import Changes
from ..process.configuration import ConfigurationSync
from ..process.cost_store import CostStore
from ..process.costs import CostLedger
from ..process.status import StatusReport
from ..process.stopping import Stopping
from .peers import json_response

__all__ = ["OperatorsInterface", "ShownObject"]

TOKEN_HEADER = "Operator-Token"
HISTORY_LIMIT = 50


class ShownObject(msgspec.Struct, frozen=True):
    """A configuration object as shown to operators."""

    kind: str
    name: str
    revision: int
    incarnation: int
    value: Any


class _Resolution(msgspec.Struct):
    account: AccountName
    key: str
    note: str


class OperatorsInterface:
    """Handles operators' requests in this process."""

    def __init__(
        self,
        token: str,
        changes: Changes,
        change_log: ChangeLog,
        configuration: ConfigurationSync,
        claims: Claims,
        ledger: CostLedger,
        cost_store: CostStore,
        status: StatusReport,
        stopping: Stopping,
    ) -> None:
        self._token = token
        self._changes = changes
        self._change_log = change_log
        self._configuration = configuration
        self._claims = claims
        self._ledger = ledger
        self._cost_store = cost_store
        self._status = status
        self._stopping = stopping

    @web.middleware
    async def guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Refuse operators' calls without the token, and report errors as JSON."""
        if request.path.startswith("/operator/"):
            given = request.headers.get(TOKEN_HEADER, "")
            if not hmac.compare_digest(given.encode(), self._token.encode()):
                return _error(
                    403, f"Send the operators' token in the {TOKEN_HEADER} header."
                )
        try:
            return await handler(request)
        except msgspec.MsgspecError as error:
            return _error(400, f"The request body is invalid: {error}. Correct it.")
        except PlatformError as error:
            return _error(503, str(error))

    async def handle_change(self, request: web.Request) -> web.Response:
        """Answer ``POST /operator/v1/changes``."""
        change = decode_json(await request.read(), Change)
        report = await self._changes.submit(change)
        log(
            Part.OPERATORS,
            "A configuration change was processed.",
            change=change.change_id,
            author=change.author,
            outcome=report.result.outcome.value,
            revision=report.result.revision,
        )
        return json_response(report)

    async def handle_find_change(self, request: web.Request) -> web.Response:
        """Answer ``GET /operator/v1/changes/{change_id}``."""
        change_id = ChangeId(request.match_info["change_id"])
        revision = await self._change_log.find(change_id)
        return json_response({"change_id": change_id, "revision": revision})

    async def handle_history(self, request: web.Request) -> web.Response:
        """Answer ``GET /operator/v1/history`` with the latest changes."""
        head, _ = await self._change_log.head()
        first = max(0, head - HISTORY_LIMIT)
        return json_response(await self._change_log.changes_after(first, head))

    async def handle_objects(self, request: web.Request) -> web.Response:
        """Answer ``GET /operator/v1/objects/{kind}``; ``?name=`` selects one object."""
        kind = request.match_info["kind"]
        name = request.query.get("name")
        by_name = self._configuration.follower.snapshot.by_kind.get(kind, {})
        if name is not None:
            by_name = {name: by_name[name]} if name in by_name else {}
        shown = [_shown(kind, name, by_name[name]) for name in sorted(by_name)]
        return json_response(shown)

    async def handle_status(self, request: web.Request) -> web.Response:
        """Answer ``GET /operator/v1/status``."""
        return json_response(self._status.collect())

    async def handle_costs(self, request: web.Request) -> web.Response:
        """Answer ``GET /operator/v1/costs`` with this process's costs.

        With ``?of=all`` it returns the stored costs of all processes instead.
        """
        if request.query.get("of") == "all":
            return json_response(await self._cost_store.read_all())
        return json_response(self._ledger.rows())

    async def handle_drain(self, request: web.Request) -> web.Response:
        """Answer ``POST /operator/v1/drain``, which begins a planned stop."""
        self._stopping.request()
        return json_response({"in_flight": self._stopping.count})

    async def handle_claims(self, request: web.Request) -> web.Response:
        """Answer ``GET /operator/v1/claims`` with the claims that are still open."""
        return json_response(await self._claims.list_open())

    async def handle_resolve(self, request: web.Request) -> web.Response:
        """Answer ``POST /operator/v1/claims/resolve``."""
        message = decode_json(await request.read(), _Resolution)
        was_open = await self._claims.resolve(
            message.account, message.key, message.note
        )
        log(
            Part.OPERATORS,
            "An operator's request to resolve a claim was processed.",
            account=message.account,
        )
        return json_response({"resolved": was_open})

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for operators."""
        prefix = "/operator/v1"
        app.router.add_post(f"{prefix}/changes", self.handle_change)
        app.router.add_get(f"{prefix}/changes/{{change_id}}", self.handle_find_change)
        app.router.add_get(f"{prefix}/history", self.handle_history)
        app.router.add_get(f"{prefix}/objects/{{kind}}", self.handle_objects)
        app.router.add_get(f"{prefix}/status", self.handle_status)
        app.router.add_get(f"{prefix}/costs", self.handle_costs)
        app.router.add_post(f"{prefix}/drain", self.handle_drain)
        app.router.add_get(f"{prefix}/claims", self.handle_claims)
        app.router.add_post(f"{prefix}/claims/resolve", self.handle_resolve)


def _error(status: int, text: str) -> web.Response:
    return json_response({"error": text}, status=status)


def _shown(kind: str, name: str, entry: Entry) -> ShownObject:
    value = decode_json(entry.value)
    return ShownObject(kind, name, entry.revision, entry.incarnation, value)
