"""An event loop whose clock goes on while the host is suspended.

The usual monotonic clock stands still then. A request's deadline would seem as
far away after the host wakes as before, though its caller has long left; with
this clock it has passed, and so have the leases on what was last heard.
"""

import asyncio
import time

__all__ = ["BootClockLoop", "unix_ms"]


class BootClockLoop(asyncio.SelectorEventLoop):
    """The standard loop, with the time since the host was started."""

    def time(self) -> float:
        """Return the time in seconds, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
