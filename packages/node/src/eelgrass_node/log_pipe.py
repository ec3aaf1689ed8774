"""Writes log lines to a pipe without blocking on its reader.

A reader that stops reading must not delay requests. Lines are buffered up to a limit
and then dropped; their number is logged once the pipe is writable again. The rate is
limited as well, per second and kind of line, except for the lines that say how a
request failed.
"""

import asyncio
import os
import time
from collections import Counter

import msgspec

__all__ = ["LINES_PER_S", "LogPipe"]

# Rate limit for each kind of line. Under the heaviest planned load a host writes some
# 11 lines a second in all; the limit allows for bursts of errors and keeps logging
# below 1% of a core.
LINES_PER_S = 100
MAX_BUFFER_BYTES = 1 << 18
# Kinds of lines that the rate limit does not apply to. They have to be the sentences
# that the request layer logs for failed requests.
UNLIMITED_KINDS = frozenset(
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
        self._buffer = bytearray()
        self._current_second = 0
        self._lines_by_kind: Counter[str] = Counter()
        self._dropped_by_kind: Counter[str] = Counter()
        self._awaits_writable = False
        os.set_blocking(fd, False)

    def write(self, message: dict) -> None:
        """Write one message, or drop and count it if a limit is reached."""
        kind = str(message.get("message", ""))
        if not self._is_within_limit(kind):
            self._dropped_by_kind[kind] += 1
            return
        line = msgspec.json.encode(message, enc_hook=repr) + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self._dropped_by_kind[kind] += 1
            return
        self._buffer += line
        self._flush()

    def _is_within_limit(self, kind: str) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_by_kind.clear()
            self._report_dropped()
        self._lines_by_kind[kind] += 1
        return kind in UNLIMITED_KINDS or self._lines_by_kind[kind] <= LINES_PER_S

    def _report_dropped(self) -> None:
        if not self._dropped_by_kind or len(self._buffer) > MAX_BUFFER_BYTES // 2:
            return
        line = msgspec.json.encode(
            {
                "message": "node: Log lines were dropped, by kind.",
                "left_out": dict(self._dropped_by_kind),
                "timestamp": time.time(),
            }
        )
        self._dropped_by_kind.clear()
        self._buffer += line + b"\n"

    def _flush(self) -> None:
        if self._awaits_writable:
            return
        try:
            written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, and there is no other place to log to.
            written = len(self._buffer)
        del self._buffer[:written]
        if self._buffer:
            self._await_writable()

    def _await_writable(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._awaits_writable = True
        loop.add_writer(self._fd, self._on_writable)

    def _on_writable(self) -> None:
        self._awaits_writable = False
        asyncio.get_running_loop().remove_writer(self._fd)
        self._flush()
