"""Borrows retries from nodes that get few requests, for a node that gets most of them.

The load balancer may send most requests to one node. Its share of the fixed part of a
retry budget is that of any other node, although the others need theirs less.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from eelgrass_coordination import Member

from ..exceptions import PeerUnreachable
from ..log import Part, log
from .retry_budget import RetryBudgets

__all__ = ["AskLender", "RetryLoans"]

# Nodes that are asked at once, and pauses after asking: a longer one if none lent.
LENDERS = 3
PAUSE_S = 0.25
REFUSED_PAUSE_S = 2.0

# Asks a node for retries of a service, stating the requests of the last window; raises
# PeerUnreachable.
AskLender = Callable[[Member, str, int], Awaitable[float]]


class RetryLoans:
    """Borrows for the budgets of one node when one of them is exhausted.

    ``members`` returns the other reachable nodes and ``clock`` seconds.
    """

    def __init__(
        self,
        budgets: RetryBudgets,
        members: Callable[[], Sequence[Member]],
        ask_lender: AskLender,
        clock: Callable[[], float],
    ) -> None:
        self._budgets = budgets
        self._members = members
        self._ask_lender = ask_lender
        self._clock = clock
        self._paused_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        budgets.on_exhausted = self._on_exhausted

    def stop(self) -> None:
        """Cancel all calls."""
        for task in self._tasks:
            task.cancel()

    def _on_exhausted(self, service: str) -> None:
        now = self._clock()
        if now < self._paused_until.get(service, float("-inf")):
            return
        members = list(self._members())
        if not members:
            # Also a node that has just started, and will know others in a moment.
            return
        self._paused_until[service] = now + PAUSE_S
        lenders = random.sample(members, min(LENDERS, len(members)))
        task = asyncio.create_task(self._borrow(service, lenders))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _borrow(self, service: str, lenders: Sequence[Member]) -> None:
        requested = self._budgets.requested(service)
        lent = await asyncio.gather(
            *(self._ask(lender, service, requested) for lender in lenders)
        )
        if not any(lent):
            self._paused_until[service] = self._clock() + REFUSED_PAUSE_S
            return
        self._budgets.borrow(service, sum(lent))
        log(
            Part.REQUESTS,
            "Borrowed retries from nodes with fewer requests.",
            service=service,
            tokens=round(sum(lent), 2),
        )

    async def _ask(self, lender: Member, service: str, requested: int) -> float:
        try:
            return await self._ask_lender(lender, service, requested)
        except PeerUnreachable as error:
            log(
                Part.HOSTS,
                "A node did not answer whether it lends retries.",
                node=lender.id,
                error=str(error),
            )
            return 0.0
