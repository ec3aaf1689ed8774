"""The ends of servers under requests, as the platform's store keeps them."""

from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager, suppress

import msgspec

from eelgrass_coordination.ids import BackendId
from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.platform.names import CRASHES_TABLE
from eelgrass_node.platform.store import RowStore
from eelgrass_node.process.crash_table import Crash, decode_crash
from eelgrass_node.process.quarantine import MAX_CRASHES
from eelgrass_node.process.store_tables import StoredRow

from .exceptions import StoreUnreadable

__all__ = ["RequestCrashes", "clear_request", "read_crashes"]


class RequestCrashes(msgspec.Struct, frozen=True):
    """The servers that ended under a request, the first one first.

    ``last_ms`` is the time of the last end, in Unix milliseconds.
    """

    request: str
    servers: tuple[BackendId, ...]
    last_ms: int

    @property
    def is_quarantined(self) -> bool:
        """Whether nodes send the request to no server, unless others explain it."""
        return len(self.servers) >= MAX_CRASHES


async def read_crashes(address: str) -> list[RequestCrashes]:
    """Read the store, requests with most ends first; raises StoreUnreadable."""
    async with _opened(address) as store:
        changes = await store.read_table(CRASHES_TABLE)
    ends_by_request: dict[str, list[Crash]] = {}
    for _, end in _readable(changes.rows):
        ends_by_request.setdefault(end.request, []).append(end)
    found = [_summed_up(request, ends) for request, ends in ends_by_request.items()]
    return sorted(found, key=lambda ends: (-len(ends.servers), -ends.last_ms))


async def clear_request(address: str, request: str) -> int:
    """Remove the rows of a request; return how many. Raises StoreUnreadable."""
    async with _opened(address) as store:
        changes = await store.read_table(CRASHES_TABLE)
        keys = [key for key, end in _readable(changes.rows) if end.request == request]
        if keys:
            await store.write(CRASHES_TABLE, {}, keys)
    return len(keys)


@asynccontextmanager
async def _opened(address: str) -> AsyncIterator[RowStore]:
    store = RowStore(address)
    try:
        yield store
    except StoreUnavailable as error:
        raise StoreUnreadable(address, str(error)) from error
    finally:
        await store.close()


def _readable(rows: Iterable[StoredRow]) -> Iterator[tuple[str, Crash]]:
    """Return key and end of each row; nodes log those that cannot be read."""
    for row in rows:
        with suppress(msgspec.MsgspecError):
            yield row.key, decode_crash(row.value or b"")


def _summed_up(request: str, ends: list[Crash]) -> RequestCrashes:
    ends.sort(key=lambda end: end.at_ms)
    return RequestCrashes(request, tuple(e.server.id for e in ends), ends[-1].at_ms)
