"""The planned stop of a process, without cutting off requests.

A stop has three steps. First the health check fails while requests are still accepted,
because the load balancer takes a moment to notice. Then new requests are refused. The
process ends once the last request in flight has its answer. Those that are still in
flight at the limit are ended: they are refused, and streams that have begun are closed.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..log import Part, log

__all__ = ["Stopping"]

# How long a stop that is at its limit still waits until callers have their refusals.
REFUSAL_WAIT_S = 0.2


class Stopping:
    """Counts the requests in flight and carries out the planned stop.

    ``notice_s`` is how long requests are still accepted after the stop begins, and
    ``limit_s`` the longest wait for those in flight, both in seconds.
    """

    def __init__(self, notice_s: float, limit_s: float) -> None:
        self._notice_s = notice_s
        self._limit_s = limit_s
        self._idle = asyncio.Event()
        self._idle.set()
        self._requested = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._on_limit: set[Callable[[float], None]] = set()
        self.count = 0
        self.stopping = False
        self.refusing = False
        self.is_at_limit = False

    @contextmanager
    def in_flight(self) -> Iterator[None]:
        """Count a request for as long as the context lasts."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._idle.set()

    @contextmanager
    def calling_at_limit(self, callback: Callable[[float], None]) -> Iterator[None]:
        """Call ``callback`` with the event loop's time if the limit passes meanwhile.

        It has to end the request in flight, with a refusal if its answer has not begun.
        """
        self._on_limit.add(callback)
        try:
            yield
        finally:
            self._on_limit.discard(callback)

    def track(self, task: asyncio.Task) -> asyncio.Task:
        """Hold a reference to a task until it ends, and retrieve its exception.

        Otherwise asyncio would log an exception that nothing else retrieves.
        """
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def request(self) -> None:
        """Begin the stop; further calls change nothing."""
        self.stopping = True
        self._requested.set()

    async def wait_requested(self) -> None:
        """Wait until a stop is requested."""
        await self._requested.wait()

    async def finish(self) -> bool:
        """Carry out the stop; return True if all requests ended within the limit."""
        await asyncio.sleep(self._notice_s)
        self.refusing = True
        try:
            async with asyncio.timeout(self._limit_s):
                await self._wait_until_idle()
        except TimeoutError:
            await self._end_requests()
            return False
        return True

    async def _wait_until_idle(self) -> None:
        # A request that was handled is counted anew while its answer is sent.
        while self.count:
            await self._idle.wait()

    async def _end_requests(self) -> None:
        """End the requests in flight, and wait until they have ended."""
        self.is_at_limit = True
        log(
            Part.NODE,
            "The limit of the planned stop has passed; requests in flight are refused, "
            "and streams that have begun are closed.",
            in_flight=self.count,
        )
        now = asyncio.get_running_loop().time()
        for callback in tuple(self._on_limit):
            callback(now)
        try:
            async with asyncio.timeout(REFUSAL_WAIT_S):
                await self._wait_until_idle()
        except TimeoutError:
            log(
                Part.NODE,
                "Requests have not ended in time; the process ends without them.",
                in_flight=self.count,
            )

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()
