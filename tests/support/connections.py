"""Opens TCP servers and connections on loopback, by ``host:port`` address."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["connect", "listen"]

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def listen(handle: ConnectionHandler) -> tuple[asyncio.Server, str]:
    """Listen on a free port; return the server and its address."""
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def connect(
    address: str, source_ip: str | None = None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address, from a given one if ``source_ip`` is set."""
    host, _, port = address.rpartition(":")
    source = None if source_ip is None else (source_ip, 0)
    return await asyncio.open_connection(host, int(port), local_addr=source)
