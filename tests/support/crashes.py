"""A crash table without crashes, for tests of the other tables."""

from eelgrass_node.process.crash_table import CrashTable
from eelgrass_node.process.quarantine import Quarantine

__all__ = ["idle_crash_table"]


def idle_crash_table() -> CrashTable:
    """Return a crash table that applies rows and writes none."""

    async def write(puts, removes) -> None:
        raise AssertionError("no server has crashed")

    return CrashTable(Quarantine(lambda: 0.0), write, lambda: 0)
