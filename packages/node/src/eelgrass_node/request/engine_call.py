"""One call of a routed request to one backend server, and what became of it.

A call that fails surely did not run only where no connection came about, or
where the server promises so. Whatever else fails, once bytes may have left the
node, may have run.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from eelgrass_coordination import StallAwareTimeout, send_allowance_s

from ..exceptions import CallFailed
from ..process.backends import Backend
from .incoming_request import ResponseHead, RoutedRequest, WireCodec
from .reasons import RetryReason

__all__ = ["EngineCall", "Reply", "failure_of"]

# A connection comes about in a few milliseconds, or its first packet was lost
# and is sent again after a second.
CONNECT_S = 0.3
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421


class Reply(msgspec.Struct, frozen=True):
    """A whole answer that the server gave and signed."""

    head: ResponseHead
    body: bytes


class EngineCall:
    """A call under way; leave it with :meth:`close` whatever happened.

    ``silence_s`` bounds the wait for the head of the answer, in seconds, once the
    body has had time to go out. The deadline of the request is left to its caller:
    that it passes says nothing about the server. ``on_sent`` is told when the
    request goes out. ``copy_from`` is the address of an engine that holds shared
    parts of the prompt.
    """

    def __init__(
        self,
        codec: WireCodec,
        routed: RoutedRequest,
        backend: Backend,
        inputs: tuple[str, ...],
        silence_s: float,
        on_sent: Callable[[], None],
        copy_from: str | None = None,
    ) -> None:
        self._codec = codec
        self._routed = routed
        self._backend = backend
        self._inputs = inputs
        self._silence_s = silence_s
        self._on_sent = on_sent
        self._copy_from = copy_from
        self._response: aiohttp.ClientResponse | None = None
        # From here to close() its connections are not closed under the call,
        # also where the server is taken off the list meanwhile.
        backend.connections.enter()
        self._closed: asyncio.Future | None = None

    async def open(self, last_event_id: str | None = None) -> ResponseHead:
        """Send the request and return the head of a signed answer to it.

        Raises :class:`CallFailed` where there is none.
        """
        response = await self._send(last_event_id)
        self._response = response
        self._backend.connections.track(response)
        if response.connection is not None and response.connection.protocol is not None:
            self._closed = response.connection.protocol.closed
        head = self._codec.decode_head(response.status, response.raw_headers)
        self._check(head)
        return head

    async def read(self) -> bytes:
        """Read the whole body; raises :class:`CallFailed` where it breaks off."""
        try:
            body = await self._response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise failure_of(error) from error
        self.check_whole()
        return body

    async def read_some(self, within_s: float) -> bytes:
        """Return the next bytes of the body, none at its end.

        Raises :class:`CallFailed` where it breaks off or falls silent.
        """
        try:
            async with StallAwareTimeout(self._before_deadline(within_s)):
                data = await self._response.content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise failure_of(error) from error
        if not data:
            self.check_whole()
        return data

    def check_whole(self) -> None:
        """Raise :class:`CallFailed` where the end of the body was a reset.

        A body without a length ends with its connection. The client library
        takes every end for a good one there.
        """
        if self._has_length():
            return
        if self._backend.connections.aborted or self._was_reset():
            raise CallFailed(RetryReason.CONNECTION_LOST, not_run=False)

    def close(self) -> None:
        """Give the connection back, or close it where the answer is not read."""
        if self._closed is not None and self._closed.done():
            # Its error was looked at where it matters.
            self._closed.exception()
        if self._response is not None:
            self._response.close()
        self._backend.connections.leave()

    async def _send(self, last_event_id: str | None) -> aiohttp.ClientResponse:
        routed = self._routed
        remaining_s = self._remaining()
        headers = self._codec.encode_request(
            routed,
            self._backend.entry.id,
            remaining_s,
            self._inputs,
            last_event_id,
            self._copy_from,
        )
        incoming = routed.incoming
        context = self._backend.connections.request(
            incoming.method,
            incoming.target,
            headers,
            incoming.body,
            connect_s=min(CONNECT_S, remaining_s),
            reuse=routed.route.repeatable,
            on_sent=self._on_sent,
        )
        bound_s = self._silence_s + send_allowance_s(len(incoming.body))
        try:
            async with StallAwareTimeout(self._before_deadline(bound_s)):
                return await context
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise failure_of(error) from error

    def _check(self, head: ResponseHead) -> None:
        if head.request_id is None and head.not_run:
            raise CallFailed(_refusal_reason(head), not_run=True)
        if head.request_id != self._routed.incoming.request_id:
            raise CallFailed(RetryReason.WRONG_ATTEMPT, not_run=False)
        if head.not_run:
            raise CallFailed(_refusal_reason(head), not_run=True)
        if not head.signed or "Content-Encoding" in head.headers:
            raise CallFailed(RetryReason.BAD_ANSWER, not_run=False)

    def _was_reset(self) -> bool:
        closed = self._closed
        if closed is None or not closed.done() or closed.cancelled():
            return False
        return closed.exception() is not None

    def _has_length(self) -> bool:
        headers = self._response.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    def _before_deadline(self, bound_s: float) -> float | None:
        """Return a bound, or None where the deadline comes first."""
        return bound_s if bound_s < self._remaining() else None

    def _remaining(self) -> float:
        now = asyncio.get_running_loop().time()
        return max(0.001, self._routed.deadline - now)


def failure_of(error: Exception) -> CallFailed:
    """Return what a failure of the client library says about a call."""
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return CallFailed(RetryReason.CONNECT_SILENT, not_run=True)
    if isinstance(error, aiohttp.ClientConnectorError):
        return CallFailed(RetryReason.CONNECT_FAILED, not_run=True)
    if isinstance(error, TimeoutError):
        return CallFailed(RetryReason.CONNECTION_SILENT, not_run=False)
    if isinstance(error, (aiohttp.ClientResponseError, ValueError)):
        return CallFailed(RetryReason.BAD_ANSWER, not_run=False)
    return CallFailed(RetryReason.CONNECTION_LOST, not_run=False)


def _refusal_reason(head: ResponseHead) -> RetryReason:
    if head.status == HTTP_MISDIRECTED:
        return RetryReason.BACKEND_REPLACED
    if head.status == HTTP_CONFLICT:
        return RetryReason.INPUT_GONE
    return RetryReason.BACKEND_OVERLOADED
