"""Bodies that are sent in pieces, so that the transport does not copy all of one."""

from collections.abc import Callable

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

__all__ = ["PIECE_BYTES", "PiecewisePayload", "UnsentBytes"]

PIECE_BYTES = 1 << 14


class UnsentBytes:
    """How many bytes of a body have not left; it does not keep the body in memory."""

    def __init__(self) -> None:
        self.count = 0

    def payload(self, body: bytes) -> "PiecewisePayload | None":
        """Return a body to be sent, whose bytes are counted; None if it is empty."""
        self.count = len(body)
        return PiecewisePayload(body, self._note_sent) if body else None

    def _note_sent(self, count: int) -> None:
        self.count -= count


class PiecewisePayload(Payload):
    """A body of bytes; ``on_sent`` is called with the size of each piece that left."""

    def __init__(
        self, value: bytes, on_sent: Callable[[int], None] = lambda count: None
    ) -> None:
        super().__init__(value, content_type="application/octet-stream")
        self._size = len(value)
        self._on_sent = on_sent

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body; each piece waits until the one before it has left."""
        view = memoryview(self._value)
        for begin in range(0, len(view), PIECE_BYTES):
            piece = view[begin : begin + PIECE_BYTES]
            await writer.write(piece)
            # The library itself waits only within larger bodies.
            await writer.drain()
            self._on_sent(len(piece))

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, whose length the writer may limit."""
        await self.write(writer)
