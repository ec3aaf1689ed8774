"""A TCP proxy on loopback that injects network faults."""

import asyncio
from enum import Enum

from .connections import Listener, connect, listen

__all__ = ["Direction", "FaultProxy", "Link"]

BLOCK_BYTES = 1 << 16
PACKET_BYTES = 4096


class Direction(Enum):
    """Direction of traffic through the proxy."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class Link:
    """A link of limited bandwidth, shared by all connections that use it.

    They take turns, and transmit up to ``packet_bytes`` at each.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.packet_bytes = PACKET_BYTES
        self.sent = 0
        self._free_at = 0.0

    async def transmit(self, count: int) -> None:
        """Wait until ``count`` bytes are transmitted, after those queued earlier."""
        now = asyncio.get_running_loop().time()
        self.sent += count
        self._free_at = max(now, self._free_at) + count / self.bytes_per_s
        await asyncio.sleep(self._free_at - now)


class _Connection:
    """One forwarded connection: the client's side and the server's."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    def close(self) -> None:
        for writer in self.writers:
            writer.close()


class FaultProxy:
    """Forwards connections to ``target``; tests set its faults at any time.

    ``delay_s`` delays each block of bytes. Bytes in a direction of ``blocked`` are held
    back until the direction is removed from the set. ``link`` and ``link_to_server``,
    if given, limit the bandwidth to clients and to the server. With ``keeps_source``
    the server sees the IP addresses of the clients as those of its peers.
    """

    def __init__(
        self,
        target: str,
        link: Link | None = None,
        link_to_server: Link | None = None,
        keeps_source: bool = False,
    ) -> None:
        self._target = target
        self._keeps_source = keeps_source
        self.link = link
        self._link_by_direction = {
            Direction.TO_CLIENT: link,
            Direction.TO_SERVER: link_to_server,
        }
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: Listener | None = None
        self.delay_s = 0.0
        self.blocked: set[Direction] = set()

    @property
    def sent(self) -> int:
        """Number of bytes sent to clients over the link; 0 without a link."""
        return self.link.sent if self.link else 0

    async def start(self) -> str:
        """Start to listen; return the proxy's address."""
        self._server, address = await listen(self._accept)
        return address

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """Refuse new connections and reset open ones, as when a process crashes."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections; new ones work."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Discard all further data of the open connections; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def heal(self) -> None:
        """Remove the delay and unblock both directions."""
        self.delay_s = 0.0
        self.blocked.clear()

    async def _accept(self, reader, writer) -> None:
        source_ip = writer.get_extra_info("peername")[0] if self._keeps_source else None
        try:
            server_reader, server_writer = await connect(self._target, source_ip)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection([writer, server_writer])
        self._connections.add(connection)
        pumps = (
            self._pump(connection, reader, server_writer, Direction.TO_SERVER),
            self._pump(connection, server_reader, writer, Direction.TO_CLIENT),
        )
        tasks = [asyncio.create_task(pump) for pump in pumps]
        self._tasks.update(tasks)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
                self._tasks.discard(task)
            self._connections.discard(connection)
            connection.close()

    async def _pump(self, connection, reader, writer, direction: Direction) -> None:
        link = self._link_by_direction[direction]
        try:
            while data := await reader.read(link.packet_bytes if link else BLOCK_BYTES):
                await asyncio.sleep(self.delay_s)
                if link is not None:
                    await link.transmit(len(data))
                while direction in self.blocked:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                if not connection.silent:
                    writer.write(data)
                    await writer.drain()
            if connection.silent:
                await asyncio.Event().wait()
            writer.close()
        except OSError:
            connection.abort()
