"""A table of ends that nobody writes to, for tests of the other tables."""

from eelgrass_node.process.crash_table import CrashTable
from eelgrass_node.process.quarantine import Quarantine

__all__ = ["idle_crash_table"]


def idle_crash_table() -> CrashTable:
    """Return one that takes rows in and writes none."""

    async def write(puts, removes) -> None:
        raise AssertionError("nothing has ended")

    return CrashTable(Quarantine(lambda: 0.0), write, lambda: 0)
