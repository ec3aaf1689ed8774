"""Opens TCP servers and connections on loopback, by ``host:port`` address."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["Listener", "connect", "listen"]

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Listener:
    """A TCP server that :meth:`close` closes together with what it has accepted.

    A connection that is still open when its event loop closes raises an error later,
    in whatever test the garbage collector then runs.
    """

    def __init__(self, handle: ConnectionHandler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> str:
        """Listen at an address; return it, with the port that was chosen for 0."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        self._server.close()

    def close(self) -> None:
        """Refuse new connections and close the open ones."""
        self.stop_listening()
        for writer in self._writers:
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Only those that are open; handlers may pass them on before they return.
        self._writers = {w for w in self._writers if not w.is_closing()}
        self._writers.add(writer)
        await self._handle(reader, writer)


async def listen(
    handle: ConnectionHandler, address: str = "127.0.0.1:0"
) -> tuple[Listener, str]:
    """Listen at an address, by default on a free port; return it with the server."""
    listener = Listener(handle)
    return listener, await listener.start(address)


async def connect(
    address: str, source_ip: str | None = None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address, from a given one if ``source_ip`` is set."""
    host, _, port = address.rpartition(":")
    source = None if source_ip is None else (source_ip, 0)
    return await asyncio.open_connection(host, int(port), local_addr=source)
