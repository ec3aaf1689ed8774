"""Connections to servers through other nodes, by the CONNECT method of HTTP.

A node that cannot reach a server asks another node, the relay, to connect to it. The
relay then passes bytes on in both directions without interpreting them. What a
connection carries, such as request ids, deadlines and streams, is therefore the same as
on a direct one, and a request that is cancelled closes both.

To the node, a regular close says that the server has closed regularly, and may be the
end of an answer. Whatever else ends a connection resets it, also the end of the relay's
process. A header of the relay's answer says so, because nodes of older releases close
connections regularly.

A relay connects only to servers that are listed, and only directly, so that relayed
connections cannot form a loop. It listens for TCP at its gossip address; nodes of
older releases refuse connections there.
"""

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from eelgrass_coordination import StallAwareTimeout

from ..log import Part, log
from ..process.memory_budget import Budgets, MemoryBudget, PeerActivity
from ..process.server_paths import Path, ServerPaths
from ..process.stopping import Stopping
from .sockets import open_socket, set_buffers, set_reset_on_close, set_timeouts

__all__ = [
    "MAX_HEAD_BYTES",
    "OPENED_STATUS",
    "PASSES_END_ON",
    "REFUSED_STATUS",
    "TIMED_OUT_STATUS",
    "RelayServer",
]

# If the server cannot be reached, the answer comes before the client's timeout.
CONNECT_TIMEOUT_S = 0.1
# Time for the head of a CONNECT request, once the connection is open.
HEAD_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 1024
BLOCK_BYTES = 1 << 14
# What a relayed connection may hold, in this process and in the kernel: before it is
# known whether both ends read, and more for each direction that is not read.
RELAYED_BYTES = 1 << 15
STALLED_BYTES = 1 << 18
# A node reads no more of an answer while its caller does not, which to the kernel looks
# like a node that is gone. Requests do not last longer.
READER_TIMEOUT_MS = 30_000
# Relayed connections may use this part of the file descriptors, two for each.
DESCRIPTOR_FRACTION = 0.25
HEAD_END = b"\r\n\r\n"
OPENED_STATUS = 200
# Says that the relay closes the connection regularly only where the server does.
PASSES_END_ON = b"Close: passed-on"
OPENED = b"HTTP/1.1 200 Connection established\r\n%s\r\n\r\n" % PASSES_END_ON
# The server refused the connection.
REFUSED_STATUS = 502
# The relay cannot connect to the server, or does not know it.
UNAVAILABLE_STATUS = 503
# The server did not answer the relay in time.
TIMED_OUT_STATUS = 504


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
        budgets: Budgets,
        max_descriptors: int,
        count: Callable[[str], None],
    ) -> None:
        self._paths = paths
        self._accepts_work = accepts_work
        self._is_resting = is_resting
        self._stopping = stopping
        self._budgets = budgets
        self._max_connections = int(max_descriptors * DESCRIPTOR_FRACTION / 2)
        self._count = count
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.connections = 0

    async def start(self, address: str) -> None:
        """Listen at an address; without a listener the node relays nothing."""
        host, _, port = address.rpartition(":")
        try:
            opened = socket.create_server((host, int(port)))
            set_buffers(opened)
            self._server = await asyncio.start_server(
                self._accept, sock=opened, limit=BLOCK_BYTES
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
        writer.transport.max_size = BLOCK_BYTES
        activity = PeerActivity(self._budgets.clock, writer.transport.abort)
        slot = self._budgets.peers.open(activity)
        try:
            if not slot.resize(1):
                self._count("connection.no-room")
                writer.transport.abort()
                return
            await self._relay(reader, writer, activity)
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
            slot.release()
            writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        activity: PeerActivity,
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
        stalls = _Stalls(self._budgets.relays, activity)
        if not stalls.begin():
            self._refuse(writer, UNAVAILABLE_STATUS)
            return
        with self._stopping.in_flight(), self._counted(), stalls:
            try:
                upstream_reader, upstream = await _connect(address)
            except TimeoutError:
                self._refuse(writer, TIMED_OUT_STATUS)
                return
            except OSError:
                self._refuse(writer, REFUSED_STATUS)
                return
            try:
                # From here on the kernel resets it as well, if the process ends.
                set_reset_on_close(writer.get_extra_info("socket"), True)
                writer.write(OPENED)
                exchange = _Exchange(lambda: not self._is_resting(address))
                activity.set_awaited(False)
                await _splice(
                    reader, writer, upstream_reader, upstream, exchange, stalls
                )
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
    opened = open_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ()))
    try:
        opened.setblocking(False)
        async with StallAwareTimeout(CONNECT_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(opened, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=opened, limit=BLOCK_BYTES)
    except BaseException:
        opened.close()
        raise
    # Bounds what one read takes; the transport has no public option for it.
    writer.transport.max_size = BLOCK_BYTES
    writer.transport.set_write_buffer_limits(high=0)
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


class _Stalls:
    """Reserves what a relayed connection holds, more while one end does not read.

    It is a context that gives back all of it.
    """

    def __init__(self, budget: MemoryBudget, activity: PeerActivity) -> None:
        self._activity = activity
        self._reservation = budget.open(activity)
        self._count = 0

    def __enter__(self) -> None:
        pass

    def __exit__(self, *exc: object) -> None:
        self._reservation.release()

    def begin(self) -> bool:
        """Return whether there is room for the connection."""
        return self._reservation.resize(RELAYED_BYTES)

    async def drain(self, writer: asyncio.StreamWriter) -> None:
        """Wait until all that was written has left.

        Raises :class:`ConnectionAbortedError` without room for what is not read.
        """
        waiting = writer.transport.get_write_buffer_size()
        if not waiting:
            return
        self._resize(self._count + 1)
        try:
            await writer.drain()
        finally:
            self._resize(self._count - 1)
        self._activity.record(waiting)

    def _resize(self, count: int) -> None:
        self._count = count
        self._activity.set_awaited(count > 0)
        if not self._reservation.resize(RELAYED_BYTES + count * STALLED_BYTES):
            raise ConnectionAbortedError("no room for what the client does not read")


async def _splice(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    upstream_reader: asyncio.StreamReader,
    upstream: asyncio.StreamWriter,
    exchange: _Exchange,
    stalls: _Stalls,
) -> None:
    """Pass bytes on in both directions until one of the connections ends.

    The connection to the client is reset when it is closed, unless the server has ended
    regularly and all that it sent was passed on.
    """
    to_server = asyncio.create_task(_copy(reader, upstream, exchange.on_sent, stalls))
    to_client = asyncio.create_task(
        _copy(upstream_reader, writer, exchange.on_received, stalls)
    )
    try:
        await asyncio.wait({to_server, to_client}, return_when=asyncio.FIRST_COMPLETED)
        if to_client.done() and to_client.exception() is None:
            # The server may have ended a response without a length.
            set_reset_on_close(writer.get_extra_info("socket"), False)
    finally:
        for task in (to_server, to_client):
            task.cancel()
        await asyncio.gather(to_server, to_client, return_exceptions=True)


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    on_bytes: Callable[[], None],
    stalls: _Stalls,
) -> None:
    """Pass bytes on until the end of the connection; raises :class:`OSError`.

    ``on_bytes`` is called before some are passed on.
    """
    while data := await reader.read(BLOCK_BYTES):
        on_bytes()
        writer.write(data)
        await stalls.drain(writer)
