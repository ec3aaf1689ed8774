"""Requests that are written to a socket as they are, and their answers read whole.

They cost their callers' process little, and show how an answer ended that is not whole.
"""

import asyncio

import msgspec

from .entry import HOST, KEY

__all__ = ["Answer", "AnswerCut", "read_answer", "request_bytes"]

HEAD_END = b"\r\n\r\n"


class AnswerCut(Exception):
    """A connection ended before the whole answer; ``has_begun`` if a byte had come."""

    def __init__(self, has_begun: bool, cause: Exception) -> None:
        super().__init__(repr(cause))
        self.has_begun = has_begun


class Answer(msgspec.Struct, frozen=True):
    """A whole answer; the names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def stays_open(self) -> bool:
        """Whether the connection can take another request."""
        return self.headers.get("connection", "").lower() != "close"


def request_bytes(
    path: str,
    request_id: str,
    body: bytes,
    deadline_s: float,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a whole request of the client account that all tests use."""
    fields = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Eelgrassward-Attempt-Id": request_id,
        "Eelgrassward-Deadline-Ms": str(int(deadline_s * 1000)),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a whole answer; raises :class:`AnswerCut`."""
    head = b""
    try:
        head = await reader.readuntil(HEAD_END)
        return await _read_rest(reader, head.decode())
    except (asyncio.IncompleteReadError, OSError) as error:
        partial = getattr(error, "partial", b"")
        raise AnswerCut(bool(head or partial), error) from error


async def _read_rest(reader: asyncio.StreamReader, head: str) -> Answer:
    status_line, *lines = head.split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    if headers.get("transfer-encoding") == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers["content-length"]))
    return Answer(int(status_line.split()[1]), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body
