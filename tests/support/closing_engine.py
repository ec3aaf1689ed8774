"""A backend server whose answers have no length and end with their connection."""

import asyncio
import itertools
import socket
import struct
from enum import Enum

import msgspec

from .connections import Listener, listen
from .entry import COMPLETE_STREAM

__all__ = ["ClosingEngine", "Ending"]

# The first half of the stream ends between two events.
INSIDE_EVENT_BYTES = 3
HEADER_END = b"\r\n\r\n"
# Closing the socket with this option sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Ending(Enum):
    """How an answer ends.

    ``CLOSE_EARLY``, ``RESET`` and ``CRASH`` end it after about half of its bytes,
    inside an event, as ``RESET_AT_ONCE`` does while the answer is on its way. With
    ``CRASH`` the server has stopped listening by then.
    """

    CLOSE = "close"
    CLOSE_EARLY = "close_early"
    RESET = "reset"
    RESET_AFTER_ALL = "reset_after_all"
    CRASH = "crash"
    RESET_AT_ONCE = "reset_at_once"


class ClosingEngine:
    """Answers plain requests, streams and batch items, each on its own connection.

    ``endings`` are used up one by one; later answers end with a close. ``answered``
    counts requests by path.
    """

    def __init__(self, server_id: str, address: str) -> None:
        self.server_id = server_id
        self.address = address
        self.endings: list[Ending] = []
        self.answered: list[str] = []
        self.results: set[str] = set()
        self._numbers = itertools.count(1)
        self._server: Listener | None = None

    async def start(self) -> None:
        """Listen at the address."""
        self._server, _ = await listen(self._serve, self.address)

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(HEADER_END)).decode("latin-1")
        except asyncio.IncompleteReadError:
            # A connection that was opened to see whether anything listens.
            writer.close()
            return
        headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        path = head.split(" ")[1]
        self.answered.append(path)
        answer = self._answer(path, body)
        ending = self.endings.pop(0) if self.endings else Ending.CLOSE
        if ending not in (Ending.CLOSE, Ending.RESET_AFTER_ALL):
            answer = answer[: len(answer) // 2 + INSIDE_EVENT_BYTES]
        writer.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Eelgrassward-Attempt-Id: %s\r\nEelgrassward-Engine-Signature: %s\r\n\r\n"
            % (
                headers.get("Eelgrassward-Attempt-Id", "").encode(),
                self.server_id.encode(),
            )
            + answer
        )
        await writer.drain()
        if ending is Ending.CRASH:
            self._server.stop_listening()
        if ending not in (Ending.CLOSE, Ending.CLOSE_EARLY):
            if ending is not Ending.RESET_AT_ONCE:
                # Let the answer arrive before the reset discards what is buffered.
                await asyncio.sleep(0.05)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()

    def _answer(self, path: str, body: bytes) -> bytes:
        if path.startswith("/stream/"):
            return COMPLETE_STREAM
        if path == "/-/stage-run":
            items = msgspec.json.decode(body)["Items"]
            handles = [f"{self.address}/{next(self._numbers):x}" for _ in items]
            return msgspec.json.encode({"Items": [{"Handle": h} for h in handles]})
        return b"answer of " + body
