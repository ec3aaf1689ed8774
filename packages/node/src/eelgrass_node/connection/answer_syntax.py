"""What the bytes of an answer must be to count as one (RFC 9112).

The parsers of the client library are lenient, each in its own way: they accept statuses
and versions that do not exist, and guess where a body ends. All answers pass the
parsers of this module first, so that the same answers count with either of them. Heads
are normalized for the library, whose parsers differ in whitespace behind field values
and in the fields of interim answers.

An answer whose framing is ambiguous is malformed: one with several lengths, with a
length beside a transfer coding, or with a transfer coding other than ``chunked``, the
only one that this node can decode. So are folded lines and bare line feeds.
"""

import re
from enum import Enum
from http import HTTPStatus

import msgspec

from ..exceptions import AnswerMalformed

__all__ = ["MAX_HEAD_BYTES", "ChunkParser", "HeadParser", "ParsedHead"]

# All bytes up to the end of the head, with interim answers.
MAX_HEAD_BYTES = 1 << 16
MAX_LINE_BYTES = 1 << 13
MAX_FIELDS = 128
# Servers send one interim answer, if any.
MAX_INTERIM_ANSWERS = 8
# Lengths and sizes, in bytes, fit into a signed integer of 64 bits everywhere.
MAX_LENGTH_BYTES = (1 << 63) - 1
MAX_LENGTH_DIGITS = len(str(MAX_LENGTH_BYTES))
# How much of a malformed line an error message shows.
EXCERPT_BYTES = 60
LINE_END = b"\r\n"
VERSION_START = b"HTTP/1."

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
# The blank behind a status without a reason is often left out.
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: %s)?" % _TEXT)
_FIELD_LINE = re.compile(rb"(%s):(%s)" % (_TOKEN, _TEXT))
_EXTENSION = rb';%s(?:=(?:%s|"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\%s)*"))?' % (
    _TOKEN,
    _TOKEN,
    rb"[\t\x20-\x7e\x80-\xff]",
)
# Some servers pad sizes with blanks.
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:%s)*" % _EXTENSION)
# What the lines of a chunked body may begin with, by the state of its parser.
_SIZE_START = re.compile(rb"[0-9A-Fa-f]{1,16}[ \t]*(?:;%s)?\r?" % _TEXT)
_DATA_END_START = re.compile(rb"\r")
_TRAILER_START = re.compile(rb"%s(?::%s\r?)?|\r" % (_TOKEN, _TEXT))
_LENGTH = b"content-length"
_CODING = b"transfer-encoding"


class ParsedHead(msgspec.Struct, frozen=True):
    """A complete head, and how it delimits its body.

    ``data`` is the head for a parser: without blanks around the values of its fields,
    and without the fields of an interim answer. ``length`` is that of the body in
    bytes. A body with neither a length nor chunks ends with its connection.
    """

    data: bytes
    status: int
    length: int | None
    is_chunked: bool

    @property
    def is_final(self) -> bool:
        """Whether no other answer to the same request follows."""
        return self.status >= HTTPStatus.OK


class HeadParser:
    r"""Parses the heads of one answer: those of interim answers, and the final one.

    Bytes may come in any pieces. :meth:`feed` raises :class:`AnswerMalformed` at the
    first line that a head cannot have. For example::

        head, body = HeadParser().feed(b"HTTP/1.1 204 No Content\r\n\r\n")
    """

    def __init__(self) -> None:
        self._received_bytes = 0
        self._interim_answers = 0
        self._begin()

    def feed(self, data: bytes) -> tuple[ParsedHead | None, bytes]:
        """Return the next head, None if it is not complete, and the bytes behind it."""
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            line = self._line + data[start : end + 1]
            start, self._line = end + 1, b""
            if self._add(line):
                return self._complete(), data[start:]
        self._line += data[start:]
        self._check_start()
        return None, b""

    def _begin(self) -> None:
        self._line = b""
        # The lines for a parser, without their ends.
        self._lines: list[bytes] = []
        self._status = 0
        self._is_version_1_0 = False
        self._lengths: list[bytes] = []
        self._codings: list[bytes] = []

    def _add(self, line: bytes) -> bool:
        """Add a complete line; return whether it ends the head."""
        self._received_bytes += len(line)
        if self._received_bytes > MAX_HEAD_BYTES:
            raise AnswerMalformed(f"no answer in {self._received_bytes} bytes")
        text = _without_end(line)
        if not self._status:
            self._read_status(text)
        elif not text:
            return True
        else:
            self._read_field(text)
        return False

    def _read_status(self, text: bytes) -> None:
        found = _STATUS_LINE.fullmatch(text)
        if found is None:
            raise AnswerMalformed(f"status line {_excerpt(text)}")
        self._lines.append(text)
        self._is_version_1_0 = found[1] == b"0"
        self._status = int(found[2])
        if self._status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise AnswerMalformed("status 101 without a request to switch protocols")

    def _read_field(self, text: bytes) -> None:
        name, value = _parse_field(text)
        self._lines.append(name + b": " + value)
        if len(self._lines) > MAX_FIELDS + 1:
            raise AnswerMalformed(f"more than {MAX_FIELDS} header fields")
        if name.lower() == _LENGTH:
            self._lengths.append(value)
        elif name.lower() == _CODING:
            self._codings.append(value)

    def _complete(self) -> ParsedHead:
        is_interim = self._status < HTTPStatus.OK
        if is_interim:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise AnswerMalformed(f"{self._interim_answers} interim answers")
            if self._lengths or self._codings:
                raise AnswerMalformed("an interim answer with a body")
        lines = self._lines[:1] if is_interim else self._lines
        data = LINE_END.join((*lines, b"", b""))
        head = ParsedHead(data, self._status, self._length(), self._is_chunked())
        self._begin()
        return head

    def _length(self) -> int | None:
        if not self._lengths:
            return None
        if len(self._lengths) > 1 or self._codings:
            raise AnswerMalformed(
                "several Content-Length, or one beside Transfer-Encoding"
            )
        [value] = self._lengths
        is_number = value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
        if not is_number or int(value) > MAX_LENGTH_BYTES:
            raise AnswerMalformed(f"content length {_excerpt(value)}")
        return int(value)

    def _is_chunked(self) -> bool:
        if not self._codings:
            return False
        is_chunked = [value.lower() for value in self._codings] == [b"chunked"]
        if not is_chunked or self._is_version_1_0:
            raise AnswerMalformed(f"transfer coding {_excerpt(self._codings[0])}")
        return True

    def _check_start(self) -> None:
        """Check the beginning of a line, which may be all that a server sends."""
        _check_length(self._line)
        start = self._line[: len(VERSION_START)]
        if not self._status and not VERSION_START.startswith(start):
            raise AnswerMalformed(f"status line {_excerpt(self._line)}")


class ChunkState(Enum):
    """What comes next in a chunked body."""

    SIZE = "the size of a chunk"
    DATA = "the data of a chunk"
    DATA_END = "the end of a chunk"
    TRAILERS = "a trailer"
    END = "nothing"


_START_BY_STATE = {
    ChunkState.SIZE: _SIZE_START,
    ChunkState.DATA_END: _DATA_END_START,
    ChunkState.TRAILERS: _TRAILER_START,
}


class ChunkParser:
    """Follows the framing of a chunked body, up to the end of its trailers.

    The data of its chunks is not kept. Bytes may come in any pieces.
    """

    def __init__(self) -> None:
        self._state = ChunkState.SIZE
        self._line = b""
        self._data_left = 0
        self._trailers = 0

    def feed(self, data: bytes) -> int:
        """Return how many bytes belong to the body: all of them up to its end.

        Raises :class:`AnswerMalformed`.
        """
        position = 0
        while position < len(data) and self._state is not ChunkState.END:
            if self._state is ChunkState.DATA:
                position += self._skip_data(len(data) - position)
                continue
            end = data.find(b"\n", position) + 1
            self._line += data[position : end or len(data)]
            if not end:
                self._check_start()
                return len(data)
            position = end
            line, self._line = self._line, b""
            self._read_line(_without_end(line))
        return position

    def _skip_data(self, available: int) -> int:
        skipped = min(available, self._data_left)
        self._data_left -= skipped
        if not self._data_left:
            self._state = ChunkState.DATA_END
        return skipped

    def _read_line(self, text: bytes) -> None:
        if self._state is ChunkState.SIZE:
            found = _SIZE_LINE.fullmatch(text)
            size = MAX_LENGTH_BYTES + 1 if found is None else int(found[1], 16)
            if size > MAX_LENGTH_BYTES:
                raise AnswerMalformed(f"{self._state.value} {_excerpt(text)}")
            self._data_left = size
            self._state = ChunkState.DATA if size else ChunkState.TRAILERS
        elif self._state is ChunkState.DATA_END:
            if text:
                raise AnswerMalformed(f"{self._state.value} {_excerpt(text)}")
            self._state = ChunkState.SIZE
        elif text:
            name, _ = _parse_field(text)
            if name.lower() in (_LENGTH, _CODING):
                raise AnswerMalformed(f"framing in a trailer {_excerpt(text)}")
            self._trailers += 1
            if self._trailers > MAX_FIELDS:
                raise AnswerMalformed(f"more than {MAX_FIELDS} trailers")
        else:
            self._state = ChunkState.END

    def _check_start(self) -> None:
        """Check the beginning of a line."""
        _check_length(self._line)
        if not _START_BY_STATE[self._state].fullmatch(self._line):
            raise AnswerMalformed(f"{self._state.value} {_excerpt(self._line)}")


def _without_end(line: bytes) -> bytes:
    """Return a line without its end."""
    _check_length(line)
    if not line.endswith(LINE_END):
        raise AnswerMalformed(f"a bare line feed behind {_excerpt(line[:-1])}")
    return line[: -len(LINE_END)]


def _check_length(line: bytes) -> None:
    if len(line) > MAX_LINE_BYTES:
        raise AnswerMalformed(f"a line of more than {MAX_LINE_BYTES} bytes")


def _parse_field(text: bytes) -> tuple[bytes, bytes]:
    """Return the name and the value of a header field or trailer."""
    found = _FIELD_LINE.fullmatch(text)
    if found is None:
        raise AnswerMalformed(f"field line {_excerpt(text)}")
    return found[1], found[2].strip(b" \t")


def _excerpt(text: bytes) -> str:
    return repr(text[:EXCERPT_BYTES])
