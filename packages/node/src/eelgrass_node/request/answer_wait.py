"""Waits for a server's answer, and gives it up only if the request goes on elsewhere.

A sound server may be silent for a while and then go on. Closing a call because of its
silence alone would cut the caller's answer if nothing else can complete it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from eelgrass_coordination import StallAwareTimeout, stall_aware_wait

__all__ = ["AnswerWait"]

# Interval at which a request whose server stays silent looks for another one.
RETRY_INTERVAL_S = 0.5

T = TypeVar("T")


class AnswerWait:
    """The waits for the parts of one answer.

    After a silence ``secure`` is called, which returns whether another server is
    certain to take the request over; until then the wait goes on. ``release`` is
    called if the answer goes on after all.
    """

    def __init__(
        self, secure: Callable[[], Awaitable[bool]], release: Callable[[], None]
    ) -> None:
        self._secure = secure
        self._release = release
        self._timeout: StallAwareTimeout | None = None
        self._is_path_lost = False

    def on_path_lost(self) -> None:
        """End the timeout, because what the server sends may not arrive any more."""
        self._is_path_lost = True
        if self._timeout is not None:
            self._timeout.restart(0.0)

    async def read(self, read: Callable[[], Awaitable[T]], within_s: float | None) -> T:
        """Return the result of ``read``, which may be cancelled and called again.

        Raises :class:`TimeoutError` if nothing came ``within_s`` seconds, and another
        server takes the request over.
        """
        timeout = StallAwareTimeout(0.0 if self._is_path_lost else within_s)
        try:
            async with timeout:
                self._timeout = timeout
                result = await read()
        except TimeoutError:
            if not timeout.expired():
                raise
            result = await self._read_or_give_up(read)
        finally:
            self._timeout = None
        self._is_path_lost = False
        return result

    async def _read_or_give_up(self, read: Callable[[], Awaitable[T]]) -> T:
        reading = asyncio.ensure_future(read())
        try:
            while not await self._is_secured(reading):
                if await stall_aware_wait(reading, RETRY_INTERVAL_S):
                    break
            if not reading.done():
                raise TimeoutError("the server is silent; another one takes over")
            return reading.result()
        finally:
            await _cancel(reading)

    async def _is_secured(self, reading: asyncio.Future) -> bool:
        """Return whether the wait is over: another server is secured, or data came."""
        securing = asyncio.create_task(self._secure())
        try:
            await asyncio.wait({reading, securing}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await _cancel(securing)
        if not reading.done():
            return securing.result()
        # Also if it came just after a server was secured.
        self._release()
        return True


async def _cancel(future: asyncio.Future) -> None:
    future.cancel()
    await asyncio.gather(future, return_exceptions=True)
