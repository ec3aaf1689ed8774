"""The planned stop of a process, without cutting off requests.

A stop has three steps. First the health check fails while requests are still accepted,
because the load balancer takes a moment to notice. Then new requests are refused. The
process ends once the last request in flight has its answer.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["Stopping"]


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
        self.count = 0
        self.stopping = False
        self.refusing = False

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
        """Carry out the stop; return True if no request was left in flight."""
        await asyncio.sleep(self._notice_s)
        self.refusing = True
        try:
            async with asyncio.timeout(self._limit_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()
