"""Captures the log lines that are written while a test runs."""

from collections.abc import Iterator
from contextlib import contextmanager

import eelgrass_node.log

__all__ = ["log_lines"]


@contextmanager
def log_lines() -> Iterator[list[dict]]:
    """Yield a list to which each log line is appended as it is written."""
    lines: list[dict] = []
    # Each access of ``lines.append`` makes a new object; removal needs the same one.
    destination = lines.append
    eelgrass_node.log.eliot.add_destinations(destination)
    # eliot replays earlier messages to the first destination that is added.
    lines.clear()
    try:
        yield lines
    finally:
        eelgrass_node.log.eliot.remove_destination(destination)
