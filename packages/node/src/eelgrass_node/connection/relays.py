"""Connections to servers through other nodes, by the CONNECT method of HTTP.

A node that cannot reach a server asks another node, the relay, to connect to it. The
relay then passes bytes on in both directions without interpreting them, and closes or
resets each side as the other side does. What a connection carries, such as request ids,
deadlines and streams, is therefore the same as on a direct one, and a request that is
cancelled closes both.

A relay connects only to servers that are listed, and only directly, so that relayed
connections cannot form a loop. It listens for TCP at its gossip address; nodes of
older releases refuse connections there.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

import msgspec

from eelgrass_coordination import Member, StallAwareTimeout

from ..exceptions import RelayUnavailable
from ..log import Part, log
from ..process.listening import Listening
from ..process.relay_choice import RelayChoice
from ..process.server_paths import Path, ServerPaths
from ..process.stopping import Stopping
from .races import first_success
from .sockets import open_socket, set_timeouts

__all__ = ["RelayClient", "RelayServer", "RelayedSocket"]

# A relay has to connect to the server as well. If it cannot, its answer comes before
# the client's timeout.
RELAY_TIMEOUT_S = 0.15
CONNECT_TIMEOUT_S = 0.1
# Time between the starts of attempts with different relays: a round trip between data
# centres and a connection from there.
STAGGER_S = 0.02
# Time for the head of a CONNECT request, once the connection is open.
HEAD_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 1024
BLOCK_BYTES = 1 << 16
# A node reads no more of an answer while its caller does not, which to the kernel looks
# like a node that is gone. Requests do not last longer.
READER_TIMEOUT_MS = 30_000
# Relayed connections may use this part of the file descriptors, two for each.
DESCRIPTOR_FRACTION = 0.25
HEAD_END = b"\r\n\r\n"
OPENED = b"HTTP/1.1 200 Connection established\r\n\r\n"
# The server refused the connection.
REFUSED_STATUS = 502
# The relay cannot connect to the server, or does not know it.
UNAVAILABLE_STATUS = 503
# The server did not answer the relay in time.
TIMED_OUT_STATUS = 504


class RelayedSocket(msgspec.Struct, frozen=True):
    """A socket that is connected to a server through ``relay``."""

    socket: socket.socket
    relay: Member

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


class RelayClient:
    """Opens connections to servers through other nodes."""

    def __init__(self, choice: RelayChoice) -> None:
        self._choice = choice

    async def open(self, address: str, data_centre: str) -> RelayedSocket:
        """Return a connected socket to a server in a data centre, through a relay.

        Raises :class:`RelayUnavailable` if no relay has connected to the server.
        """
        members = self._choice.candidates(data_centre)
        if not members:
            raise RelayUnavailable(address, None)

        found: list[Listening | None] = []

        async def attempt(member: Member) -> RelayedSocket:
            try:
                opened = await self.open_through(member, address)
                return RelayedSocket(opened, member)
            except RelayUnavailable as error:
                found.append(error.listening)
                raise

        attempts = [partial(attempt, member) for member in members]
        try:
            return await first_success(attempts, STAGGER_S, RelayedSocket.close)
        except RelayUnavailable as error:
            raise RelayUnavailable(address, _combined(found)) from error

    async def probe(self, address: str, data_centre: str) -> Listening | None:
        """Return whether a server accepts connections from other nodes.

        None if no other node could try.
        """
        try:
            (await self.open(address, data_centre)).close()
        except RelayUnavailable as error:
            return error.listening
        return Listening.YES

    async def open_through(self, member: Member, address: str) -> socket.socket:
        """Return a connected socket to a server through one relay.

        Raises :class:`RelayUnavailable` if it has not connected to the server.
        """
        host, _, port = member.gossip.rpartition(":")
        opened = open_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ()))
        try:
            opened.setblocking(False)
            async with StallAwareTimeout(RELAY_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(opened, (host, int(port)))
                request = f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n\r\n"
                await loop.sock_sendall(opened, request.encode())
                status = await _read_status(opened)
            if status != OPENED.split()[1]:
                raise RelayUnavailable(address, _listening(status))
        except BaseException as error:
            opened.close()
            if isinstance(error, (OSError, TimeoutError, RelayUnavailable)):
                self._choice.on_unfit(member)
                if not isinstance(error, RelayUnavailable):
                    raise RelayUnavailable(address, None) from error
            raise
        self._choice.on_fit(member)
        return opened


async def _read_status(opened: socket.socket) -> bytes:
    """Return the status of the answer to a CONNECT request.

    The answer has no body, and a server sends nothing before it has a request.
    """
    loop = asyncio.get_running_loop()
    head = b""
    while not head.endswith(HEAD_END):
        data = await loop.sock_recv(opened, MAX_HEAD_BYTES)
        if not data or len(head) > MAX_HEAD_BYTES:
            raise ConnectionResetError("the relay closed the connection")
        head += data
    return head.split(None, 2)[1]


def _combined(found: list[Listening | None]) -> Listening | None:
    """Return what several relays found out about a server.

    Those that are refused may have lost their own paths; one without an answer is
    enough to doubt that the server refuses connections.
    """
    if Listening.UNKNOWN in found:
        return Listening.UNKNOWN
    return Listening.NO if Listening.NO in found else None


def _listening(status: bytes) -> Listening | None:
    if status == b"%d" % REFUSED_STATUS:
        return Listening.NO
    return Listening.UNKNOWN if status == b"%d" % TIMED_OUT_STATUS else None


class RelayServer:
    """Relays connections of other nodes to servers, at the address of this node.

    ``accepts_work`` returns whether an address is that of a server that may get new
    work, and ``is_resting`` whether that server wants nothing from this node for now.
    What this node relays reaches servers from its own host. So no connection is opened
    to a server that rests, and one that is open is closed when another request begins
    on it. A planned stop, by ``stopping``, waits for the connections that are open.
    """

    def __init__(
        self,
        paths: ServerPaths,
        accepts_work: Callable[[str], bool],
        is_resting: Callable[[str], bool],
        stopping: Stopping,
        max_descriptors: int,
        count: Callable[[str], None],
    ) -> None:
        self._paths = paths
        self._accepts_work = accepts_work
        self._is_resting = is_resting
        self._stopping = stopping
        self._max_connections = int(max_descriptors * DESCRIPTOR_FRACTION / 2)
        self._count = count
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.connections = 0

    async def start(self, address: str) -> None:
        """Listen at an address; without a listener the node relays nothing."""
        host, _, port = address.rpartition(":")
        try:
            self._server = await asyncio.start_server(
                self._accept, host, int(port), limit=BLOCK_BYTES
            )
        except OSError as error:
            log(
                Part.NODE,
                "Cannot listen for relayed connections; other nodes are not helped.",
                address=address,
                error=repr(error),
            )

    async def close(self) -> None:
        """Close the listener and all relayed connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        set_timeouts(writer.get_extra_info("socket"), READER_TIMEOUT_MS)
        # What the process holds of an answer is lost with it: pass all of it on.
        writer.transport.set_write_buffer_limits(high=0)
        try:
            await self._relay(reader, writer)
        except (
            OSError,
            TimeoutError,
            ValueError,
            EOFError,
            asyncio.LimitOverrunError,
        ) as error:
            log(Part.HOSTS, "A relayed connection failed.", error=repr(error))
            self._count("relay.failed")
        except asyncio.CancelledError:
            # The node is closing; asyncio would log the cancellation as an error.
            pass
        finally:
            writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with StallAwareTimeout(HEAD_TIMEOUT_S):
            head = await reader.readuntil(HEAD_END)
        method, address, _ = head.decode("ascii").split(None, 2)
        if method != "CONNECT" or not self._may_connect(address):
            self._refuse(writer, UNAVAILABLE_STATUS)
            return
        if self._is_resting(address):
            # Not as refused or unknown: the server may well be running.
            self._refuse(writer, TIMED_OUT_STATUS)
            return
        with self._stopping.in_flight(), self._counted():
            try:
                upstream_reader, upstream = await _connect(address)
            except TimeoutError:
                self._refuse(writer, TIMED_OUT_STATUS)
                return
            except OSError:
                self._refuse(writer, REFUSED_STATUS)
                return
            try:
                writer.write(OPENED)
                exchange = _Exchange(lambda: not self._is_resting(address))
                await _splice(reader, writer, upstream_reader, upstream, exchange)
            finally:
                upstream.close()

    def _may_connect(self, address: str) -> bool:
        return (
            not self._stopping.stopping
            and self.connections < self._max_connections
            and self._accepts_work(address)
            and self._paths.path(address) is Path.DIRECT
        )

    def _refuse(self, writer: asyncio.StreamWriter, status: int) -> None:
        self._count(f"relay.refused-{status}")
        writer.write(b"HTTP/1.1 %d Not connected\r\nContent-Length: 0\r\n\r\n" % status)

    @contextmanager
    def _counted(self) -> Iterator[None]:
        self.connections += 1
        self._count("relay.connections")
        try:
            yield
        finally:
            self.connections -= 1


async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    async with StallAwareTimeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=BLOCK_BYTES
        )
    set_timeouts(writer.get_extra_info("socket"))
    return reader, writer


class _Exchange:
    """The turns on one connection, on which requests and answers alternate.

    ``may_begin`` returns whether another request may be sent; the first one was checked
    when the connection was opened.
    """

    def __init__(self, may_begin: Callable[[], bool]) -> None:
        self._may_begin = may_begin
        self._is_answered = False

    def on_sent(self) -> None:
        """Raise :class:`ConnectionAbortedError` if bytes begin a request too many."""
        if self._is_answered and not self._may_begin():
            raise ConnectionAbortedError("the server has asked for rest")
        self._is_answered = False

    def on_received(self) -> None:
        """Note that the server has begun to answer."""
        self._is_answered = True


async def _splice(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    upstream_reader: asyncio.StreamReader,
    upstream: asyncio.StreamWriter,
    exchange: _Exchange,
) -> None:
    """Pass bytes on in both directions until one of the connections ends."""
    to_server = asyncio.create_task(_copy(reader, upstream, exchange.on_sent))
    to_client = asyncio.create_task(
        _copy(upstream_reader, writer, exchange.on_received)
    )
    try:
        await asyncio.wait({to_server, to_client}, return_when=asyncio.FIRST_COMPLETED)
        if to_client.done() and to_client.exception() is not None:
            # A response without a length that is cut off must not look complete.
            _reset(writer)
    finally:
        for task in (to_server, to_client):
            task.cancel()
        await asyncio.gather(to_server, to_client, return_exceptions=True)


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    on_bytes: Callable[[], None],
) -> None:
    """Pass bytes on until the end of the connection; raises :class:`OSError`.

    ``on_bytes`` is called before some are passed on.
    """
    while data := await reader.read(BLOCK_BYTES):
        on_bytes()
        writer.write(data)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of a regular end."""
    linger = struct.pack("ii", 1, 0)
    transport_socket = writer.get_extra_info("socket")
    transport_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
