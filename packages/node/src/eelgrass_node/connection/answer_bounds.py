"""Bounds of what a server may send as one answer.

A server in trouble may send bytes that are no answer, without end. A call to it ends
with an error as soon as they exceed what an answer can be, and its connection is
closed.
"""

import aiohttp

from eelgrass_coordination import StallAwareTimeout

from ..exceptions import AnswerTooLong
from .response_handler import SolicitedResponseHandler

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_REPORT_BYTES",
    "BoundedResponseHandler",
    "ends_soon",
    "read_bounded",
]

# A complete body is kept in memory until it is forwarded.
MAX_BODY_BYTES = 4 << 20
# Bytes of a body's framing, such as the sizes of chunks, that bring no data.
MAX_FRAMING_BYTES = 1 << 16
# Reports and the outcomes of stage calls have some hundred bytes for each item.
MAX_REPORT_BYTES = 1 << 20
# The body of a refusal or an error, which is dropped, comes together with its head.
MAX_DROPPED_BYTES = 1 << 16
DROPPED_BODY_S = 0.1


class BoundedResponseHandler(SolicitedResponseHandler):
    """A connection that is closed if the framing of a body does not end.

    Heads are bounded by :mod:`.answer_syntax`.
    """

    def set_response_params(self, **parameters) -> None:
        """Begin a call; the library passes how to parse its answer."""
        self._framing_bytes = self._body_bytes = 0
        super().set_response_params(**parameters)

    def _receive(self, data: bytes) -> None:
        super()._receive(data)
        if self._parser is not None and self._body is not None:
            self._check_body(len(data))

    def _check_body(self, received: int) -> None:
        body = self._body
        if body.is_eof() or body.exception() is not None:
            return
        if body.total_raw_bytes > self._body_bytes:
            self._body_bytes = body.total_raw_bytes
            self._framing_bytes = 0
            return
        self._framing_bytes += received
        if self._framing_bytes > MAX_FRAMING_BYTES:
            body.set_exception(AnswerTooLong(MAX_FRAMING_BYTES))
            self.transport.abort()


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int, parts: list[bytes] | None = None
) -> bytes:
    """Return the complete body; raises :class:`AnswerTooLong` if it is too long.

    A read that was cancelled can be continued with the same ``parts``.
    """
    parts = [] if parts is None else parts
    left = max_bytes - sum(map(len, parts))
    async for part in response.content.iter_any():
        left -= len(part)
        if left < 0:
            response.close()
            raise AnswerTooLong(max_bytes)
        parts.append(part)
    return b"".join(parts)


async def ends_soon(response: aiohttp.ClientResponse) -> bool:
    """Read a body that is dropped; return whether it ends as one of its kind does.

    A body that is cut off has ended.
    """
    try:
        async with StallAwareTimeout(DROPPED_BODY_S):
            await read_bounded(response, MAX_DROPPED_BYTES)
    except (TimeoutError, AnswerTooLong):
        return False
    except (aiohttp.ClientError, OSError):
        return True
    return True
