"""Calls with which a node borrows retries from another."""

import msgspec
from aiohttp import web

from eelgrass_coordination import JsonDecoder, Member

from ..process.retry_budget import RetryBudgets
from .peer_calls import PeerCalls

__all__ = ["LoanClient", "LoanInterface"]

LOAN_CALL = "retry-loan"
# Requests that could use the loan are over soon.
ANSWER_TIMEOUT_S = 0.3


class _LoanRequest(msgspec.Struct, frozen=True):
    """The service, and the requests for it that the borrower got in a window."""

    service: str
    requested: int


class LoanClient:
    """Asks other nodes to lend retries."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls

    async def ask(self, lender: Member, service: str, requested: int) -> float:
        """Return how many retries a node lends; raises :class:`PeerUnreachable`."""
        query = _LoanRequest(service, requested)
        return await self._calls.ask(
            lender.internal, LOAN_CALL, query, float, ANSWER_TIMEOUT_S
        )


class LoanInterface:
    """Answers other nodes that want to borrow retries."""

    def __init__(self, budgets: RetryBudgets) -> None:
        self._budgets = budgets
        self._decoder = JsonDecoder(_LoanRequest)

    async def handle_loan(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/retry-loan``."""
        query = self._decoder.decode(await request.read())
        lent = self._budgets.lend(query.service, query.requested)
        return web.Response(
            body=msgspec.json.encode(lent), content_type="application/json"
        )

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{LOAN_CALL}", self.handle_loan)
