"""Reads and removes the rows in which nodes record crashes of servers.

Each row in the platform's store says that one server crashed while it ran one request,
or requests with one part in their prompts.
"""

from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager, suppress

import msgspec

from eelgrass_coordination.ids import BackendId
from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.platform.names import CRASHES_TABLE
from eelgrass_node.platform.store import RowStore
from eelgrass_node.process.crash_table import Crash, decode_crash
from eelgrass_node.process.poison_parts import (
    PART_ROW_PREFIX,
    PartCrashRow,
    decode_part_row,
)
from eelgrass_node.process.quarantine import MAX_CRASHES
from eelgrass_node.process.store_tables import StoredRow

from .exceptions import StoreUnreadable

__all__ = ["RequestCrashes", "clear_request", "read_crashes"]


class RequestCrashes(msgspec.Struct, frozen=True):
    """The servers that crashed while they ran a request, in order of time.

    ``request`` may also be a part of prompts. ``last_ms`` is the time of the last
    crash, in Unix milliseconds.
    """

    request: str
    servers: tuple[BackendId, ...]
    last_ms: int

    @property
    def is_quarantined(self) -> bool:
        """Whether the crashes suffice for nodes to quarantine the request.

        Nodes do not quarantine it if other requests explain the crashes.
        """
        return len(self.servers) >= MAX_CRASHES


async def read_crashes(address: str) -> list[RequestCrashes]:
    """Return crashes by request, most crashes first; raises StoreUnreadable."""
    async with _open_store(address) as store:
        changes = await store.read_table(CRASHES_TABLE)
    crashes_by_request: dict[str, list[Crash | PartCrashRow]] = {}
    for _, crash in _decodable_rows(changes.rows):
        crashes_by_request.setdefault(crash.subject, []).append(crash)
    found = [
        _summarise(request, crashes) for request, crashes in crashes_by_request.items()
    ]
    return sorted(found, key=lambda crashes: (-len(crashes.servers), -crashes.last_ms))


async def clear_request(address: str, request: str) -> int:
    """Remove the rows of a request or part and return their number.

    Raises StoreUnreadable.
    """
    async with _open_store(address) as store:
        changes = await store.read_table(CRASHES_TABLE)
        keys = [
            key
            for key, crash in _decodable_rows(changes.rows)
            if crash.subject == request
        ]
        if keys:
            await store.write(CRASHES_TABLE, {}, keys)
    return len(keys)


@asynccontextmanager
async def _open_store(address: str) -> AsyncIterator[RowStore]:
    store = RowStore(address)
    try:
        yield store
    except StoreUnavailable as error:
        raise StoreUnreadable(address, str(error)) from error
    finally:
        await store.close()


def _decodable_rows(
    rows: Iterable[StoredRow],
) -> Iterator[tuple[str, Crash | PartCrashRow]]:
    """Yield key and crash of each row; nodes log rows that cannot be decoded."""
    for row in rows:
        is_part = row.key.startswith(PART_ROW_PREFIX)
        decode = decode_part_row if is_part else decode_crash
        with suppress(msgspec.MsgspecError):
            yield row.key, decode(row.value or b"")


def _summarise(request: str, crashes: list[Crash | PartCrashRow]) -> RequestCrashes:
    crashes.sort(key=lambda crash: crash.at_ms)
    return RequestCrashes(
        request, tuple(e.server.id for e in crashes), crashes[-1].at_ms
    )
