"""Restarts long-running tasks of a process that fail."""

import asyncio
from collections.abc import Awaitable, Callable

from ..log import Part, log

__all__ = ["keep_running"]

# The delay before failed work is restarted. It is short compared with the seconds
# within which a change must be in force.
RESTART_DELAY_S = 0.5


async def keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` until it returns; restart it if it raises an exception.

    Without the restart an unexpected error would silently end, for example, the polling
    for configuration changes, and the node would go on with an old configuration.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:  # noqa: BLE001
            name = getattr(work, "__qualname__", repr(work))
            log(
                Part.NODE,
                "A task failed and is restarted.",
                work=name,
                error=repr(error),
            )
            await asyncio.sleep(RESTART_DELAY_S)
