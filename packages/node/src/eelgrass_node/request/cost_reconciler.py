"""Asks servers for the costs of abandoned attempts until they report them.

A server that responds slowly to a call also responds slowly to its cancellation. The
next attempt cannot wait for the cost of the last one, but the sum of the costs has to
match what the servers counted.
"""

import asyncio
from collections.abc import Callable

from .attempt import Attempt
from .generation import CancelAnswer, cancel
from .model import CallerRequest, StageCost

__all__ = ["CostReconciler"]

# Timeout and first backoff, in seconds. A server remembers an attempt for 10 s after
# its end.
CANCEL_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.1
MAX_CANCELS = 4


class CostReconciler:
    """Obtains missing costs; ``on_cost`` receives each one as a correction.

    The attempt has been recorded as one of unknown cost before.
    """

    def __init__(self, on_cost: Callable[[CallerRequest, StageCost], None]) -> None:
        self._on_cost = on_cost
        self._tasks: set[asyncio.Task] = set()

    def reconcile(self, attempt: Attempt) -> None:
        """Cancel an attempt and obtain its cost in the background."""
        task = asyncio.create_task(self._reconcile(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reconcile(self, attempt: Attempt) -> None:
        answer = None
        for try_number in range(MAX_CANCELS):
            answer = await cancel(attempt, CANCEL_TIMEOUT_S)
            if answer is not None and answer.cost_ms is not None:
                break
            await asyncio.sleep(FIRST_BACKOFF_S * 2**try_number)
        if answer is not None:
            self._correct(attempt, answer)

    def _correct(self, attempt: Attempt, answer: CancelAnswer) -> None:
        # An attempt that the server still does not know has never started there.
        wasted_ms = answer.cost_ms or 0.0
        correction = StageCost(attempt.stage.name, wasted_ms=wasted_ms, unreported=-1)
        self._on_cost(attempt.request, correction)
