"""A TCP proxy on loopback that harms what it forwards."""

import asyncio
from enum import Enum

from .connections import connect, listen

__all__ = ["Direction", "FaultProxy", "Link"]

BLOCK_BYTES = 1 << 16
# What goes through a narrow link at a time; connections take turns.
PACKET_BYTES = 4096


class Direction(Enum):
    """Which way bytes go: towards the server, or back to the client."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class Link:
    """A network link of ``bytes_per_s``, which all its connections share."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.sent = 0
        self._free_at = 0.0

    async def carry(self, count: int) -> None:
        """Wait until so many bytes are through, behind those that came before."""
        now = asyncio.get_running_loop().time()
        self.sent += count
        self._free_at = max(now, self._free_at) + count / self.bytes_per_s
        await asyncio.sleep(self._free_at - now)


class _Connection:
    """The two ends of one forwarded connection."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """Forwards to ``target``; faults are set from outside, at any time.

    ``delay_s`` holds each block of bytes for so long. Bytes in a direction of
    ``blocked`` wait until it is taken out again. What goes back to clients passes
    through ``link``, and what goes to the server through ``link_to_server``, if there
    are such.
    """

    def __init__(
        self,
        target: str,
        link: Link | None = None,
        link_to_server: Link | None = None,
    ) -> None:
        self._target = target
        self.link = link
        self._link_by_direction = {
            Direction.TO_CLIENT: link,
            Direction.TO_SERVER: link_to_server,
        }
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.delay_s = 0.0
        self.blocked: set[Direction] = set()

    @property
    def sent(self) -> int:
        """How many bytes have gone to clients over the link."""
        return self.link.sent if self.link else 0

    async def start(self) -> str:
        """Listen; return the address."""
        self._server, address = await listen(self._accept)
        return address

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """Refuse new connections and reset all others, as a process that crashes."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections; new ones work."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Let all connections go silent for good; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def heal(self) -> None:
        """End the delay and what blocks."""
        self.delay_s = 0.0
        self.blocked.clear()

    async def _accept(self, reader, writer) -> None:
        try:
            there_reader, there_writer = await connect(self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection([writer, there_writer])
        self._connections.add(connection)
        ways = (
            self._pump(connection, reader, there_writer, Direction.TO_SERVER),
            self._pump(connection, there_reader, writer, Direction.TO_CLIENT),
        )
        tasks = [asyncio.create_task(way) for way in ways]
        self._tasks.update(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)
        self._connections.discard(connection)

    async def _pump(self, connection, reader, writer, direction: Direction) -> None:
        link = self._link_by_direction[direction]
        try:
            while data := await reader.read(PACKET_BYTES if link else BLOCK_BYTES):
                await asyncio.sleep(self.delay_s)
                if link is not None:
                    await link.carry(len(data))
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
