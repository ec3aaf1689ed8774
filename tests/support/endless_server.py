"""A server that sends bytes without end, until the caller closes."""

import asyncio
from enum import Enum

from .connections import Listener, listen

__all__ = ["Endless", "EndlessServer"]

BLOCK_BYTES = 1 << 14
# Protects this process from a caller that reads without end.
MOST_BYTES = 64 << 20
HEADER_END = b"\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
TEXT = b"x" * BLOCK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, TEXT)


class Endless(Enum):
    """What has no end, as the first bytes and those that are repeated.

    ``@`` stands for the headers of a sound answer to the request.
    """

    NO_TEXT = (b"", b"\0" * BLOCK_BYTES)
    HEADER_LINE = (b"HTTP/1.1 200 OK\r\nX: ", TEXT)
    HEADER_LINES = (b"HTTP/1.1 200 OK\r\n", b"X-Header: y\r\n" * 1000)
    INTERIM_ANSWERS = (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500)
    CHUNK_LINE = (b"HTTP/1.1 200 OK\r\n@" + CHUNKED, b"0" * BLOCK_BYTES)
    TRAILERS = (
        b"HTTP/1.1 200 OK\r\n@" + CHUNKED + b"0\r\n",
        b"X-Trailer: y\r\n" * 1000,
    )
    SIGNED_BODY = (b"HTTP/1.1 200 OK\r\n@\r\n", TEXT)
    SIGNED_CHUNKS = (b"HTTP/1.1 200 OK\r\n@" + CHUNKED, CHUNK)
    SIGNED_ERROR = (b"HTTP/1.1 500 Failed\r\n@\r\n", TEXT)
    UNSIGNED_BODY = (b"HTTP/1.1 200 OK\r\n\r\n", TEXT)
    UNSIGNED_ERROR = (b"HTTP/1.1 500 Failed\r\n\r\n", TEXT)
    REFUSAL = (b"HTTP/1.1 503 Full\r\nEelgrassward-Not-Executed: 1\r\n\r\n", TEXT)
    OTHER_SERVER = (b"HTTP/1.1 421 Misdirected\r\n\r\n", TEXT)


class EndlessServer:
    """Answers all calls so; ``taken`` has how many bytes were taken of each."""

    def __init__(self, address: str, endless: Endless) -> None:
        self.address = address
        self.first, self.repeated = endless.value
        self.taken: list[int] = []
        self._server: Listener | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at the address."""
        self._server, _ = await listen(self._serve, self.address)

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            head = await reader.readuntil(HEADER_END)
            call = len(self.taken)
            self.taken.append(0)
            writer.write(self.first.replace(b"@", _sound_headers(head)))
            while self.taken[call] < MOST_BYTES:
                writer.write(self.repeated)
                await writer.drain()
                self.taken[call] += len(self.repeated)
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            self._writers.discard(writer)


def _sound_headers(head: bytes) -> bytes:
    lines = head.split(b"\r\n")
    echoed = [line for line in lines if line.startswith(b"Eelgrassward-Attempt")]
    signed = (*echoed, b"Eelgrassward-Engine-Signature: s")
    return b"".join(line + b"\r\n" for line in signed)
