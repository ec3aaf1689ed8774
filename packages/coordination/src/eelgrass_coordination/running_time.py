"""Timeouts and waits that do not count the time in which this process was stalled.

A process stalls when its host takes the processor away, or when one iteration of its
event loop takes long. A timer that expires during the stall fires as soon as the loop
resumes, before the loop has read the answers that arrived meanwhile, so every peer
that is waited for would look silent. Waits that decide whether another process has
failed therefore count only the time in which the event loop ran, and end one loop
iteration after their timer.

A caller's deadline keeps running during a stall. Use :func:`deadline_timeout` for it.
"""

import asyncio
import weakref

__all__ = [
    "StallAwareTimeout",
    "deadline_timeout",
    "running_time",
    "stall_aware_sleep",
    "stall_aware_wait",
]

# Interval of the ticks that detect stalls, and so the precision of a stall's length.
TICK_S = 0.05


class _StallMeter:
    """Measures how long an event loop was stalled, from ticks that fire late.

    It ticks only while at least one wait is active.
    """

    def __init__(self) -> None:
        self._stalled_s = 0.0
        self._active_waits = 0
        self._next_tick_at: float | None = None

    def begin_wait(self) -> None:
        self._active_waits += 1
        if self._next_tick_at is None:
            self._schedule_tick()

    def end_wait(self) -> None:
        self._active_waits -= 1

    def running_time(self) -> float:
        """Return the seconds in which the loop ran; only differences are meaningful."""
        now = asyncio.get_running_loop().time()
        late_s = (
            0.0 if self._next_tick_at is None else max(0.0, now - self._next_tick_at)
        )
        return now - self._stalled_s - late_s

    def _schedule_tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._next_tick_at = loop.time() + TICK_S
        loop.call_at(self._next_tick_at, self._tick)

    def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        self._stalled_s += max(0.0, now - self._next_tick_at)
        self._next_tick_at = None
        if self._active_waits:
            self._schedule_tick()


_meter_by_loop: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _StallMeter] = (
    weakref.WeakKeyDictionary()
)


def _running_loop_meter() -> _StallMeter:
    """Return the stall meter of the running loop, created at its first use."""
    loop = asyncio.get_running_loop()
    meter = _meter_by_loop.get(loop)
    if meter is None:
        meter = _meter_by_loop[loop] = _StallMeter()
    return meter


def running_time() -> float:
    """Return the seconds in which this process ran; only differences are meaningful.

    Stalls are detected only while at least one wait of this module is active.
    """
    return _running_loop_meter().running_time()


class StallAwareTimeout:
    """Raises :class:`TimeoutError` in its block after ``within_s`` of running time.

    It is used like :func:`asyncio.timeout`; None means no timeout::

        async with StallAwareTimeout(0.3) as timeout:
            head = await connection.read_head()
            timeout.restart(1.0)
            body = await connection.read_body()
    """

    def __init__(self, within_s: float | None) -> None:
        self._within_s = within_s
        self._timeout = asyncio.timeout(None)
        self._expires_at: float | None = None
        self._timer: asyncio.Handle | None = None

    async def __aenter__(self) -> "StallAwareTimeout":
        """Start the timeout."""
        self._loop = asyncio.get_running_loop()
        self._meter = _running_loop_meter()
        await self._timeout.__aenter__()
        self._meter.begin_wait()
        self.restart(self._within_s)
        return self

    async def __aexit__(self, *exc: object) -> bool | None:
        """Stop the timeout; raises :class:`TimeoutError` if it has expired."""
        self._disarm()
        self._meter.end_wait()
        return await self._timeout.__aexit__(*exc)

    def restart(self, within_s: float | None) -> None:
        """Expire ``within_s`` of running time from now, or never if it is None.

        A timeout that has expired is not started again.
        """
        if self._timeout.when() is not None:
            return
        if within_s is None:
            self._expires_at = None
            self._disarm()
            return
        now = self._meter.running_time()
        earlier = self._expires_at is not None and now + within_s < self._expires_at
        self._expires_at = now + within_s
        if earlier:
            self._disarm()
        if self._timer is None:
            self._arm()

    def expired(self) -> bool:
        """Return whether the timeout has expired."""
        return self._timeout.expired()

    def _arm(self) -> None:
        left_s = max(0.0, self._expires_at - self._meter.running_time())
        self._timer = self._loop.call_later(left_s, self._on_timer)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        """Decide one loop iteration later, after the loop has read what has arrived."""
        self._timer = self._loop.call_soon(self._check_expiry)

    def _check_expiry(self) -> None:
        if self._expires_at <= self._meter.running_time():
            self._timer = None
            self._timeout.reschedule(self._loop.time())
        else:
            self._arm()


class _DeadlineTimeout:
    """See :func:`deadline_timeout`."""

    def __init__(self, when: float) -> None:
        self._when = when
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> None:
        self._loop = asyncio.get_running_loop()
        await self._timeout.__aenter__()
        self._timer = self._loop.call_at(self._when, self._on_timer)

    async def __aexit__(self, *exc: object) -> bool | None:
        self._timer.cancel()
        return await self._timeout.__aexit__(*exc)

    def _on_timer(self) -> None:
        self._timer = self._loop.call_soon(self._expire)

    def _expire(self) -> None:
        self._timeout.reschedule(self._loop.time())


def deadline_timeout(when: float) -> _DeadlineTimeout:
    """Return a context manager like :func:`asyncio.timeout_at`, one iteration later.

    The loop has then read what arrived while the process was stalled, so an answer
    that has arrived is delivered although its deadline has passed.
    """
    return _DeadlineTimeout(when)


async def stall_aware_sleep(seconds: float) -> None:
    """Sleep for ``seconds`` of running time."""
    await stall_aware_wait(asyncio.get_running_loop().create_future(), seconds)


async def stall_aware_wait(awaited: asyncio.Future, within_s: float) -> bool:
    """Wait up to ``within_s`` of running time; return whether the future is done.

    The future is not cancelled.
    """
    try:
        async with StallAwareTimeout(within_s):
            await asyncio.wait({awaited})
    except TimeoutError:
        pass
    return awaited.done()
