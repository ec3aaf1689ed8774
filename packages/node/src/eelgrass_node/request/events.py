"""Splits a stream of events, so that only whole events are passed on, each once."""

import re

__all__ = ["EventSplitter"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id:[ \t]?([^\r\n]*)")


class EventSplitter:
    """Takes bytes of one or more runs of a stream, joined at whole events.

    ``last_id`` is the id of the last whole event, from which a new run may go
    on.

    Example::

        splitter = EventSplitter()
        splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")   # the first event
        splitter.last_id                                    # "1"
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Whether an event has begun that is not whole."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes, without repeats."""
        self._rest += data
        passed: list[bytes] = []
        begin = 0
        for match in _EVENT_END.finditer(self._rest):
            event = self._rest[begin : match.end()]
            begin = match.end()
            if self._is_new(event):
                passed.append(event)
        self._rest = self._rest[begin:]
        return b"".join(passed)

    def restart(self) -> None:
        """Begin with another run: drop the part of an event that the last left."""
        self._rest = b""

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
    """Return whether an id comes after another; ids that are no numbers do."""
    try:
        return int(event_id) > int(last_id)
    except ValueError:
        return event_id != last_id
