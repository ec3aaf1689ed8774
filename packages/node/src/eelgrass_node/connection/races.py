"""Runs several attempts at the same thing, of which the first to succeed counts."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from eelgrass_coordination import StallAwareTimeout

__all__ = ["first_success"]

T = TypeVar("T")


async def first_success(
    attempts: Sequence[Callable[[], Awaitable[T]]],
    stagger_s: float,
    discard: Callable[[T], None],
) -> T:
    """Return the result of the first attempt that succeeds.

    The next attempt starts once one has failed, or ``stagger_s`` seconds after the one
    before. ``discard`` is called with each result that is not needed. If all attempts
    fail, the exception of the first one is raised.
    """
    waiting = list(attempts)
    running: dict[asyncio.Task[T], int] = {}
    errors: dict[int, BaseException] = {}
    try:
        while True:
            if waiting:
                number = len(attempts) - len(waiting)
                running[asyncio.ensure_future(waiting.pop(0)())] = number
            if not running:
                raise errors[min(errors)]
            done = await _first_done(running, stagger_s if waiting else None)
            for task in done:
                if not task.cancelled() and task.exception() is None:
                    del running[task]
                    return task.result()
                errors[running.pop(task)] = _error(task)
    finally:
        for task in running:
            task.add_done_callback(lambda task: _discard_result(task, discard))
            task.cancel()


async def _first_done(
    running: dict[asyncio.Task[T], int], within_s: float | None
) -> list[asyncio.Task[T]]:
    """Wait for one task, up to ``within_s``; return those done, in order of start."""
    try:
        async with StallAwareTimeout(within_s):
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
    except TimeoutError:
        pass
    return [task for task in running if task.done()]


def _error(task: asyncio.Task) -> BaseException:
    return asyncio.CancelledError() if task.cancelled() else task.exception()


def _discard_result(task: asyncio.Task[T], discard: Callable[[T], None]) -> None:
    if not task.cancelled() and task.exception() is None:
        discard(task.result())
