"""The software versions of services that hosts have listed, kept in the store.

The list of servers does not say which versions were removed from it. A host that has
just started, while no other one runs that knows, would take the versions that are
listed for the only ones that can have begun a stream.

Each row states one version of one service. Hosts follow its table anyway. All of them
write the same rows, so one writes at once, and the others only if it did not.
"""

import asyncio
import sys
from collections.abc import Callable, Iterator
from hashlib import blake2b

import msgspec

from eelgrass_coordination import JsonDecoder
from eelgrass_coordination.ids import SoftwareVersion

from ...log import Part, log
from ...version.deployment import ServiceName

__all__ = ["VERSION_ROW_PREFIX", "VersionRoster", "VersionRow"]

VERSION_ROW_PREFIX = "version-"
DIGEST_BYTES = 12
# Hosts that start together know each other by then, and choose one writer.
WRITE_DELAY_S = 0.5
# A row that another host has written is seen within this time.
NEXT_WRITER_DELAY_S = 2.0
# Rows of versions are the last to be removed when the table is full.
RETENTION_RANK = sys.maxsize


class VersionRow(msgspec.Struct, frozen=True):
    """A version that servers of a service have or had, with times in Unix milliseconds.

    ``removed_ms`` is None while servers of the version are listed.
    """

    service: ServiceName
    version: SoftwareVersion
    listed_ms: int
    removed_ms: int | None = None

    @property
    def at_ms(self) -> int:
        """The time that decides when the row is outdated."""
        return sys.maxsize if self.removed_ms is None else self.removed_ms


_decoder = JsonDecoder(VersionRow)


class VersionRoster:
    """The rows that this host has read, and those that it has to write.

    ``listed`` returns the versions of a service in the list of servers, ``is_current``
    whether both the list and the table were read, and ``rank`` the place of this host
    among those that may write a key. ``write`` queues a row.
    """

    def __init__(
        self,
        listed: Callable[[str], frozenset[SoftwareVersion]],
        is_current: Callable[[], bool],
        rank: Callable[[str], int],
        write: Callable[[str, VersionRow], None],
        unix_ms: Callable[[], int],
    ) -> None:
        self._listed = listed
        self._is_current = is_current
        self._rank = rank
        self._write = write
        self._unix_ms = unix_ms
        self._row_by_key: dict[str, VersionRow] = {}
        self._timer_by_service: dict[str, asyncio.TimerHandle] = {}

    def decode(self, value: bytes) -> VersionRow:
        """Decode the value of a row; raises :class:`msgspec.MsgspecError`."""
        return _decoder.decode(value)

    def record(self, row: VersionRow, age_s: float) -> None:
        """Apply a row of the table."""
        self._row_by_key[row_key(row.service, row.version)] = row
        self.servers_changed(row.service)

    def forget(self, key: str) -> None:
        """Apply the removal of a row."""
        row = self._row_by_key.pop(key, None)
        if row is not None:
            self.servers_changed(row.service)

    def retention_rank(self, row: VersionRow) -> int:
        """Return how much a row matters: more than crashes."""
        return RETENTION_RANK

    def servers_changed(self, service: str) -> None:
        """Write the rows of a service soon, if they differ from the list of servers."""
        if service not in self._timer_by_service and self._outdated(service):
            self._schedule(service, WRITE_DELAY_S)

    def stop(self) -> None:
        """Write no more rows."""
        for timer in self._timer_by_service.values():
            timer.cancel()
        self._timer_by_service.clear()

    def versions(self, service: str, since_ms: int) -> frozenset[SoftwareVersion]:
        """Return the versions of which a server may have been listed since a time."""
        return frozenset(
            row.version
            for row in self._rows(service)
            if row.removed_ms is None or row.removed_ms >= since_ms
        )

    def was_kept(self, service: str, since_ms: int | None = None) -> bool:
        """Return whether hosts have kept the rows of a service, since then if given."""
        if not self._is_current():
            return False
        rows = self._rows(service)
        return any(since_ms is None or row.listed_ms <= since_ms for row in rows)

    def _update(self, service: str, has_waited: bool = False) -> None:
        del self._timer_by_service[service]
        rank = 0 if has_waited else self._rank(service)
        if not self._is_current():
            self._schedule(service, WRITE_DELAY_S)
        elif rank:
            # By then the row of a host before this one has arrived.
            self._schedule(service, rank * NEXT_WRITER_DELAY_S, has_waited=True)
        else:
            for row in self._outdated(service):
                self._put(row)

    def _schedule(self, service: str, delay_s: float, has_waited: bool = False) -> None:
        self._timer_by_service[service] = asyncio.get_running_loop().call_later(
            delay_s, self._update, service, has_waited
        )

    def _outdated(self, service: str) -> list[VersionRow]:
        """Return the rows that are to be written, so that they agree with the list."""
        now_ms = self._unix_ms()
        listed = self._listed(service)
        rows: list[VersionRow] = []
        for version in listed:
            known = self._row_by_key.get(row_key(service, version))
            if known is None:
                rows.append(VersionRow(ServiceName(service), version, now_ms))
            elif known.removed_ms is not None:
                rows.append(msgspec.structs.replace(known, removed_ms=None))
        rows += [
            msgspec.structs.replace(row, removed_ms=now_ms)
            for row in self._rows(service)
            if row.version not in listed and row.removed_ms is None
        ]
        return rows

    def _put(self, row: VersionRow) -> None:
        log(
            Part.STORE,
            "A software version is recorded.",
            service=row.service,
            version=row.version,
            listed_ms=row.listed_ms,
            removed_ms=row.removed_ms,
        )
        self._write(row_key(row.service, row.version), row)

    def _rows(self, service: str) -> Iterator[VersionRow]:
        return (row for row in self._row_by_key.values() if row.service == service)


def row_key(service: str, version: str) -> str:
    """Return the key of a version's row; names may be as long as a key may be."""
    text = msgspec.json.encode((service, version))
    digest = blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
    return VERSION_ROW_PREFIX + digest
