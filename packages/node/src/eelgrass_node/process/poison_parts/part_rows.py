"""Rows of the crash table that say under which prompt parts servers crashed."""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from eelgrass_coordination import JsonDecoder
from eelgrass_coordination.ids import SoftwareVersion

from ..backends import ServerIncarnation
from ..crash_subjects import PartCrash, PartKey
from .part_quarantine import PartQuarantine

__all__ = [
    "PART_ROW_PREFIX",
    "PartCrashRow",
    "PartRows",
    "decode_part_row",
    "part_row_key",
]

PART_ROW_PREFIX = "part-"
KEY_SEPARATOR = "-"
DIGEST_BYTES = 4


class PartCrashRow(msgspec.Struct, frozen=True):
    """The crash of a server under one part, with its time in Unix milliseconds."""

    part: PartKey
    server: ServerIncarnation
    version: SoftwareVersion
    at_ms: int

    @property
    def subject(self) -> str:
        """The part, as what servers crashed under."""
        return self.part


_decoder = JsonDecoder(PartCrashRow)


def decode_part_row(value: bytes) -> PartCrashRow:
    """Decode the value of a row; raises :class:`msgspec.MsgspecError`."""
    return _decoder.decode(value)


class PartRows:
    """Applies rows of the table to a node's record of crashes under parts."""

    def __init__(self, quarantine: PartQuarantine) -> None:
        self._quarantine = quarantine

    def decode(self, value: bytes) -> PartCrashRow:
        """Decode the value of a row; raises :class:`msgspec.MsgspecError`."""
        return decode_part_row(value)

    def record(self, row: PartCrashRow, age_s: float) -> None:
        """Record the crash of a row."""
        crash = PartCrash(row.server, row.version, (row.part,))
        self._quarantine.record_crash(crash, age_s)

    def forget(self, key: str) -> None:
        """Forget the crash of a row that was removed."""
        part = PartKey(key.removeprefix(PART_ROW_PREFIX).partition(KEY_SEPARATOR)[0])
        for server in self._quarantine.crashed_servers(part):
            if part_row_key(part, server) == key:
                self._quarantine.exonerate(part, server)

    def retention_rank(self, row: PartCrashRow) -> int:
        """Return how much a row matters: how many servers crashed under its part."""
        return len(self._quarantine.crashed_servers(row.part))

    def rows_of(
        self, parts: Iterable[PartKey], now_ms: int
    ) -> list[tuple[str, PartCrashRow]]:
        """Return the rows, by key, of all crashes under some parts."""
        return [
            (part_row_key(part, server), self._row(part, server, now_ms))
            for part in parts
            for server in self._quarantine.crashed_servers(part)
        ]

    def _row(
        self, part: PartKey, server: ServerIncarnation, now_ms: int
    ) -> PartCrashRow:
        crash = self._quarantine.crash_of(part, server)
        at_ms = now_ms - int(self._quarantine.age_s(server) * 1000)
        return PartCrashRow(part, server, crash.version, at_ms)


def part_row_key(part: PartKey, server: ServerIncarnation) -> str:
    """Return a key of bounded length; server ids may be as long as a key may be."""
    text = f"{server.started} {server.id}".encode()
    digest = blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
    return f"{PART_ROW_PREFIX}{part}{KEY_SEPARATOR}{digest}"
