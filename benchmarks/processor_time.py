"""Reads the processor time of the benchmark process."""

import resource

__all__ = ["cpu_s"]


def cpu_s() -> float:
    """Return the processor time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
