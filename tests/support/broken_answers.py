"""Answers with a broken head or a broken body, and sound ones that look unusual.

In all of them ``@`` stands for the signature and the id of a sound answer, and
``LEAK`` is what no caller may get of a broken one.
"""

import asyncio

from .raw_engine import Send

__all__ = [
    "BROKEN_BODIES",
    "BROKEN_HEADS",
    "LEAK",
    "TYPICAL_HEADS",
    "SOUND_ANSWERS",
    "sending",
]

LEAK = b"leaked"
# A connection that is not closed by then is closed by the engine.
HOLD_S = 0.3
SIZED = b"@X-Leak: leaked\r\nContent-Length: 6\r\n\r\nleaked"
UNSIZED = b"@X-Leak: leaked\r\n\r\nleaked"
CHUNKS = b"6\r\nleaked\r\n0\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"5\r\nhello\r\n"


def _status_line(line: bytes, rest: bytes = SIZED) -> bytes:
    return line + b"\r\n" + rest


def _field(line: bytes, rest: bytes = SIZED) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + line + b"\r\n" + rest


def _coded(*codings: bytes, body: bytes = CHUNKS) -> bytes:
    lines = b"".join(b"Transfer-Encoding: %s\r\n" % coding for coding in codings)
    return b"HTTP/1.1 200 OK\r\n@" + lines + b"\r\n" + body


def _lengths(*values: bytes) -> bytes:
    lines = b"".join(b"Content-Length: %s\r\n" % value for value in values)
    return b"HTTP/1.1 200 OK\r\n@X-Leak: leaked\r\n" + lines + b"\r\nleaked"


# One for each rule, for tests that take longer to set up.
TYPICAL_HEADS = {
    "status 000": _status_line(b"HTTP/1.1 000 OK"),
    "status 000 without a length": _status_line(b"HTTP/1.1 000 OK", UNSIZED),
    "status 600": _status_line(b"HTTP/1.1 600 OK"),
    "status 101": _status_line(b"HTTP/1.1 101 OK", b"@X-Leak: leaked\r\n\r\nleaked"),
    "version 2.0": _status_line(b"HTTP/2.0 200 OK"),
    "NUL in the reason": _status_line(b"HTTP/1.1 200 O\0K"),
    "blank in a name": _field(b"X Leak: leaked"),
    "control byte in a name": _field(b"X\x01Leak: leaked"),
    "indented first field": _field(b" X-Indented: leaked"),
    "unknown coding": _coded(b"xchunked", body=LEAK),
    "coding after chunked": _coded(b"chunked, identity", body=LEAK),
    "chunked twice": _coded(b"chunked, chunked"),
    "two lengths": _lengths(b"6", b"7"),
    "length without bounds": _lengths(b"9" * 40),
}
BROKEN_HEADS = {
    **TYPICAL_HEADS,
    "status 001": _status_line(b"HTTP/1.1 001 OK"),
    "status 099": _status_line(b"HTTP/1.1 099 OK"),
    "status 099 without a length": _status_line(b"HTTP/1.1 099 OK", UNSIZED),
    "status 999": _status_line(b"HTTP/1.1 999 OK"),
    "status of two digits": _status_line(b"HTTP/1.1 20 OK"),
    "status of four digits": _status_line(b"HTTP/1.1 2000 OK"),
    "status with a sign": _status_line(b"HTTP/1.1 +200 OK"),
    "status with letters": _status_line(b"HTTP/1.1 20x OK"),
    "status of other digits": _status_line("HTTP/1.1 ٢٠٠ OK".encode()),
    "no status": _status_line(b"HTTP/1.1"),
    "blanks before the status": _status_line(b"HTTP/1.1  200 OK"),
    "tab before the status": _status_line(b"HTTP/1.1\t200 OK"),
    "tab after the status": _status_line(b"HTTP/1.1 200\tOK"),
    "blank before the version": _status_line(b" HTTP/1.1 200 OK"),
    "version 0.9": _status_line(b"HTTP/0.9 200 OK"),
    "version 1.2": _status_line(b"HTTP/1.2 200 OK"),
    "version 3.0": _status_line(b"HTTP/3.0 200 OK"),
    "version 1": _status_line(b"HTTP/1 200 OK"),
    "version 11.1": _status_line(b"HTTP/11.1 200 OK"),
    "version 1.1.1": _status_line(b"HTTP/1.1.1 200 OK"),
    "version in lower case": _status_line(b"http/1.1 200 OK"),
    "another protocol": _status_line(b"ICY 200 OK"),
    "no text": b"\x16\x03\x01\x00\xa5\n\r\n\r\n",
    "leading empty line": _status_line(b"\r\nHTTP/1.1 200 OK"),
    "control byte in the reason": _status_line(b"HTTP/1.1 200 O\x01K"),
    "carriage return in the reason": _status_line(b"HTTP/1.1 200 O\rK"),
    "bare line feeds": b"HTTP/1.1 200 OK\n@X-Leak: leaked\nContent-Length: 6\n\nleaked",
    "bare line feed in a field": _field(b"X-Leak: leaked\nX-Other: leaked"),
    "NUL in a name": _field(b"X\0Leak: leaked"),
    "DEL in a name": _field(b"X\x7fLeak: leaked"),
    "delimiter in a name": _field(b"X(Leak): leaked"),
    "other letters in a name": _field("X-Läk: leaked".encode()),
    "blank before the colon": _field(b"X-Leak : leaked"),
    "tab before the colon": _field(b"X-Leak\t: leaked"),
    "no name": _field(b": leaked"),
    "no colon": _field(b"leaked"),
    "NUL in a value": _field(b"X-Leak: lea\0ked"),
    "control byte in a value": _field(b"X-Leak: leaked\x01"),
    "DEL in a value": _field(b"X-Leak: leaked\x7f"),
    "carriage return in a value": _field(b"X-Leak: lea\rked"),
    "folded line": _field(b"X-Leak: a\r\n leaked"),
    "line of blanks": _field(b"X-Leak: leaked\r\n \t"),
    "unsupported coding": _coded(b"gzip, chunked"),
    "other coding alone": _coded(b"gzip", body=LEAK),
    "coding of no change": _coded(b"identity", body=LEAK),
    "empty coding": _coded(b"", body=LEAK),
    "coding with a parameter": _coded(b"chunked;q=1"),
    "chunked in two fields": _coded(b"chunked", b"chunked"),
    "coding and length": _coded(b"chunked\r\nContent-Length: 16"),
    "length and coding": _coded(b"chunked").replace(
        b"Transfer", b"Content-Length: 16\r\nTransfer"
    ),
    "coding in version 1.0": _coded(b"chunked").replace(b"HTTP/1.1", b"HTTP/1.0"),
    "list of lengths that differ": _lengths(b"6, 7"),
    "length with a sign": _lengths(b"+6"),
    "negative length": _lengths(b"-6"),
    "length with a prefix": _lengths(b"0x6"),
    "length with a point": _lengths(b"6.0"),
    "length with an underscore": _lengths(b"0_6"),
    "length of other digits": _lengths("٦".encode()),
    "two numbers as a length": _lengths(b"6 6"),
    "empty length": _lengths(b""),
    "length of 64 bits": _lengths(b"%d" % (1 << 63)),
    "interim answer with a body": b"HTTP/1.1 100 Continue\r\nContent-Length: 6\r\n\r\n"
    + _status_line(b"HTTP/1.1 200 OK"),
    "broken answer behind an interim one": b"HTTP/1.1 100 Continue\r\n\r\n"
    + _status_line(b"HTTP/1.1 000 OK"),
}
# The head is sound, and so is the first chunk of most.
BROKEN_BODIES = {
    "no size": CHUNKED + PIECE + b"\r\nhello\r\n0\r\n\r\n",
    "letters as a size": CHUNKED + PIECE + b"zz\r\nhello\r\n0\r\n\r\n",
    "first size": CHUNKED + b"zz\r\nhello\r\n0\r\n\r\n",
    "size with a sign": CHUNKED + PIECE + b"+5\r\nhello\r\n0\r\n\r\n",
    "negative size": CHUNKED + PIECE + b"-5\r\nhello\r\n0\r\n\r\n",
    "size with a prefix": CHUNKED + PIECE + b"0x5\r\nhello\r\n0\r\n\r\n",
    "size with an underscore": CHUNKED + PIECE + b"0_5\r\nhello\r\n0\r\n\r\n",
    "blank before a size": CHUNKED + PIECE + b" 5\r\nhello\r\n0\r\n\r\n",
    "two sizes": CHUNKED + PIECE + b"5 5\r\nhello\r\n0\r\n\r\n",
    "size without bounds": CHUNKED + PIECE + b"f" * 20 + b"\r\nhello\r\n0\r\n\r\n",
    "size of 64 bits": CHUNKED + PIECE + b"8" + b"0" * 15 + b"\r\nhello\r\n0\r\n\r\n",
    "bare line feed behind a size": CHUNKED + PIECE + b"5\nhello\r\n0\r\n\r\n",
    "bare line feed behind a chunk": CHUNKED + PIECE + b"5\r\nhello\n0\r\n\r\n",
    "chunk longer than its size": CHUNKED + PIECE + b"3\r\nhello\r\n0\r\n\r\n",
    "chunk shorter than its size": CHUNKED + PIECE + b"9\r\nhello\r\n0\r\n\r\n",
    "control byte in an extension": CHUNKED + PIECE + b"5;a\x01\r\nhello\r\n0\r\n\r\n",
    "trailer without a colon": CHUNKED + PIECE + b"0\r\ntrailer\r\n\r\n",
    "trailer without a name": CHUNKED + PIECE + b"0\r\n: trailer\r\n\r\n",
    "blank in a trailer's name": CHUNKED + PIECE + b"0\r\nX Trailer: a\r\n\r\n",
    "length in a trailer": CHUNKED + PIECE + b"0\r\nContent-Length: 5\r\n\r\n",
    "start of a size": CHUNKED + PIECE + b"\r",
    "start of a trailer": CHUNKED + PIECE + b"0\r\n\x1c",
    "NUL in a trailer": CHUNKED + PIECE + b"0\r\nX-Trailer: \0\r\n\r\n",
    "folded trailer": CHUNKED + PIECE + b"0\r\nX-Trailer: a\r\n b\r\n\r\n",
    "bare line feed behind a trailer": CHUNKED + PIECE + b"0\r\nX-Trailer: a\n\r\n",
    "cut inside a chunk": CHUNKED + PIECE + b"5\r\nhe",
    "cut before the last chunk": CHUNKED + PIECE,
    "cut inside the trailers": CHUNKED + PIECE + b"0\r\nX-Trailer: a\r\n",
}


def _sound(head: bytes) -> bytes:
    return head + b"@Content-Length: 5\r\n\r\nhello"


SOUND_ANSWERS = {
    "no reason": _sound(b"HTTP/1.1 200 \r\n"),
    "no reason and no blank": _sound(b"HTTP/1.1 200\r\n"),
    "reason in other letters": _sound("HTTP/1.1 200 Schön\r\n".encode()),
    "version 1.0": _sound(b"HTTP/1.0 200 OK\r\n"),
    "no length": b"HTTP/1.1 200 OK\r\n@\r\nhello",
    "no length in version 1.0": b"HTTP/1.0 200 OK\r\n@\r\nhello",
    "status 299": _sound(b"HTTP/1.1 299 OK\r\n"),
    "all marks in a name": _sound(b"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: a\r\n"),
    "empty value": _sound(b"HTTP/1.1 200 OK\r\nX-Empty:\r\n"),
    "tabs in a value": _sound(b"HTTP/1.1 200 OK\r\nX-Tabs:\ta\tb\t\r\n"),
    "value in other letters": _sound("HTTP/1.1 200 OK\r\nX: Schön\r\n".encode()),
    "long value": _sound(b"HTTP/1.1 200 OK\r\nX: %s\r\n" % (b"a" * 8000)),
    "many fields": _sound(b"HTTP/1.1 200 OK\r\n" + b"X: a\r\n" * 100),
    "fields of an upgrade": _sound(
        b"HTTP/1.1 200 OK\r\nConnection: upgrade\r\nUpgrade: websocket\r\n"
    ),
    "blanks around a length": b"HTTP/1.1 200 OK\r\n@Content-Length: \t 5 \r\n\r\nhello",
    "zeros before a length": b"HTTP/1.1 200 OK\r\n@content-length:005\r\n\r\nhello",
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n"
    + _sound(b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"),
    "chunks": CHUNKED + PIECE + b"0\r\n\r\n",
    "chunked in capitals": CHUNKED.replace(b"chunked", b" CHUNKED ")
    + PIECE
    + b"0\r\n\r\n",
    "tab behind chunked": CHUNKED.replace(b"chunked", b"chunked\t")
    + PIECE
    + b"0\r\n\r\n",
    "interim answer that closes": b"HTTP/1.1 103 Hints\r\nConnection: close\r\n\r\n"
    + _sound(b"HTTP/1.1 200 OK\r\n"),
    "interim answer with an upgrade": b"HTTP/1.1 100 Continue\r\n"
    b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    + _sound(b"HTTP/1.1 200 OK\r\n"),
    "several chunks": CHUNKED + b"2\r\nhe\r\n03\r\nllo\r\n000\r\n\r\n",
    "size in capitals": CHUNKED + b"000A\r\nhellohello\r\n0\r\n\r\n",
    "blanks behind a size": CHUNKED + b"5  \r\nhello\r\n0 \r\n\r\n",
    "extensions": CHUNKED + b'5;a;b=c;d="e f"\r\nhello\r\n0;a\r\n\r\n',
    "trailers": CHUNKED + PIECE + b"0\r\nX-Trailer: a\r\nX-Empty:\r\n\r\n",
    "line ends in a chunk": CHUNKED + b"9\r\n\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n",
}


def sending(answer: bytes, closed: list[bool] | None = None) -> Send:
    """Return how an engine sends an answer and waits for the end of its connection.

    ``closed`` gets for each whether the peer has closed the connection.
    """

    async def send(head, body, reader, writer) -> bool:
        fields = head.partition(b"\r\n")[2]
        is_closed = True
        try:
            writer.write(answer.replace(b"@", fields, 1))
            async with asyncio.timeout(HOLD_S):
                await reader.read()
        except TimeoutError:
            is_closed = False
        except OSError:
            pass
        if closed is not None:
            closed.append(is_closed)
        return False

    return send
