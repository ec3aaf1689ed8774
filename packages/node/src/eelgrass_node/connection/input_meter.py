"""Measures what has arrived on a connection of an HTTP server, in bytes."""

from collections.abc import Iterable

from aiohttp import EMPTY_PAYLOAD, StreamReader
from aiohttp.http import RawRequestMessage

__all__ = ["InputMeter", "head_bytes", "waiting_bytes"]

# Objects of a request that waits behind another one.
WAITING_REQUEST_BYTES = 4096
# The end of a header line, and what a request line has besides its path.
LINE_END_BYTES = 4
REQUEST_LINE_BYTES = 16


class InputMeter:
    """Tells what the parser still holds from what belongs to a request.

    ``unparsed_bytes`` belong to no request yet, and ``last_body`` is the body of the
    last request that has begun to arrive.
    """

    def __init__(self) -> None:
        self.unparsed_bytes = 0
        self.last_body: StreamReader = EMPTY_PAYLOAD
        self._last_body_bytes = 0

    def record(
        self, received: int, begun: Iterable[tuple[RawRequestMessage, StreamReader]]
    ) -> None:
        """Record so many bytes, with which the requests ``begun`` have begun."""
        parsed = self.last_body.total_bytes - self._last_body_bytes
        for message, body in begun:
            parsed += head_bytes(message) + body.total_bytes
            self.last_body = body
        self._last_body_bytes = self.last_body.total_bytes
        if self.last_body.is_eof():
            self.unparsed_bytes = max(0, self.unparsed_bytes + received - parsed)
        else:
            self.unparsed_bytes = 0


def waiting_bytes(message: RawRequestMessage, body: StreamReader) -> int:
    """Return what a request takes that waits behind another one."""
    return WAITING_REQUEST_BYTES + 2 * head_bytes(message) + body.total_bytes


def head_bytes(message: RawRequestMessage) -> int:
    """Return about how long a head is; little for input that is not a request."""
    headers = getattr(message, "raw_headers", ())
    lines = sum(len(name) + len(value) + LINE_END_BYTES for name, value in headers)
    return lines + len(getattr(message, "path", "")) + REQUEST_LINE_BYTES
