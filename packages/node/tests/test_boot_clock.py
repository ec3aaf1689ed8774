"""The event loop's clock continues while the host is suspended."""

import asyncio
import time

from eelgrass_node import boot_clock
from eelgrass_node.boot_clock import BootClockLoop


class SuspendedClock:
    """A stand-in for the ``time`` module of a host that has been suspended."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self):
        self.suspended_s = 0.0

    def clock_gettime(self, clock):
        return time.clock_gettime(clock) + self.suspended_s


class TestBootClock:
    def test_a_deadline_expires_while_the_host_is_suspended(self, monkeypatch):
        clock = SuspendedClock()
        monkeypatch.setattr(boot_clock, "time", clock)

        async def wait():
            asyncio.get_running_loop().call_soon(setattr, clock, "suspended_s", 30.0)
            try:
                async with asyncio.timeout(20.0):
                    await asyncio.sleep(25.0)
            except TimeoutError:
                return "expired"

        began = time.monotonic()
        with asyncio.Runner(loop_factory=BootClockLoop) as runner:
            assert runner.run(wait()) == "expired"
        assert time.monotonic() - began < 5.0
