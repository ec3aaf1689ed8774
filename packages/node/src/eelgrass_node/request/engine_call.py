"""One call of a routed request to one backend server.

A failed call counts as not run only if no connection was established or the server
guarantees that it did not run the request. After any other failure the request may
have run, because bytes may have left the node.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from functools import partial

import aiohttp
import msgspec

from eelgrass_coordination import running_time, send_allowance_s

from ..connection.answer_bounds import MAX_BODY_BYTES, ends_soon
from ..connection.answer_head import has_length
from ..connection.backend import READ_BUFFER_BYTES
from ..connection.calls import CallPath, NamedAttempt
from ..connection.end_witness import WitnessLease
from ..exceptions import AnswerTooLong, CallFailed
from ..process.backends import Backend
from .answer_end import evidence_of_end
from .answer_wait import AnswerWait
from .client_errors import CONNECT_S, call_failure
from .incarnation_check import confirms_start
from .incoming_request import ResponseHead, RoutedRequest, WireCodec
from .reasons import RetryReason

__all__ = ["EngineCall", "Reply"]

HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421


class Reply(msgspec.Struct, frozen=True):
    """A complete response that the server signed."""

    head: ResponseHead
    body: bytes


class EngineCall:
    """A call in progress; :meth:`close` must be called whatever its outcome.

    ``head_timeout_s`` is how long the head of the response may take, in seconds, once
    the body has had time to be sent, and ``body_timeout_s`` the end of a complete
    body. After that ``wait`` decides whether the call is given up; without it, it is.
    The user of this class enforces the request's deadline, because its expiry says
    nothing about the server. ``on_sent`` is called when the request is sent.
    ``copy_from`` is the address of an engine that has the prompt prefix cached, and
    ``reserve`` reserves the memory for a complete body. ``may_reuse`` must be False if
    the request has been sent before, because both answers would name it.
    """

    def __init__(
        self,
        codec: WireCodec,
        routed: RoutedRequest,
        backend: Backend,
        inputs: tuple[str, ...],
        head_timeout_s: float,
        on_sent: Callable[[], None],
        copy_from: str | None = None,
        body_timeout_s: float = math.inf,
        wait: AnswerWait | None = None,
        reserve: Callable[[int], Awaitable[None]] | None = None,
        may_reuse: bool = True,
    ) -> None:
        self._codec = codec
        self._routed = routed
        self._backend = backend
        self._inputs = inputs
        self._wait = wait or AnswerWait(_always, lambda: None)
        self._head_timeout_s = head_timeout_s
        self._body_timeout_s = body_timeout_s
        self._on_sent = on_sent
        self._copy_from = copy_from
        self._reserve = reserve or _has_room
        self._reuse = may_reuse and routed.route.repeatable
        self._response: aiohttp.ClientResponse | None = None
        self._path = CallPath()
        # Keeps the server's connections open until close(), even if the server is
        # removed from the list of servers meanwhile.
        backend.connections.begin_call(self._on_path_lost)
        self._witness: WitnessLease | None = None

    async def open(self, last_event_id: str | None = None) -> ResponseHead:
        """Send the request and return the head of the signed response to it.

        Raises :class:`CallFailed` if there is none.
        """
        response = await self._send(last_event_id)
        self._response = response
        head = self._codec.decode_head(response.status, response.raw_headers)
        try:
            self._check_head(head)
        except CallFailed as failed:
            if await ends_soon(response):
                raise
            raise CallFailed(RetryReason.BAD_ANSWER, failed.not_run) from failed
        return head

    async def read(self) -> bytes:
        """Read the complete body.

        Raises :class:`CallFailed` if it is cut off, or is too long. One that does not
        end within the body timeout may be the server's trouble, if another server can
        be tried.
        """
        body = bytearray()
        left_s = self._body_timeout_s
        try:
            while True:
                # Outside of the wait, because it says nothing about the server.
                await self._reserve(self._bytes_to_reserve(len(body)))
                began_s = running_time()
                data = await self._wait.read(
                    self._response.content.readany, self._before_deadline(left_s)
                )
                left_s = max(0.0, left_s - (running_time() - began_s))
                if not data:
                    break
                body += data
                if len(body) > MAX_BODY_BYTES:
                    raise AnswerTooLong(MAX_BODY_BYTES)
        except TimeoutError as error:
            raise CallFailed(RetryReason.BAD_ANSWER, not_run=False) from error
        except (aiohttp.ClientError, OSError, AnswerTooLong) as error:
            raise call_failure(error) from error
        await self._reserve(len(body))
        await self._check_complete()
        return bytes(body)

    async def read_some(self, within_s: float) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Raises :class:`CallFailed` if it is cut off, or if it is given up after no data
        has arrived within ``within_s`` seconds.
        """
        try:
            data = await self._wait.read(
                self._response.content.readany, self._before_deadline(within_s)
            )
        except (aiohttp.ClientError, OSError, TimeoutError, AnswerTooLong) as error:
            raise call_failure(error) from error
        if not data:
            await self._check_complete()
        return data

    def close(self) -> None:
        """Return the connection to the pool; close it if unread data is left."""
        if self._response is not None:
            self._response.close()
        if self._witness is not None:
            self._witness.release()
        self._backend.connections.end_call(self._on_path_lost)

    async def _check_complete(self) -> None:
        """Raise :class:`CallFailed` if a body without a length may have been cut off.

        Such a body ends when its connection is closed.
        """
        if has_length(self._response):
            return
        evidence = await evidence_of_end(
            self._codec, self._routed, self._backend, self._path, self._witness
        )
        if not evidence.is_complete:
            raise CallFailed(RetryReason.CONNECTION_LOST, not_run=False)

    def _bytes_to_reserve(self, received: int) -> int:
        """Return what a complete body needs before more of it is read.

        One of known length is reserved whole, because calls that each had a part would
        wait for each other.
        """
        length = self._response.content_length
        if length is None:
            length = max(READ_BUFFER_BYTES, 2 * received)
        return max(received, min(MAX_BODY_BYTES, length))

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
            attempt=NamedAttempt(incoming.request_id),
            reuse=self._reuse,
            on_sent=self._on_request_sent,
            path=self._path,
        )
        timeout_s = self._head_timeout_s + send_allowance_s(len(incoming.body))
        sending = asyncio.ensure_future(self._receive_head(context))
        response = None
        try:
            response = await self._wait.read(
                lambda: asyncio.shield(sending), self._before_deadline(timeout_s)
            )
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise call_failure(error) from error
        finally:
            if response is None:
                await _discard(sending)
        return response

    async def _receive_head(
        self, context: Awaitable[aiohttp.ClientResponse]
    ) -> aiohttp.ClientResponse:
        """Return the response; without a length, watch for the end of its server."""
        response = await context
        self._backend.connections.track(response)
        if not has_length(response):
            self._hold_witness()
        return response

    def _hold_witness(self) -> None:
        """Keep a witness for the answer, if the one since the request has ended."""
        if self._witness is not None:
            if self._witness.is_open:
                return
            self._witness.release()
        self._witness = self._backend.connections.hold_witness(
            self._path, partial(confirms_start, self._codec, self._backend)
        )

    def _on_request_sent(self) -> None:
        self._witness = self._backend.connections.hold_open_witness(self._path)
        self._on_sent()

    def _on_path_lost(self) -> None:
        if self._path.is_direct:
            self._wait.on_path_lost()

    def _check_head(self, head: ResponseHead) -> None:
        if head.not_run:
            raise CallFailed(_refusal_reason(head), not_run=True)
        if head.request_id is None:
            # Servers state the id in all answers but refusals.
            raise CallFailed(RetryReason.BAD_ANSWER, not_run=False)
        if not head.signed or "Content-Encoding" in head.headers:
            raise CallFailed(RetryReason.BAD_ANSWER, not_run=False)

    def _before_deadline(self, timeout_s: float) -> float | None:
        """Return ``timeout_s``, or None if the deadline comes first."""
        return timeout_s if timeout_s < self._remaining() else None

    def _remaining(self) -> float:
        now = asyncio.get_running_loop().time()
        return max(0.001, self._routed.deadline - now)


async def _always() -> bool:
    return True


async def _has_room(size: int) -> None:
    return


async def _discard(sending: asyncio.Future[aiohttp.ClientResponse]) -> None:
    """Cancel a call, and close its response if it has arrived meanwhile."""
    sending.cancel()
    [result] = await asyncio.gather(sending, return_exceptions=True)
    if isinstance(result, aiohttp.ClientResponse):
        result.close()


def _refusal_reason(head: ResponseHead) -> RetryReason:
    if head.status == HTTP_MISDIRECTED:
        return RetryReason.BACKEND_REPLACED
    if head.status == HTTP_CONFLICT:
        return RetryReason.INPUT_GONE
    return RetryReason.BACKEND_OVERLOADED
