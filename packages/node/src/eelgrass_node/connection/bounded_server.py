"""An HTTP server whose connections hold no more than their budgets allow.

What arrives is reserved before it is kept, for as long as the request that it belongs
to is served, and what an answer needs until it has left. Without room, a request whose
body is still arriving is refused as not run, other input is not read any further, and
an answer that is not read is broken off.
"""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

from ..exceptions import MemoryExhausted
from ..process.memory_budget import (
    LARGE_BYTES,
    NO_ROOM_RETRY_S,
    ConnectionBudgets,
    PeerActivity,
    Reservation,
)
from .input_meter import InputMeter, head_bytes, waiting_bytes
from .piecewise_payload import PIECE_BYTES, PiecewisePayload
from .sockets import BUFFER_BYTES

__all__ = ["BoundedConnection", "BoundedServer"]

# Most that one call of the event loop reads from a connection.
READ_BYTES = 1 << 16
# High-water mark of pipelined requests: reading pauses once so much has arrived behind
# the request that is being served.
PIPELINED_BYTES = 1 << 16
# Most of a header, or of other bytes that are no request yet.
MAX_UNPARSED_BYTES = 1 << 17
# What the kernel may hold for a connection that is not read; Linux doubles the size.
KERNEL_BYTES = 2 * BUFFER_BYTES
# Objects of a request that is being served.
SERVED_REQUEST_BYTES = 16_384
# Bytes of a refused request are read and dropped for this long, as closing a connection
# with unread bytes would discard the refusal.
LINGER_S = 2.0
# Most that is buffered of a body that no handler reads.
UNREAD_BODY_BYTES = 3 * READ_BYTES
# What a stream may hold, in this process and in the kernel, between a server and its
# caller: before it is known whether the caller reads, and while it does not.
STREAM_BYTES = LARGE_BYTES
STALLED_STREAM_BYTES = 1 << 18
NO_ROOM_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Retry-After: %g\r\nConnection: close\r\n\r\n" % NO_ROOM_RETRY_S
)
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class BoundedConnection(RequestHandler):
    """A connection that reserves what it holds; ``activity`` is that of its peer."""

    def __init__(
        self,
        server: web.Server,
        budgets: ConnectionBudgets,
        count: Callable[[str], None],
        **options,
    ) -> None:
        super().__init__(
            server, read_bufsize=READ_BYTES, lingering_time=LINGER_S, **options
        )
        self._count = count
        self.activity = PeerActivity(budgets.clock, self._on_evicted)
        self._slot = budgets.connections.open(self.activity)
        self._input = budgets.requests.open(self.activity)
        self.answer: Reservation = budgets.answers.open(self.activity)
        # The body of the request that is being served, None between two requests.
        self._body: StreamReader | None = None
        self._served_head_bytes = 0
        # What it takes besides its head and body.
        self._decoded_bytes = 0
        # Whether its answer is sent and complete, so that its body is not needed.
        self._is_answering = False
        # Whether its answer is a stream, which comes from a server as it is read.
        self._is_streaming = False
        # What the peer had not read of an answer when writing paused.
        self._unread_bytes = 0
        self._meter = InputMeter()
        self._parsed_requests = 0
        self._is_pipeline_full = False
        # Whether nothing more is read, because there was no room for it.
        self._is_input_ended = False
        # Set while a refused connection lingers until its peer has closed it.
        self._lost: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, or close the connection unread if there is no room for it."""
        if not self._slot.resize(1):
            self._count("connection.no-room")
            transport.abort()
            return
        # Bounds what one read takes; the transport has no public option for it.
        transport.max_size = READ_BYTES
        # Lets the end of an answer wait until the kernel has all of it.
        transport.set_write_buffer_limits(high=0)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back all that the connection holds."""
        for reservation in (self._slot, self._input, self.answer):
            reservation.release()
        if self._lost is not None and not self._lost.done():
            self._lost.set_result(None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes if there is room for them; empty if the parser resumes."""
        if self._is_input_ended:
            return
        self.activity.record(len(data))
        if data and not self._input.resize(self._input.amount + len(data)):
            self._end_input()
            return
        super().data_received(data)
        count = self._request_count - self._parsed_requests
        self._parsed_requests = self._request_count
        self._meter.record(len(data), list(self._messages)[-count:] if count else [])
        if self._meter.unparsed_bytes > MAX_UNPARSED_BYTES:
            self._end_input(TOO_LARGE_RESPONSE)
            return
        self._pause_pipelining()
        self._update()

    def begin_request(self, message, body: StreamReader) -> None:
        """Record that a request with this head and body is being served."""
        self._body = body
        self._served_head_bytes = head_bytes(message)
        self._resume_pipelining()
        self._update()

    @property
    def has_waiting_requests(self) -> bool:
        """Whether more requests have arrived behind the one that is being served."""
        return bool(self._messages)

    def reserve_decoded(self, size: int) -> None:
        """Reserve what the request that is being served takes besides its bytes.

        Raises :class:`MemoryExhausted` without room.
        """
        held = self._input.amount - self._decoded_bytes + size
        if not self._input.resize(held):
            raise MemoryExhausted
        self._decoded_bytes = size

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the body of the request that is being served.

        Raises :class:`HTTPRequestEntityTooLarge` as soon as it is too long, and
        :class:`MemoryExhausted` if there is no room for the rest.
        """
        body = bytearray()
        while data := await self._body.readany():
            body += data
            if len(body) > max_bytes:
                raise web.HTTPRequestEntityTooLarge(max_bytes, len(body))
        return bytes(body)

    def reserve_stream(self) -> None:
        """Reserve what a stream may hold; raises :class:`MemoryExhausted`."""
        if not self.answer.resize(STREAM_BYTES):
            raise MemoryExhausted
        self._is_streaming = True

    def pause_writing(self) -> None:
        """Reserve what the peer does not read; without room, break the answer off."""
        super().pause_writing()
        self._unread_bytes = self.transport.get_write_buffer_size()
        needed = STALLED_STREAM_BYTES if self._is_streaming else self._unread_bytes
        self._update()
        if not self.answer.resize(max(self.answer.amount, needed)):
            self._abort()

    def resume_writing(self) -> None:
        """Record that the peer has read on."""
        self.activity.record(self._unread_bytes)
        self._unread_bytes = 0
        if self._is_streaming:
            self.answer.resize(STREAM_BYTES)
        super().resume_writing()
        self._update()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response; the peer is the one that is waited for meanwhile."""
        if isinstance(resp, web.Response) and isinstance(resp.body, bytes):
            self._reserve_answer(resp)
        self._is_answering = True
        self._update()
        try:
            result = await super().finish_response(request, resp, start_time)
            if self._is_input_ended and not self._meter.last_body.is_eof():
                await self._linger()
            return result
        finally:
            self.answer.resize(0)
            self._body = None
            self._decoded_bytes = 0
            self._is_answering = self._is_streaming = False
            if self._is_input_ended and not self._messages:
                self.close()
            self._resume_pipelining()
            self._update()

    def _reserve_answer(self, response: web.Response) -> None:
        """Reserve a body, which is sent in pieces; without room, break the answer off.

        That of a backend server is reserved already.
        """
        size = len(response.body)
        if size <= PIECE_BYTES:
            return
        if size > self.answer.amount and not self.answer.resize(size):
            self._abort()
            return
        response.body = PiecewisePayload(response.body, self.activity.record)

    def _update(self) -> None:
        """Reserve what is held now, and note whose turn it is."""
        held = 2 * self._meter.unparsed_bytes
        held += sum(waiting_bytes(*waiting) for waiting in self._messages)
        if self._body is not None:
            held += SERVED_REQUEST_BYTES + 4 * self._served_head_bytes
            held += self._decoded_bytes
            body_bytes = self._body.total_bytes
            if self._is_answering:
                body_bytes = min(body_bytes, UNREAD_BODY_BYTES)
            held += body_bytes
        self.activity.set_awaited(self._is_peers_turn())
        if self._is_pipeline_full:
            held += KERNEL_BYTES
        if not self._input.resize(held):
            self._end_input()

    def _is_peers_turn(self) -> bool:
        if self._is_answering or self.writing_paused:
            return True
        if self._body is None:
            return not self._messages
        return not self._body.is_eof()

    def _pause_pipelining(self) -> None:
        """Stop reading while much has arrived behind a request that is being served."""
        if self._body is None or not self._body.is_eof():
            return
        if self._pipelined_bytes() >= PIPELINED_BYTES:
            self._is_pipeline_full = True
            self._pause_transport_reading()

    def _resume_pipelining(self) -> None:
        if self._is_pipeline_full and self._pipelined_bytes() < PIPELINED_BYTES:
            self._is_pipeline_full = False
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _pipelined_bytes(self) -> int:
        """Return how much has arrived behind the request that is being served."""
        waiting = (body.total_bytes + head_bytes(m) for m, body in self._messages)
        return sum(waiting) + self._meter.unparsed_bytes

    def _resume_transport_reading(self) -> None:
        """Read on, unless the pipeline is full."""
        if not self._is_pipeline_full:
            super()._resume_transport_reading()

    def _on_evicted(self) -> None:
        """Give up what is held for the peer.

        A connection that has to make room for another one is closed at once, without
        the time in which its peer could read a refusal.
        """
        is_body_arriving = self._body is not None and not self._body.is_eof()
        is_head_arriving = self._body is None and self._meter.unparsed_bytes > 0
        is_sending = self._is_answering or self.writing_paused
        if is_sending or self._is_input_ended or self._slot.is_released:
            self._abort()
        elif is_body_arriving or is_head_arriving:
            self._end_input()
        else:
            self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _end_input(self, response: bytes = NO_ROOM_RESPONSE) -> None:
        """Read nothing more; requests that have arrived whole are still answered.

        One whose body is arriving is refused, by its handler if there is one.
        """
        if self._is_input_ended:
            return
        self._is_input_ended = True
        self._meter.unparsed_bytes = 0
        last_body = self._meter.last_body
        is_body_arriving = not last_body.is_eof()
        if is_body_arriving:
            last_body.set_exception(MemoryExhausted())
            is_waiting = self._messages and self._messages[-1][1] is last_body
            if is_waiting and (self._body is not None or len(self._messages) > 1):
                self._messages.pop()
        if self._body is not None or self._messages:
            self._resume_pipelining()
        elif is_body_arriving:
            # Its request has been answered.
            self._abort()
        elif self.transport is not None:
            self.transport.write(response)
            self.force_close()

    async def _linger(self) -> None:
        """Let the peer read a refusal before the connection is closed."""
        if self.transport is None or not self.transport.can_write_eof():
            return
        self.transport.write_eof()
        self._lost = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._lost}, timeout=LINGER_S)
        self.force_close()


class BoundedServer(web.Server):
    """Serves requests with ``handler`` on connections within ``budgets``.

    New connections that there is no room for are closed unread; ``count`` counts them.
    ``options`` are passed to the connections, which ``connection`` opens.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        budgets: ConnectionBudgets,
        count: Callable[[str], None],
        request_factory: Callable[..., web.BaseRequest],
        connection: Callable[..., BoundedConnection] = BoundedConnection,
        handler_cancellation: bool = False,
        **options,
    ) -> None:
        super().__init__(
            _refusing_without_room(handler),
            request_factory=_recording(request_factory),
            handler_cancellation=handler_cancellation,
        )
        self._budgets = budgets
        self._count = count
        self._connection = connection
        self._options = options

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol for a new connection."""
        return self._connection(
            self,
            self._budgets,
            self._count,
            loop=asyncio.get_running_loop(),
            access_log=None,
            **self._options,
        )


def _refusing_without_room(handler):
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await handler(request)
        except MemoryExhausted as error:
            refusal = web.Response(status=503, text=f"{error}\n")
            refusal.headers["Retry-After"] = f"{NO_ROOM_RETRY_S:g}"
            refusal.force_close()
            return refusal

    return handle


def _recording(request_factory):
    def build(message, payload, protocol, writer, task) -> web.BaseRequest:
        protocol.begin_request(message, payload)
        return request_factory(message, payload, protocol, writer, task)

    return build
