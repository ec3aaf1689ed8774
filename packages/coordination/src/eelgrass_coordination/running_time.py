"""Waits that count only the time in which this process itself was running.

A process stands still when its host takes the processor away, or when one turn of
its event loop takes long. A timer that falls due meanwhile fires as soon as it goes
on, before an answer that came long ago has been read, and the process would take
all that it waits for as silent. Waits that judge others therefore go by the time in
which the event loop turned, and end a turn after their timer.

Deadlines of callers go on while a process stands still, and are no case for this.
"""

import asyncio
import weakref

__all__ = [
    "StallAwareTimeout",
    "stall_aware_sleep",
    "running_time",
    "stall_aware_wait",
    "deadline_timeout",
]

# How closely it is known how long the loop stood still.
TICK_S = 0.05


class _Stalls:
    """How long an event loop has stood still, told from ticks that came late.

    It ticks only while something waits.
    """

    def __init__(self) -> None:
        self._stood_still_s = 0.0
        self._waits = 0
        self._due: float | None = None

    def begin_wait(self) -> None:
        self._waits += 1
        if self._due is None:
            self._tick_later()

    def end_wait(self) -> None:
        self._waits -= 1

    def running_time(self) -> float:
        """Return the seconds in which the loop turned; only differences count."""
        now = asyncio.get_running_loop().time()
        late_s = 0.0 if self._due is None else max(0.0, now - self._due)
        return now - self._stood_still_s - late_s

    def _tick_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + TICK_S
        loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        self._stood_still_s += max(0.0, now - self._due)
        self._due = None
        if self._waits:
            self._tick_later()


_stalls_by_loop: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _Stalls] = (
    weakref.WeakKeyDictionary()
)


def _stalls() -> _Stalls:
    """Return what is known of the running loop."""
    loop = asyncio.get_running_loop()
    found = _stalls_by_loop.get(loop)
    if found is None:
        found = _stalls_by_loop[loop] = _Stalls()
    return found


def running_time() -> float:
    """Return the seconds in which this process ran; only differences count.

    A stall is known of only while something waits.
    """
    return _stalls().running_time()


class StallAwareTimeout:
    """Raises :class:`TimeoutError` in its block after ``within_s`` awake seconds.

    It is used like :func:`asyncio.timeout`, and None stands for no end::

        async with AwakeTimeout(0.3) as bound:
            head = await connection.read_head()
            bound.restart(1.0)
            body = await connection.read_body()
    """

    def __init__(self, within_s: float | None) -> None:
        self._within_s = within_s
        self._bound = asyncio.timeout(None)
        self._ends_at: float | None = None
        self._timer: asyncio.Handle | None = None

    async def __aenter__(self) -> "StallAwareTimeout":
        """Begin to wait."""
        self._loop = asyncio.get_running_loop()
        self._stalls = _stalls()
        await self._bound.__aenter__()
        self._stalls.begin_wait()
        self.restart(self._within_s)
        return self

    async def __aexit__(self, *exc: object) -> bool | None:
        """End the wait; raises :class:`TimeoutError` where it was over before."""
        self._disarm()
        self._stalls.end_wait()
        return await self._bound.__aexit__(*exc)

    def restart(self, within_s: float | None) -> None:
        """End the wait so many awake seconds from now, None for never.

        A wait that has ended stays so.
        """
        if self._bound.when() is not None:
            return
        if within_s is None:
            self._ends_at = None
            self._disarm()
            return
        now = self._stalls.running_time()
        earlier = self._ends_at is not None and now + within_s < self._ends_at
        self._ends_at = now + within_s
        if earlier:
            self._disarm()
        if self._timer is None:
            self._arm()

    def expired(self) -> bool:
        """Return whether the wait has ended by its time."""
        return self._bound.expired()

    def _arm(self) -> None:
        left_s = max(0.0, self._ends_at - self._stalls.running_time())
        self._timer = self._loop.call_later(left_s, self._time_is_over)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_is_over(self) -> None:
        """Judge one turn of the loop later, when what came meanwhile has been read."""
        self._timer = self._loop.call_soon(self._judge)

    def _judge(self) -> None:
        if self._ends_at <= self._stalls.running_time():
            self._timer = None
            self._bound.reschedule(self._loop.time())
        else:
            self._arm()


class _DeadlineTimeout:
    """See :func:`deadline_timeout`."""

    def __init__(self, when: float) -> None:
        self._when = when
        self._bound = asyncio.timeout(None)

    async def __aenter__(self) -> None:
        self._loop = asyncio.get_running_loop()
        await self._bound.__aenter__()
        self._timer = self._loop.call_at(self._when, self._time_is_over)

    async def __aexit__(self, *exc: object) -> bool | None:
        self._timer.cancel()
        return await self._bound.__aexit__(*exc)

    def _time_is_over(self) -> None:
        self._timer = self._loop.call_soon(self._give_up)

    def _give_up(self) -> None:
        self._bound.reschedule(self._loop.time())


def deadline_timeout(when: float) -> _DeadlineTimeout:
    """Return a context that ends like :func:`asyncio.timeout_at`, a turn later.

    What came while the process stood still has been read by then: an answer that
    is there is given, though its deadline has passed.
    """
    return _DeadlineTimeout(when)


async def stall_aware_sleep(seconds: float) -> None:
    """Wait for so many awake seconds."""
    await stall_aware_wait(asyncio.get_running_loop().create_future(), seconds)


async def stall_aware_wait(awaited: asyncio.Future, within_s: float) -> bool:
    """Return whether a future is done within so many awake seconds; it goes on."""
    try:
        async with StallAwareTimeout(within_s):
            await asyncio.wait({awaited})
    except TimeoutError:
        pass
    return awaited.done()
