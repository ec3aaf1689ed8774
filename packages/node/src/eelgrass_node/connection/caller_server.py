"""The HTTP server towards callers, with bounds on what they may send and when.

The library bounds the time between two requests of a connection. What it leaves
open is a caller that begins its first request and does not go on: such ones would
hold descriptors, of which a host has four thousand.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

__all__ = ["CallerServer"]

# Callers use connections that have been idle for long; one that is closed under
# a request costs an answer, an idle one a little memory.
CALLER_IDLE_S = 75.0
# Header lines and their sum that the parser takes, well over the operator's
# limits of 16 KiB.
MAX_LINE_BYTES = 32_768
# What has arrived when the time is over is still read: after a suspension of the
# host the bytes and the end of the time come together.
READ_REST_S = 0.5
# A first request that is not whole in time has not run.
TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class _CallerConnection(RequestHandler):
    """One connection; ``header_s`` bounds the time for its first header."""

    def __init__(self, server: web.Server, header_s: float, **options) -> None:
        super().__init__(server, **options)
        self._header_s = header_s
        self._header_timer: asyncio.TimerHandle | None = None
        self._header_done = False

    def data_received(self, data: bytes) -> None:
        """Take bytes; the first of them start the time for the header."""
        if not self._header_done and self._header_timer is None:
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(self._header_s, self._read_rest)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.note_header()
        super().connection_lost(exc)

    def note_header(self) -> None:
        """Note that the first header is whole."""
        self._header_done = True
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _read_rest(self) -> None:
        loop = asyncio.get_running_loop()
        self._header_timer = loop.call_later(READ_REST_S, self._give_up)

    def _give_up(self) -> None:
        self._header_timer = None
        if self.transport is not None and not self._header_done:
            self.transport.write(TIMEOUT_ANSWER)
            self.transport.close()


class CallerServer(web.Server):
    """Serves callers with ``handler``.

    ``header_s`` returns how long the header of a first request may take, in
    seconds, and ``max_body_bytes`` bounds what is ever read of a body.
    """

    def __init__(
        self, handler: Callable, header_s: Callable[[], float], max_body_bytes: int
    ) -> None:
        super().__init__(handler, request_factory=self._build_request)
        self._header_s = header_s
        self._max_body_bytes = max_body_bytes
        # Handlers are cancelled when their caller leaves.
        self.handler_cancellation = True

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return _CallerConnection(
            self,
            self._header_s(),
            loop=asyncio.get_running_loop(),
            keepalive_timeout=CALLER_IDLE_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            access_log=None,
            auto_decompress=False,
        )

    def _build_request(
        self, message, payload, protocol, writer, task
    ) -> web.BaseRequest:
        protocol.note_header()
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._max_body_bytes,
        )
