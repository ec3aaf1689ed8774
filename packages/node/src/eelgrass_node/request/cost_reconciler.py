"""Costs of attempts that were given up, asked for until the server tells them.

The pattern it answers: a server that is slow to answer is slow to answer the cancel,
too. The next attempt cannot wait for what the last one has cost, and the sum of costs
is to match what the servers counted.
"""

import asyncio
from collections.abc import Callable

from .attempt import Attempt
from .generation import CancelAnswer, cancel
from .model import CallerRequest, StageCost

__all__ = ["CostReconciler"]

# Bounds and pauses in seconds. A server keeps an attempt for 10 s after its end.
ASK_S = 1.0
FIRST_PAUSE_S = 0.1
MAX_ASKS = 4


class CostReconciler:
    """Asks servers for costs; ``on_cost`` is told each one as a correction.

    The attempt was counted as one without a known cost before.
    """

    def __init__(self, on_cost: Callable[[CallerRequest, StageCost], None]) -> None:
        self._on_cost = on_cost
        self._tasks: set[asyncio.Task] = set()

    def reconcile(self, attempt: Attempt) -> None:
        """Cancel an attempt and find out what it has cost, without waiting."""
        task = asyncio.create_task(self._settle(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle(self, attempt: Attempt) -> None:
        answer = None
        for ask in range(MAX_ASKS):
            answer = await cancel(attempt, ASK_S)
            if answer is not None and answer.cost_ms is not None:
                break
            await asyncio.sleep(FIRST_PAUSE_S * 2**ask)
        if answer is not None:
            self._correct(attempt, answer)

    def _correct(self, attempt: Attempt, answer: CancelAnswer) -> None:
        # What a server still knows nothing of by now has never begun there.
        wasted_ms = answer.cost_ms or 0.0
        correction = StageCost(attempt.stage.name, wasted_ms=wasted_ms, unreported=-1)
        self._on_cost(attempt.request, correction)
