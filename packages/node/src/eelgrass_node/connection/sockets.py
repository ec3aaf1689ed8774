"""Sockets and client sessions that detect a peer that no longer answers.

A connection may die without a reset, and a host behind a network partition does not
answer. Without these socket options a write to it would hang for many minutes.
"""

import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Any

import aiohttp

from eelgrass_coordination import StallAwareTimeout

from .response_handler import SolicitedResponseHandler, is_readable

__all__ = [
    "BUFFER_BYTES",
    "Connector",
    "new_session",
    "open_socket",
    "set_buffers",
    "set_reset_on_close",
    "set_timeouts",
]

KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3
# A connection is closed when data stays unacknowledged for this long. The kernel then
# also gives up keep-alive probes after this time instead of after their number. It
# therefore lies between the last probe and its answer's timeout: a server that falls
# silent for a second has lost one probe, or two, and answers the next one.
USER_TIMEOUT_MS = 3500
# What the kernel buffers of a connection in each direction. Without a limit it grows to
# megabytes for a connection that is not read, and counts as memory of this process.
BUFFER_BYTES = 1 << 16


def open_socket(address: Any) -> socket.socket:
    """Return a new socket for ``address``, an address tuple of the client library."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    set_timeouts(opened)
    set_buffers(opened)
    return opened


def set_buffers(opened: socket.socket) -> None:
    """Bound the kernel's buffers of a TCP socket.

    Set before it is connected or listens; what it accepts has the same buffers.
    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)


def set_timeouts(opened: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Have a TCP socket closed once its peer has not answered for some time.

    It is closed as well if the peer accepts no data for ``user_timeout_ms``.
    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def set_reset_on_close(opened: socket.socket, is_reset: bool) -> None:
    """Set whether closing a TCP socket resets its connection.

    The kernel does the same if the process ends. What the peer has not received is
    discarded.
    """
    linger = struct.pack("ii", int(is_reset), 0)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class Connector(aiohttp.TCPConnector):
    """Opens sockets with these options; stalls of this process extend its timeout.

    ``handler`` is the class of its connections.
    """

    def __init__(
        self,
        handler: type[SolicitedResponseHandler] = SolicitedResponseHandler,
        **options: Any,
    ) -> None:
        super().__init__(limit=0, socket_factory=open_socket, **options)
        # The library has no public option for the class of its connections.
        self._factory = partial(handler, loop=self._loop)

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Get a connection; raises :class:`TimeoutError` if none is open in time.

        A kept-alive connection on which something has arrived is closed. It raises
        :class:`aiohttp.ClientConnectionError` if that is so on a new one.
        """
        unbounded = aiohttp.ClientTimeout(total=None)
        async with StallAwareTimeout(timeout.sock_connect):
            while True:
                connection = await super().connect(req, traces, unbounded)
                handler = connection.protocol
                if not is_readable(handler):
                    handler.is_new = False
                    return connection
                connection.close()
                if handler.is_new:
                    raise aiohttp.ClientConnectionError(
                        f"{req.url.host}:{req.url.port} sent bytes or closed the "
                        "connection before a request"
                    )


def new_session(
    keep_alive_s: float | None,
    connect_s: float | None = None,
    total_s: float | None = None,
    new_connector: Callable[..., aiohttp.BaseConnector] = Connector,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a client session with these sockets; the caller has to close it.

    ``keep_alive_s`` is how long an idle connection is kept open; with None each call
    gets a connection of its own. ``connect_s`` and ``total_s`` are the timeouts of a
    connection and of a call, all in seconds. ``options`` are passed to the session.

    No call is sent again by the session. Whether one may be is decided, and counted,
    by whoever makes it.
    """
    pooling: dict[str, Any] = {"keepalive_timeout": keep_alive_s}
    if keep_alive_s is None:
        pooling = {"force_close": True}
    session = aiohttp.ClientSession(
        connector=new_connector(use_dns_cache=False, **pooling),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=total_s, sock_connect=connect_s),
        **options,
    )
    # The library sends calls with an idempotent method again if their connection is
    # lost, also a new one. It has no public option to disable this.
    session._retry_connection = False
    return session
