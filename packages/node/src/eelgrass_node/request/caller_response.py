"""The answer to one caller: a whole reply, a stream, or a refusal of our own."""

import asyncio
import random

from aiohttp import web
from multidict import CIMultiDict

from ..exceptions import CallerGone
from .engine_call import Reply
from .incoming_request import ResponseHead

__all__ = ["CallerAnswer", "refusal_response"]

# Refused callers come back over a span this much longer than asked, so that
# they do not all come at one moment.
SPREAD = 0.3
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


def refusal_response(
    status: int, reason: str, retry_after_s: float | None = None
) -> web.Response:
    """Return a refusal of our own; ``retry_after_s`` says when to come back."""
    headers = {}
    if retry_after_s is not None:
        spread = retry_after_s * random.uniform(1.0, 1.0 + SPREAD)
        headers["Retry-After"] = f"{spread:.2f}"
    return web.Response(status=status, text=reason + "\n", headers=headers)


class CallerAnswer:
    """What one caller has been sent so far.

    ``closing`` asks the caller to open a new connection for its next request.
    """

    def __init__(self, request: web.BaseRequest, closing: bool) -> None:
        self._request = request
        self._closing = closing
        self._stream: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """Whether the head of a stream has been sent."""
        return self._stream is not None

    def whole(self, reply: Reply) -> web.StreamResponse:
        """Return a backend server's whole reply, unchanged."""
        headers = CIMultiDict(reply.head.headers)
        headers.pop("Content-Length", None)
        response = web.Response(
            status=reply.head.status, headers=headers, body=reply.body
        )
        return self._finished(response)

    def refusal(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> web.StreamResponse:
        """Return a refusal; a stream that has begun is broken off instead."""
        if self._stream is not None:
            return self.break_off()
        return self._finished(refusal_response(status, reason, retry_after_s))

    async def begin(self, head: ResponseHead) -> None:
        """Send the head of a stream; the head of a later run is not sent."""
        if self._stream is not None:
            return
        headers = CIMultiDict(head.headers)
        headers.pop("Content-Length", None)
        stream = web.StreamResponse(status=head.status, headers=headers)
        self._finished(stream)
        self._stream = stream
        await self._sent(stream.prepare(self._request))

    async def write(self, data: bytes) -> None:
        """Send bytes of a stream; raises :class:`CallerGone`."""
        if data:
            await self._sent(self._stream.write(data))

    async def end(self) -> web.StreamResponse:
        """End a stream as complete."""
        await self._sent(self._stream.write_eof())
        return self._stream

    def break_off(self) -> web.StreamResponse:
        """Close the connection, so that the stream does not look complete."""
        transport = self._request.transport
        if transport is not None:
            transport.close()
        raise CallerGone

    def nothing(self) -> web.StreamResponse:
        """Return what stands for the answer where nobody waits for it."""
        return self._stream or web.Response()

    async def _sent(self, sending) -> None:
        try:
            await sending
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            raise CallerGone from error

    def _finished(self, response: web.StreamResponse) -> web.StreamResponse:
        if self._closing:
            response.force_close()
        return response
