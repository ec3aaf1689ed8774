"""Keeps the long-lived work of a process going."""

import asyncio
from collections.abc import Awaitable, Callable

from ..log import Part, log

__all__ = ["keep_running"]

# Between two starts of work that fails by itself; short against the seconds in
# which a change must be in force.
RESTART_DELAY_S = 0.5


async def keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` until it ends; begin it anew where it fails unexpectedly.

    Without this an error that nobody foresaw would silently end, for example,
    the following of the configuration, and the node would serve an old one.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:  # noqa: BLE001
            name = getattr(work, "__qualname__", repr(work))
            log(Part.NODE, "Work failed and begins anew.", work=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
