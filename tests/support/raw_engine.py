"""A backend server whose answers are sound, and sent byte by byte as a test says."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec

from eelgrass_standins.ports import free_addresses

from .connections import Listener, listen
from .entry import COMPLETE_STREAM, EntryDeployment, until

__all__ = ["RawEngine", "Send", "only_server"]

HEADER_END = b"\r\n\r\n"
_numbers = itertools.count(1)

# Sends the head and the body of an answer; returns whether the connection goes on.
Send = Callable[
    [bytes, bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class RawEngine:
    """Answers plain requests, streams and batch items by ``send``.

    ``answered`` has the path of each, in order, and ``request_ids`` the attempt id of
    those that have one.
    """

    def __init__(self, server_id: str, address: str, send: Send) -> None:
        self.server_id = server_id
        self.address = address
        self.version, self.started = "v1", 0
        self.answered: list[str] = []
        self.request_ids: list[str] = []
        self._send = send
        self._numbers = itertools.count(1)
        self._listener: Listener | None = None

    async def start(self) -> None:
        """Listen at the address."""
        self._listener, _ = await listen(self._serve, self.address)

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        goes_on = True
        try:
            while goes_on:
                head = await reader.readuntil(HEADER_END)
                _, path, _ = head.decode("latin-1").split(" ", 2)
                lines = head.split(b"\r\n")[1:-2]
                headers = dict(line.split(b": ", 1) for line in lines)
                headers = {name.lower(): value for name, value in headers.items()}
                self._receive_head(headers)
                body = await self._read_body(
                    reader, int(headers.get(b"content-length", 0))
                )
                self.answered.append(path)
                echoed = [n for n in lines if n.startswith(b"Eelgrassward-Attempt")]
                self.request_ids += [n.split(b": ")[1].decode() for n in echoed]
                signature = b"Eelgrassward-Engine-Signature: s"
                answer_head = b"\r\n".join((b"HTTP/1.1 200 OK", signature, *echoed))
                goes_on = await self._send(
                    answer_head + b"\r\n", self._body(path, body), reader, writer
                )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _receive_head(self, headers: dict[bytes, bytes]) -> None:
        """Look at the headers of a call; their names are in lower case."""

    async def _read_body(self, reader: asyncio.StreamReader, length: int) -> bytes:
        return await reader.readexactly(length)

    def _body(self, path: str, body: bytes) -> bytes:
        if path.startswith("/stream/"):
            return COMPLETE_STREAM
        if path == "/-/stage-run":
            items = msgspec.json.decode(body)["Items"]
            handles = [f"{self.address}/{next(self._numbers):x}" for _ in items]
            return msgspec.json.encode({"Items": [{"Handle": h} for h in handles]})
        return b"answer of " + body


@asynccontextmanager
async def only_server(
    deployment: EntryDeployment,
    service: str,
    send: Send,
    engine_class: type[RawEngine] = RawEngine,
) -> AsyncIterator[RawEngine]:
    """Have a server with such answers take the place of a service's own ones."""
    [address] = free_addresses(1)
    server = engine_class(f"{service}-faulty-{next(_numbers)}", address, send)
    await server.start()
    engines = deployment.engines_by_service[service]
    for engine in engines:
        deployment.store.remove("servers", engine.server_id)
    # So that nodes can be cut off from it.
    engines.append(server)
    try:
        deployment.list_engine(service, server)
        await until(
            lambda: all(
                [s.entry.id for s in node.backends.by_service.get(service, ())]
                == [server.server_id]
                for node in deployment.nodes
            )
        )
        yield server
    finally:
        engines.remove(server)
        deployment.store.remove("servers", server.server_id)
        server.stop()
