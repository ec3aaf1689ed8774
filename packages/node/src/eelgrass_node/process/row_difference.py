"""What has changed in a large row, for nodes that have the row before it.

The pattern it answers: the operator's configuration is one row, written whole with
every change. With 1,564 routes it has 0.64 MB, and each node got all of that for a
change of one timeout: 65 kB when compressed, where 0.3 kB tell it.

Values are cut into chunks at each ``{``, with which the objects of a JSON text begin.
Where the new value has chunks of the one before, in runs, only the runs are named.

Example::

    difference = difference_of(before, row)
    assert with_difference(before, difference) == row
"""

from functools import lru_cache
from hashlib import blake2b

import msgspec

from ..exceptions import DifferenceMismatch
from .store_tables import StoredRow

__all__ = ["RowDifference", "compute_difference", "apply_difference"]

CHUNK_BEGINS = b"{"
DIGEST_BYTES = 16
# Followers ask for the same changes at the same time.
KEPT_DIFFERENCES = 2


class _Part(msgspec.Struct, frozen=True, array_like=True):
    """Bytes that are new, if any, and then a run of chunks of the value before."""

    new: bytes | None
    first: int
    count: int


class RowDifference(msgspec.Struct, frozen=True):
    """How the row of ``version`` follows from the one of ``base_version``.

    ``digest`` is that of the value that must result.
    """

    key: str
    version: int
    base_version: int
    digest: bytes
    parts: tuple[_Part, ...]


@lru_cache(maxsize=KEPT_DIFFERENCES)
def compute_difference(before: StoredRow, row: StoredRow) -> RowDifference:
    """Return what makes ``row`` of ``before``; both have a value."""
    base = before.value.split(CHUNK_BEGINS)
    parts = _parts(base, row.value.split(CHUNK_BEGINS))
    return RowDifference(
        row.key, row.version, before.version, _digest(row.value), tuple(parts)
    )


def apply_difference(before: StoredRow | None, difference: RowDifference) -> StoredRow:
    """Return the row that a difference makes of the one before it.

    Raises :class:`DifferenceMismatch` where ``before`` is not the row that is meant.
    """
    if before is None or before.value is None:
        raise DifferenceMismatch(difference.key, "the row before it is not known")
    if before.version != difference.base_version:
        raise DifferenceMismatch(difference.key, f"version {before.version} is known")
    base = before.value.split(CHUNK_BEGINS)
    pieces: list[bytes] = []
    for part in difference.parts:
        if part.new is not None:
            pieces.append(part.new)
        if part.count:
            run = base[part.first : part.first + part.count]
            pieces.append(CHUNK_BEGINS.join(run))
    value = CHUNK_BEGINS.join(pieces)
    if _digest(value) != difference.digest:
        raise DifferenceMismatch(difference.key, "another value results")
    return StoredRow(difference.key, difference.version, value)


def _parts(base: list[bytes], chunks: list[bytes]) -> list[_Part]:
    """Return the parts that make ``chunks`` of those of ``base``."""
    first_by_chunk: dict[bytes, int] = {}
    for number, chunk in enumerate(base):
        first_by_chunk.setdefault(chunk, number)
    parts: list[_Part] = []
    at = 0
    while at < len(chunks):
        begin = at
        while at < len(chunks) and chunks[at] not in first_by_chunk:
            at += 1
        new = CHUNK_BEGINS.join(chunks[begin:at]) if at > begin else None
        first = first_by_chunk[chunks[at]] if at < len(chunks) else 0
        count = _run_length(base, first, chunks, at)
        parts.append(_Part(new, first, count))
        at += count
    return parts


def _run_length(base: list[bytes], first: int, chunks: list[bytes], at: int) -> int:
    """Return how many chunks from ``at`` on are those of ``base`` from ``first``."""
    most = min(len(base) - first, len(chunks) - at)
    for count in range(most):
        if base[first + count] != chunks[at + count]:
            return count
    return most


def _digest(value: bytes) -> bytes:
    return blake2b(value, digest_size=DIGEST_BYTES).digest()
