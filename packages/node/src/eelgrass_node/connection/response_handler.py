"""Client connections that receive nothing but responses, while a call awaits one.

Bytes that arrive before a request is sent, or after its response has ended, belong to
no call. The connection is aborted then: what was read of it would be kept without a
bound, and could be taken for the response to the next call. So is one whose response is
malformed.

A response without a length ends with its connection. If the server closes it while the
request is still on its way, the end is known only once the rest of the request is
delivered: a server that answers early reads on, one in trouble resets the connection.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from aiohttp import ClientPayloadError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage

from ..exceptions import AnswerMalformed
from ..log import Part, log
from .answer_syntax import MAX_HEAD_BYTES, ChunkParser, HeadParser, ParsedHead
from .piecewise_payload import UnsentBytes
from .socket_state import has_failed, is_socket_readable, unacknowledged_bytes

__all__ = [
    "ConnectionEnd",
    "SolicitedResponseHandler",
    "is_readable",
    "log_malformed",
]

# Most that one call of the event loop reads from a connection.
READ_BYTES = 1 << 14
# A sound server may be silent for a second or so.
DELIVERY_POLL_S = 0.02
MAX_POLLS_WITHOUT_PROGRESS = 75
# Heads are bounded before the library's parser gets them.
PARSER_LIMITS = {
    "max_line_size": MAX_HEAD_BYTES,
    "max_field_size": MAX_HEAD_BYTES,
    "max_headers": MAX_HEAD_BYTES,
}


class ConnectionEnd(Enum):
    """How a connection has ended."""

    OPEN = "open"
    BY_PEER = "closed by the peer"
    BY_NODE = "closed by this node"
    LOST = "reset or timed out"


class SolicitedResponseHandler(ResponseHandler):
    """A connection that is aborted at the first byte that belongs to no call.

    Bytes behind a response are kept from the parser, so that a response that is
    complete reaches its caller whatever follows it. The parser gets a head once it is
    complete and sound, and a malformed body ends as if it was cut off.

    ``is_new`` is True until a call gets the connection, and ``calls`` the number of
    calls that it has carried. ``unsent`` counts the bytes of the request's body that
    have not left. ``end`` is how the connection has ended, and ``ended_at`` when, in
    seconds of the event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_new = True
        self.calls = 0
        self.end = ConnectionEnd.OPEN
        self.ended_at = float("inf")
        self.unsent = UnsentBytes()
        self._has_peer_closed = False
        self._is_cut = False
        self._end_callbacks: list[Callable[[], None]] = []
        self._awaits_response = False
        self._begin_response()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what one read takes; the transport has no public option for it."""
        transport.max_size = READ_BYTES
        super().connection_made(transport)

    def set_response_params(self, **parameters) -> None:
        """Begin a call; the library passes how to parse its response."""
        self.calls += 1
        self._awaits_response = True
        self._begin_response()
        super().set_response_params(**parameters | PARSER_LIMITS)

    def data_received(self, data: bytes) -> None:
        """Pass on bytes of the server; empty if the library resumes the parser."""
        while self._awaits_response:
            is_head = self._body is None
            try:
                piece, rest = self._next_piece(data)
            except AnswerMalformed as error:
                self._reject(error)
                return
            if is_head and not piece:
                return
            if data and not piece:
                # The parser is paused within the body, and these bytes are behind it.
                self.force_close()
                return
            self._receive(piece)
            error = self.exception()
            if isinstance(error, HttpProcessingError):
                # The library refuses what answer_syntax accepts.
                self._reject(AnswerMalformed(repr(error)))
            if error is not None:
                return
            data = rest
            self._awaits_response = not self._is_complete()
            if not data:
                return
        if data:
            self._abort_unsolicited(len(data))

    def abort(self) -> None:
        """Close the connection at once."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def retire(self) -> None:
        """Close the connection once the response that it receives is complete."""
        self.force_close()
        if not self._awaits_response:
            # The library may have put it back into its pool.
            self.close()

    def on_end(self, callback: Callable[[], None]) -> None:
        """Call back once the connection has ended, at once if it has."""
        if self.end is ConnectionEnd.OPEN:
            self._end_callbacks.append(callback)
        else:
            callback()

    def eof_received(self) -> bool:
        """Note that the peer has closed the connection regularly.

        Returns whether the connection stays open until the request is delivered.
        """
        self._has_peer_closed = True
        super().eof_received()
        if not self._ends_with_connection() or not self._undelivered_bytes():
            return False
        self._await_delivery(0, MAX_POLLS_WITHOUT_PROGRESS)
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ends, before readers of the body learn of it."""
        self.ended_at = self._loop.time()
        if exc is not None or self._is_cut:
            self.end = ConnectionEnd.LOST
        elif self._has_peer_closed:
            self.end = ConnectionEnd.BY_PEER
        else:
            self.end = ConnectionEnd.BY_NODE
        for callback in self._end_callbacks:
            callback()
        super().connection_lost(exc)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Pass on the head of a response, and the reader of its body."""
        _, body = data
        if self._head is not None and self._head.is_final:
            self._body = body
            self._body_bytes_left = self._head.length
            self._chunks = ChunkParser() if self._head.is_chunked else None
        super().feed_data(data, size)

    def _receive(self, data: bytes) -> None:
        """Parse bytes that belong to the call."""
        super().data_received(data)

    def _begin_response(self) -> None:
        self._heads = HeadParser()
        self._head: ParsedHead | None = None
        self._body: StreamReader | None = None
        self._body_bytes_left: int | None = None
        self._chunks: ChunkParser | None = None

    def _next_piece(self, data: bytes) -> tuple[bytes, bytes]:
        """Return what to parse before looking at the rest, and the rest.

        The first is empty if a head is not complete yet, or the body has ended.
        """
        if self._body is None:
            self._head, rest = self._heads.feed(data)
            return b"" if self._head is None else self._head.data, rest
        cut = len(data)
        if self._chunks is not None:
            cut = self._chunks.feed(data)
        elif self._body_bytes_left is not None:
            cut = min(cut, self._body_bytes_left)
            self._body_bytes_left -= cut
        return data[:cut], data[cut:]

    def _ends_with_connection(self) -> bool:
        """Return whether the response that is received has no other end."""
        has_length = self._chunks is not None or self._body_bytes_left is not None
        return self._awaits_response and self._body is not None and not has_length

    def _undelivered_bytes(self) -> int:
        """Return how many bytes of the request the peer has not acknowledged."""
        transport = self.transport
        opened = transport.get_extra_info("socket")
        buffered = transport.get_write_buffer_size()
        return self.unsent.count + buffered + unacknowledged_bytes(opened)

    def _await_delivery(self, before: int, polls_left: int) -> None:
        """Close the connection once the request is delivered, or cannot be.

        ``before`` is how many bytes were undelivered at the last poll.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        undelivered = self._undelivered_bytes()
        if undelivered != before:
            polls_left = MAX_POLLS_WITHOUT_PROGRESS
        if has_failed(transport.get_extra_info("socket")) or not polls_left:
            self._is_cut = True
            transport.abort()
        elif not undelivered:
            transport.close()
        else:
            self._loop.call_later(
                DELIVERY_POLL_S, self._await_delivery, undelivered, polls_left - 1
            )

    def _peer(self) -> str:
        transport = self.transport
        return str(transport and transport.get_extra_info("peername"))

    def _is_complete(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def _reject(self, error: AnswerMalformed) -> None:
        """End the call whose answer is malformed, and the connection."""
        log_malformed(self._peer(), error)
        self._awaits_response = False
        if self._body is None:
            self.set_exception(HttpProcessingError(code=502, message=str(error)), error)
        else:
            self._body.set_exception(ClientPayloadError(str(error)), error)
        self.abort()

    def _abort_unsolicited(self, count: int) -> None:
        transport = self.transport
        if transport is None:
            return
        log(
            Part.HOSTS,
            "Bytes that belong to no call arrived; closing the connection.",
            peer=self._peer(),
            bytes=count,
        )
        self.abort()


def log_malformed(peer: str, error: AnswerMalformed) -> None:
    """Log that the answer of ``peer``, an address, is malformed."""
    log(
        Part.HOSTS,
        "A peer's answer is malformed; closing its connection.",
        peer=peer,
        error=str(error),
    )


def is_readable(handler: ResponseHandler) -> bool:
    """Return whether bytes, or the end of the connection, have arrived unread."""
    return is_socket_readable(
        handler.transport and handler.transport.get_extra_info("socket")
    )
