"""An event loop whose clock continues while the host is suspended.

The usual monotonic clock stops meanwhile. After the host resumes, a request's deadline
would be as far away as before the suspension, although its caller has long
disconnected. With this clock deadlines, and the leases on received state, have expired.
"""

import asyncio
import time

__all__ = ["BootClockLoop", "unix_ms"]


class BootClockLoop(asyncio.SelectorEventLoop):
    """The standard selector loop, whose time is the time since the host booted."""

    def time(self) -> float:
        """Return the time in seconds, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
