"""A backend server whose answers have no length and come in pieces.

``python -m support.paced_engine ADDRESS SERVER_ID STARTED`` runs one as a process.
"""

import asyncio
import sys

import msgspec

from .connections import Listener, listen

__all__ = ["BODY", "PIECES", "PIECE_S", "STREAM", "PacedEngine"]

PIECES = 12
# Time between two pieces, in seconds.
PIECE_S = 0.025
HEADER_END = b"\r\n\r\n"
_PLAIN = [b"piece %02d of 12; " % number for number in range(1, PIECES + 1)]
_EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, PIECES + 1)]
# The whole bodies of plain answers and of streams.
BODY = b"".join(_PLAIN)
STREAM = b"".join(_EVENTS)


class PacedEngine:
    """Answers plain requests and streams, each of them until its connection ends.

    ``on_piece`` is called with the number of each piece, from 0, before it is sent.
    With ``reports`` the server tells when it was started. ``answered`` has the path of
    each request, in order.
    """

    def __init__(self, server_id: str, address: str, started: int = 1) -> None:
        self.server_id = server_id
        self.address = address
        self.version, self.started = "v1", started
        self.reports = True
        self.answered: list[str] = []
        self.on_piece = lambda number: None
        self._listener: Listener | None = None
        self._has_ended = False

    async def start(self) -> None:
        """Listen at the address."""
        self._listener, _ = await listen(self._serve, self.address)

    def stop_listening(self) -> None:
        """Refuse new connections, and go on with the open ones."""
        self._listener.stop_listening()

    def end_process(self) -> None:
        """Close all sockets regularly, as the kernel does for a process that ends."""
        self._has_ended = True
        self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(HEADER_END)).decode("latin-1")
            headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
            await reader.readexactly(int(headers.get("Content-Length", 0)))
            path = head.split(" ")[1]
            self.answered.append(path)
            if path == "/-/report":
                self._report(writer)
            else:
                await self._answer(path, headers, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def _report(self, writer: asyncio.StreamWriter) -> None:
        body = msgspec.json.encode({"born": self.started} if self.reports else {})
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)

    async def _answer(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        pieces = _PLAIN
        if path.startswith("/stream/"):
            pieces = _EVENTS[int(headers.get("Last-Event-Id", 0)) :]
        writer.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Eelgrassward-Attempt-Id: %s\r\nEelgrassward-Engine-Signature: %s\r\n\r\n"
            % (
                headers.get("Eelgrassward-Attempt-Id", "").encode(),
                self.server_id.encode(),
            )
        )
        for number, piece in enumerate(pieces):
            await writer.drain()
            await asyncio.sleep(PIECE_S)
            self.on_piece(number)
            if self._has_ended:
                return
            writer.write(piece)


async def _run(address: str, server_id: str, started: int) -> None:
    await PacedEngine(server_id, address, started).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1], sys.argv[2], int(sys.argv[3])))
