"""Writes log lines to a pipe without ever waiting for its reader.

A reader that stops reading must cost no request: lines are kept up to a bound,
then left out, and their number is logged once there is room again. The volume
is bounded too: of each kind of line only so many a second are written, apart
from those that tell how a request failed.
"""

import asyncio
import os
import time
from collections import Counter

import msgspec

__all__ = ["LINES_PER_S", "LogPipe"]

# On the heaviest days of the users' sheets a host writes some 11 lines a second
# in all; this leaves room for storms and keeps them under 1% of a core.
LINES_PER_S = 100
MAX_KEPT_BYTES = 1 << 18
# Kinds of lines that are never left out for their number.
UNBOUNDED = frozenset(
    (
        "requests: Refused.",
        "requests: The deadline passed.",
        "requests: The caller left.",
    )
)


class LogPipe:
    """Writes messages as JSON lines to the file descriptor ``fd``."""

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._kept = bytearray()
        self._second = 0
        self._lines_by_kind: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self._waiting = False
        os.set_blocking(fd, False)

    def write(self, message: dict) -> None:
        """Write one message, or count it where there is no room for it."""
        kind = str(message.get("message", ""))
        if not self._within_budget(kind):
            self._left_out[kind] += 1
            return
        line = msgspec.json.encode(message, enc_hook=repr) + b"\n"
        if len(self._kept) + len(line) > MAX_KEPT_BYTES:
            self._left_out[kind] += 1
            return
        self._kept += line
        self._flush()

    def _within_budget(self, kind: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_by_kind.clear()
            self._tell_left_out()
        self._lines_by_kind[kind] += 1
        return kind in UNBOUNDED or self._lines_by_kind[kind] <= LINES_PER_S

    def _tell_left_out(self) -> None:
        if not self._left_out or len(self._kept) > MAX_KEPT_BYTES // 2:
            return
        line = msgspec.json.encode(
            {
                "message": "node: Log lines were left out.",
                "left_out": dict(self._left_out),
                "timestamp": time.time(),
            }
        )
        self._left_out.clear()
        self._kept += line + b"\n"

    def _flush(self) -> None:
        if self._waiting:
            return
        try:
            written = os.write(self._fd, self._kept)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            written = len(self._kept)
        del self._kept[:written]
        if self._kept:
            self._wait_for_room()

    def _wait_for_room(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._waiting = True
        loop.add_writer(self._fd, self._room)

    def _room(self) -> None:
        self._waiting = False
        asyncio.get_running_loop().remove_writer(self._fd)
        self._flush()
