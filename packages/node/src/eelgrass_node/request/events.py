"""Splits a stream of server-sent events, to forward only complete ones, each once."""

import re

from ..exceptions import CallFailed
from .reasons import RetryReason

__all__ = ["EventSplitter"]

# An event has the text of some tokens; one that does not end is no event.
MAX_EVENT_BYTES = 1 << 18
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id:[ \t]?([^\r\n]*)")


class EventSplitter:
    """Joins the bytes of one or more attempts at a stream at event boundaries.

    ``last_id`` is the id of the last complete event, from which a new attempt may
    resume.

    Example::

        splitter = EventSplitter()
        splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")   # the first event
        splitter.last_id                                    # "1"
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, without duplicates.

        Raises :class:`CallFailed` if an event is longer than any, and has no end.
        """
        self._buffer += data
        complete: list[bytes] = []
        begin = 0
        for match in _EVENT_END.finditer(self._buffer):
            event = self._buffer[begin : match.end()]
            begin = match.end()
            if self._is_new(event):
                complete.append(event)
        self._buffer = self._buffer[begin:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise CallFailed(RetryReason.BAD_ANSWER, not_run=False)
        return b"".join(complete)

    def restart(self) -> None:
        """Start with another attempt: drop the incomplete event of the last one."""
        self._buffer = b""

    def _is_new(self, event: bytes) -> bool:
        found = _ID_LINE.search(event)
        if found is None:
            self.events += 1
            return True
        event_id = found.group(1).decode("latin-1").strip()
        if self.last_id is not None and not _follows(event_id, self.last_id):
            return False
        self.last_id = event_id
        self.events += 1
        return True


def _follows(event_id: str, last_id: str) -> bool:
    """Return whether an id comes after another; non-numeric ids need only differ."""
    try:
        return int(event_id) > int(last_id)
    except ValueError:
        return event_id != last_id
