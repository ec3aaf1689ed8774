"""The log lines that are written while a test runs."""

from collections.abc import Iterator
from contextlib import contextmanager

import eelgrass_node.log

__all__ = ["log_lines"]


@contextmanager
def log_lines() -> Iterator[list[dict]]:
    """Collect all lines, as they are written, in the list that it gives."""
    lines: list[dict] = []
    # One and the same object, so that it can be found again.
    destination = lines.append
    eelgrass_node.log.eliot.add_destinations(destination)
    # A first destination is given what was logged before it.
    lines.clear()
    try:
        yield lines
    finally:
        eelgrass_node.log.eliot.remove_destination(destination)
