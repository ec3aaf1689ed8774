"""The rows in which the store keeps the origins of streams.

A row states one origin as one start of one node has seen it. Rows do not depend on each
other, so writers need no coordination, and a call that the store carries out late
overwrites nothing.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from hashlib import blake2b
from typing import Protocol

import msgspec

from eelgrass_coordination import JsonDecoder

from ...log import Part, log
from ..store_tables import StoredRow
from .origin_table import StreamOrigin

__all__ = ["MAX_ENTRIES", "OriginRows", "encode", "key_range", "merged", "row_key"]

# The platform's limit on entries in one transaction.
MAX_ENTRIES = 100
# Ids of streams are callers' texts of any length.
STREAM_DIGEST_BYTES = 12
ROW_DIGEST_BYTES = 6
KEY_SEPARATOR = "-"
# The character after the separator.
RANGE_END = "."


class OriginRows(Protocol):
    """The table of origins in the store; methods raise :class:`StoreUnavailable`."""

    async def read(self, first_key: str, end_key: str) -> Sequence[StoredRow]:
        """Return the rows from ``first_key`` up to, and without, ``end_key``."""

    async def write(self, puts: Mapping[str, bytes], removes: Sequence[str]) -> None:
        """Write rows by key and remove others, in one atomic transaction."""


def row_key(stream: str, writer: str, origin: StreamOrigin) -> str:
    """Return the key of the row in which a writer states the origin of a stream."""
    row = msgspec.json.encode((writer, origin))
    return _digest(stream) + KEY_SEPARATOR + _hex_digest(row, ROW_DIGEST_BYTES)


def key_range(stream: str) -> tuple[str, str]:
    """Return the first key of a stream's rows, and the end of their range."""
    digest = _digest(stream)
    return digest + KEY_SEPARATOR, digest + RANGE_END


def merged(rows: Iterable[StoredRow]) -> StreamOrigin | None:
    """Return the origin that rows of one stream state, uncertain if they differ."""
    origins = set()
    for row in rows:
        try:
            origins.add(_decoder.decode(row.value or b""))
        except msgspec.MsgspecError as error:
            log(Part.STORE, "An origin row is invalid.", row=row.key, error=str(error))
    if len(origins) > 1:
        return StreamOrigin(next(iter(origins)).service, None)
    return next(iter(origins), None)


def _digest(stream: str) -> str:
    return _hex_digest(stream.encode(), STREAM_DIGEST_BYTES)


def _hex_digest(data: bytes, size: int) -> str:
    return blake2b(data, digest_size=size).hexdigest()


encode: Callable[[StreamOrigin], bytes] = msgspec.json.Encoder().encode
_decoder = JsonDecoder(StreamOrigin)
