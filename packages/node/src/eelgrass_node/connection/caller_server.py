"""The HTTP server for callers, with bounds on request sizes and header times.

The library limits the idle time between two requests of a connection, but not the time
that a caller takes for the header of its first request. Without a timeout for it,
stalled callers would use up file descriptors, of which a host has four thousand.

A connection that the host could not serve in time is closed before anything is read
from it, so that its caller can try another host at once.

A caller may end its own direction after its requests and still wait for the answers. It
looks like one that has left, so its requests get a short grace period.

A request is in flight until its answer has left the process. Callers may read slowly,
and what the process still holds is lost when it ends.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext

from aiohttp import StreamReader, web

from ..process.memory_budget import ConnectionBudgets
from .bounded_server import BoundedConnection, BoundedServer

__all__ = ["CallerServer"]

# Callers reuse connections after long idle times. Closing one just as a request arrives
# loses that request; keeping an idle one costs only a little memory.
CALLER_IDLE_S = 75.0
# Longest header line and field that the parser accepts; well over the operator's limits
# of 16 KiB, which are checked later.
MAX_LINE_BYTES = 32_768
# Bytes that have arrived when the header timeout expires are still read in this time:
# after a suspension of the host both happen at once.
PENDING_READ_S = 0.5
# Requests of a caller that has ended its direction are answered within this time. If it
# has left, servers must stop their work for it within half a second.
HALF_CLOSE_GRACE_S = 0.2
# Sent to a caller whose first request header was not complete in time. The request has
# not run.
TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class _CallerConnection(BoundedConnection):
    """A connection whose first header must be complete in ``header_timeout_s``."""

    def __init__(
        self,
        server: web.Server,
        budgets: ConnectionBudgets,
        count: Callable[[str], None],
        header_timeout_s: Callable[[], float],
        in_flight: Callable[[], AbstractContextManager[None]],
        **options,
    ) -> None:
        super().__init__(server, budgets, count, **options)
        self._header_timeout_s = header_timeout_s()
        self._in_flight = in_flight
        self._header_timer: asyncio.TimerHandle | None = None
        self._header_done = False
        self._on_half_close: Callable[[float], None] | None = None
        # The time, on the event loop's clock, by which requests must be answered; None
        # until the caller ends its direction.
        self.answer_by: float | None = None

    def data_received(self, data: bytes) -> None:
        """Process received bytes; the first ones start the header timeout."""
        if not self._header_done and self._header_timer is None:
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(
                self._header_timeout_s, self._allow_pending_reads
            )
        super().data_received(data)

    def eof_received(self) -> bool:
        """Keep the connection open if there are whole requests to be answered."""
        if self.answer_by is not None:
            return True
        if not self._keep_whole_requests():
            return False
        self._count("caller.half-closed")
        loop = asyncio.get_running_loop()
        self.answer_by = loop.time() + HALF_CLOSE_GRACE_S
        if self._on_half_close is not None:
            self._on_half_close(self.answer_by)
        return True

    @contextmanager
    def calling_on_half_close(self, callback: Callable[[float], None]) -> Iterator:
        """Call ``callback`` with ``answer_by`` if it is set during the context."""
        self._on_half_close = callback
        try:
            yield
        finally:
            self._on_half_close = None

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response; after the last one to a half-closed caller, close."""
        try:
            with self._in_flight():
                return await super().finish_response(request, resp, start_time)
        finally:
            if self.answer_by is not None and not self._messages:
                self.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the header timeout of a closed connection."""
        self.on_header_complete()
        super().connection_lost(exc)

    def begin_request(self, message, body: StreamReader) -> None:
        """Record that a request with this head and body is being served."""
        self.on_header_complete()
        super().begin_request(message, body)

    def on_header_complete(self) -> None:
        """Cancel the header timeout, as the first header is complete."""
        self._header_done = True
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _keep_whole_requests(self) -> bool:
        """Return whether whole requests wait; drop one behind them that is partial."""
        if self._body is not None and not self._body.is_eof():
            return False
        is_last_partial = bool(self._messages) and not self._messages[-1][1].is_eof()
        whole = len(self._messages) - int(is_last_partial)
        if self._body is None and not whole:
            return False
        if is_last_partial:
            self._messages.pop()
        return True

    def _allow_pending_reads(self) -> None:
        loop = asyncio.get_running_loop()
        self._header_timer = loop.call_later(PENDING_READ_S, self._time_out)

    def _time_out(self) -> None:
        self._header_timer = None
        if self.transport is not None and not self._header_done:
            self.transport.write(TIMEOUT_RESPONSE)
            self.transport.close()


class _UnreadConnection(asyncio.Protocol):
    """A connection that is closed before anything is read from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        transport.abort()


class CallerServer(BoundedServer):
    """Serves callers with ``handler``, on connections within ``budgets``.

    ``header_timeout_s`` returns the seconds that a connection's first header may take.
    New connections that ``admits`` turns away are closed unread; ``count`` counts them.
    Answers are sent inside a context of ``in_flight``.
    """

    def __init__(
        self,
        handler: Callable,
        budgets: ConnectionBudgets,
        header_timeout_s: Callable[[], float],
        admits: Callable[[], bool] = lambda: True,
        count: Callable[[str], None] = lambda name: None,
        in_flight: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> None:
        super().__init__(
            handler,
            budgets,
            count,
            _new_request,
            _CallerConnection,
            # Cancel a handler when its caller disconnects.
            handler_cancellation=True,
            header_timeout_s=header_timeout_s,
            in_flight=in_flight,
            keepalive_timeout=CALLER_IDLE_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
        )
        self._admits = admits

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol for a new connection."""
        if not self._admits():
            self._count("connection.closed-unread")
            return _UnreadConnection()
        return super().__call__()


def _new_request(message, payload, protocol, writer, task) -> web.BaseRequest:
    loop = asyncio.get_running_loop()
    return web.BaseRequest(message, payload, protocol, writer, task, loop)
