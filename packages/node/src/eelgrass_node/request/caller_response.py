"""The response to one caller: a complete reply, a stream or a refusal by the node."""

import asyncio
import random

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from ..connection.sockets import set_reset_on_close
from ..exceptions import CallerGone
from .engine_call import Reply
from .incoming_request import ResponseHead

__all__ = ["CallerResponse", "refusal_response"]

# Retry-After is lengthened at random by up to this fraction, so that refused callers do
# not all retry at the same moment.
SPREAD = 0.3
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


def refusal_response(
    status: int, reason: str, retry_after_s: float | None = None
) -> web.Response:
    """Return a refusal by the node; ``retry_after_s`` sets the Retry-After header."""
    headers = {}
    if retry_after_s is not None:
        spread = retry_after_s * random.uniform(1.0, 1.0 + SPREAD)
        headers["Retry-After"] = f"{spread:.2f}"
    return web.Response(status=status, text=reason + "\n", headers=headers)


class CallerResponse:
    """Sends the response to one caller and tracks what has been sent.

    ``closing`` asks the caller to open a new connection for its next request.
    ``may_have_run`` is set once the request may be sent to a server, and ``resumable``
    if its route says that another server may continue its stream.
    """

    def __init__(self, request: web.BaseRequest, closing: bool) -> None:
        self._request = request
        self._closing = closing
        self.may_have_run = False
        self.resumable = False
        self.kept: Reply | None = None
        self._stream: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the head of a stream has been sent."""
        return self._stream is not None

    @property
    def can_be_resumed(self) -> bool:
        """Whether a stream has begun that its caller may resume at another node."""
        return self.has_begun and self.resumable

    def complete(self, reply: Reply) -> web.StreamResponse:
        """Return a backend server's complete reply, unchanged."""
        headers = CIMultiDict(reply.head.headers)
        headers.pop("Content-Length", None)
        response = web.Response(
            status=reply.head.status, headers=headers, body=reply.body
        )
        return self._apply_closing(response)

    def refusal(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> web.StreamResponse:
        """Return a refusal; a stream that has begun is aborted instead."""
        if self._stream is not None:
            return self.abort()
        return self._apply_closing(refusal_response(status, reason, retry_after_s))

    async def reserve(self, size: int) -> None:
        """Reserve memory for a complete reply, once there is room."""
        kept = 0 if self.kept is None else len(self.kept.body)
        await self._request.protocol.answer.wait_resize(kept + size)

    def keep(self, reply: Reply) -> None:
        """Keep a reply that is sent unless a later one is better."""
        self.kept = reply

    def reserve_stream(self) -> None:
        """Reserve memory for a stream; raises :class:`MemoryExhausted` without room."""
        self._request.protocol.reserve_stream()

    async def begin(self, head: ResponseHead) -> None:
        """Send the head of a stream, unless an earlier attempt has already sent one."""
        if self._stream is not None:
            return
        headers = CIMultiDict(head.headers)
        headers.pop("Content-Length", None)
        stream = web.StreamResponse(status=head.status, headers=headers)
        self._apply_closing(stream)
        self._stream = stream
        self._set_reset_on_close(True)
        await self._send(stream.prepare(self._request))

    async def write(self, data: bytes) -> None:
        """Send bytes of a stream; raises :class:`CallerGone`."""
        if data:
            await self._send(self._stream.write(data))

    def end(self) -> web.StreamResponse:
        """Return the complete stream; the HTTP server writes its end.

        So the limits of the request do not apply to bytes that its caller has not read.
        """
        self._set_reset_on_close(False)
        return self._stream

    def abort(self) -> web.StreamResponse:
        """Close the connection, so that the caller sees an incomplete stream."""
        transport = self._request.transport
        if transport is not None:
            transport.close()
        raise CallerGone

    def no_response(self) -> web.StreamResponse:
        """Return a response object for a caller that has left."""
        return self._stream or web.Response()

    async def _send(self, sending) -> None:
        try:
            await sending
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            raise CallerGone from error

    def _set_reset_on_close(self, is_reset: bool) -> None:
        """Have a stream to a caller of HTTP/1.0 reset unless it ends as complete.

        It has no chunks, so that a regular close would be its end.
        """
        transport = self._request.transport
        if self._request.version < HttpVersion11 and transport is not None:
            set_reset_on_close(transport.get_extra_info("socket"), is_reset)

    def _apply_closing(self, response: web.StreamResponse) -> web.StreamResponse:
        # Requests behind an answer that announces the close would not be answered.
        if self._closing and not self._request.protocol.has_waiting_requests:
            response.force_close()
        return response
