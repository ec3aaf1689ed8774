"""Decides whether a new connection is accepted, or closed before it is read.

While the event loop cannot keep up, no connection is accepted. Afterwards the rate of
new connections is limited: all that wait to come in would overload the processor again,
before its delay shows that. The limit is halved with each overload, but not below what
the host has served, and grows in between until the host has kept up for some time.
"""

from collections import deque
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..log import Part, log
from .loop_load import LoopLoad

__all__ = ["ConnectionAdmission"]

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# The connections of this time give the rate that was too high, and the answers the one
# that the host can serve.
RATE_WINDOW_S = 1.0
DECREASE = 0.6
# Growth of the limit per second.
GROWTH = 2.5
MIN_PER_S = 2.0
# Connections that may come at once, as the time in which the limit allows them.
BURST_S = 0.1
# The limit ends this long after the last overload.
RECOVERY_S = 2.0


class ConnectionAdmission:
    """The admission of one process; ``clock`` returns seconds."""

    def __init__(self, load: LoopLoad, clock: Callable[[], float]) -> None:
        self._load = load
        self._clock = clock
        self._accepted_at: deque[float] = deque()
        self._served_at: deque[float] = deque()
        # None means that the rate is not limited.
        self._limit_per_s: float | None = None
        self._tokens = 0.0
        self._updated_at = clock()
        self._overloaded_at = float("-inf")
        load.on_overload = self._on_overload

    @property
    def limit_per_s(self) -> float | None:
        """The limit on new connections per second, if there is one."""
        return self._limit_per_s

    def counting(self, handle: Handler) -> Handler:
        """Return a handler that counts the requests that it has served."""

        async def handle_and_count(request: web.BaseRequest) -> web.StreamResponse:
            response = await handle(request)
            _add_time(self._served_at, self._clock())
            return response

        return handle_and_count

    def admits(self) -> bool:
        """Return whether a connection that was just opened may be read."""
        now = self._clock()
        if self._load.is_overloaded:
            return False
        if self._limit_per_s is not None and not self._take_token(now):
            return False
        _add_time(self._accepted_at, now)
        return True

    def _take_token(self, now: float) -> bool:
        if now - self._overloaded_at >= RECOVERY_S:
            self._limit_per_s = None
            log(Part.CALLERS, "The rate of new connections is no longer limited.")
            return True
        passed_s = now - self._updated_at
        self._updated_at = now
        self._limit_per_s *= GROWTH**passed_s
        burst = max(1.0, self._limit_per_s * BURST_S)
        self._tokens = min(burst, self._tokens + passed_s * self._limit_per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _on_overload(self) -> None:
        now = self._clock()
        accepted_per_s = _rate(self._accepted_at, now)
        if self._limit_per_s is not None:
            accepted_per_s = min(accepted_per_s, self._limit_per_s)
        served_per_s = _rate(self._served_at, now)
        self._limit_per_s = max(MIN_PER_S, served_per_s, DECREASE * accepted_per_s)
        self._overloaded_at = self._updated_at = now
        self._tokens = 0.0
        log(
            Part.CALLERS,
            "The processor cannot keep up; new connections are closed unread.",
            delay_s=round(self._load.delay_s, 3),
            limit_per_s=round(self._limit_per_s, 1),
        )


def _add_time(times: deque[float], now: float) -> None:
    times.append(now)
    while times[0] < now - RATE_WINDOW_S:
        times.popleft()


def _rate(times: deque[float], now: float) -> float:
    """Return how many of some times are in the window, per second."""
    return sum(time >= now - RATE_WINDOW_S for time in times) / RATE_WINDOW_S
