"""Structured logging: a sentence with the prefix of its component, and fields."""

import sys
from enum import Enum
from typing import Any

import eliot

from .log_pipe import LogPipe

__all__ = ["Part", "log", "log_to_stderr", "log_to_stdout"]


class Part(Enum):
    """The components of the node that write logs; the value is the prefix."""

    NODE = "node"
    CONFIGURATION = "configuration"
    HOSTS = "hosts"
    MEMBERSHIP = "membership"
    CLAIMS = "claims"
    CALLERS = "callers"
    OPERATORS = "operators"
    COSTS = "costs"
    STORE = "store"
    REQUESTS = "requests"
    PIECES = "pieces"


def log_to_stderr() -> None:
    """Write logs as JSON lines to standard error."""
    eliot.to_file(sys.stderr)


def log_to_stdout() -> None:
    """Write logs as JSON lines to standard output, without blocking on a slow reader.

    See :class:`.log_pipe.LogPipe` for what is dropped then.
    """
    eliot.add_destinations(LogPipe(sys.stdout.fileno()).write)


def log(part: Part, sentence: str, **fields: Any) -> None:
    """Write one line, for example ``log(Part.NODE, "Ready.", revision=4)``."""
    eliot.log_message(
        message_type=part.value, message=f"{part.value}: {sentence}", **fields
    )
