"""Detects that the event loop cannot keep up with its work.

A host whose processor is overloaded goes on reading requests, and all of them get
slower until most miss their deadlines. The delay with which the loop runs a due timer
shows this early. A pause of the whole process delays one timer; only a delay that
lasts shows an overload.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from ..log import Part, log

__all__ = ["LoopLoad"]

# Time between two timers.
INTERVAL_S = 0.02
# The least delay within this time counts, so that a single pause does not.
WINDOW_S = 0.25
# A request takes some ten turns of the loop, and callers expect answers within a
# second or two.
OVERLOAD_DELAY_S = 0.12


class LoopLoad:
    """Measures the delay of the event loop while :meth:`run` runs.

    ``is_overloaded`` tells whether the loop cannot keep up; ``on_overload`` is called
    when that begins.
    """

    def __init__(self) -> None:
        self.is_overloaded = False
        self.on_overload: Callable[[], None] = lambda: None
        self._delays: deque[tuple[float, float]] = deque()

    @property
    def delay_s(self) -> float:
        """The least delay of a timer within the window, in seconds."""
        return min((delay_s for _, delay_s in self._delays), default=0.0)

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.record(loop.time(), loop.time() - due_at)

    def record(self, now: float, delay_s: float) -> None:
        """Record that a timer ran at ``now`` with a delay."""
        self._delays.append((now, delay_s))
        # Two timers at least count: one may have been delayed by a pause.
        while len(self._delays) > 2 and self._delays[0][0] < now - WINDOW_S:
            self._delays.popleft()
        is_overloaded = len(self._delays) > 1 and self.delay_s > OVERLOAD_DELAY_S
        if is_overloaded == self.is_overloaded:
            return
        self.is_overloaded = is_overloaded
        if is_overloaded:
            self.on_overload()
        else:
            log(
                Part.CALLERS,
                "The processor keeps up again; new connections are accepted.",
                delay_s=round(self.delay_s, 3),
            )
