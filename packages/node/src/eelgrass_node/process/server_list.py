"""The backend servers as listed in the platform's store.

The removal of an entry means that its server has terminated or is leaving. During an
outage of the store, entries may expire although their servers are running. Those are
written again within two seconds of its end, so removals that are seen just after an
outage are delayed by that long.

If an entry cannot be decoded, the server with its id gets no new work until it is
listed again. An entry of an earlier incarnation, which a delayed write may bring, is
ignored.
"""

import asyncio
from collections.abc import Callable

from eelgrass_coordination.ids import BackendId

from ..exceptions import ServerEntryMalformed
from ..log import Part, log
from .backends import Backends, BackendState, HostEntry, ServerIncarnation
from .store_tables import StoredRow

__all__ = ["ServerList"]

# Entries that expired during an outage are written again within about 2 s of its end;
# the rest is the time until a read sees them.
RELIST_DELAY_S = 2.6
# Start numbers that are remembered, also of servers that are no longer listed. A
# delayed write arrives within seconds, in which a few dozen servers come and go.
MAX_REMEMBERED = 4096


class ServerList:
    """Keeps ``backends`` in sync with the rows of the servers table.

    ``decode`` converts a row's key and value to an entry. ``on_leaving`` is called with
    the id of each server that is newly seen as leaving or removed.
    """

    def __init__(
        self,
        backends: Backends,
        decode: Callable[[str, bytes], HostEntry],
        on_leaving: Callable[[BackendId], None],
    ) -> None:
        self._backends = backends
        self._decode = decode
        self._on_leaving = on_leaving
        self._entry_by_id: dict[BackendId, HostEntry] = {}
        self._newest_start_by_id: dict[BackendId, int] = {}
        self._remove_at: dict[BackendId, float] = {}
        self._outage_ended_at = float("-inf")

    def apply_rows(
        self, rows: tuple[StoredRow, ...], acknowledged_after: float | None = None
    ) -> None:
        """Apply changed rows, which the store acknowledged after a time."""
        for row in rows:
            server_id = BackendId(row.key)
            if row.value is None:
                self._on_missing(server_id)
            else:
                self._on_listed(server_id, row.value, acknowledged_after)
        self._apply()

    def apply_snapshot(self, keys: set[str]) -> None:
        """Apply the keys of all entries, after a full read."""
        for server_id in self._entry_by_id.keys() - keys:
            self._on_missing(server_id)
        self._apply()

    def on_store_recovered(self) -> None:
        """Delay removals for a while, because the store answers again."""
        self._outage_ended_at = _now()

    def forget(self, incarnation: ServerIncarnation) -> None:
        """Remove a server whose address now belongs to another one."""
        entry = self._entry_by_id.get(incarnation.id)
        if entry is not None and entry.incarnation == incarnation:
            del self._entry_by_id[incarnation.id]
            log(
                Part.HOSTS,
                "A server was replaced at its address.",
                backend=incarnation.id,
            )
            self._apply()

    def _on_listed(
        self, server_id: BackendId, value: bytes, acknowledged_after: float | None
    ) -> None:
        try:
            entry = self._decode(server_id, value)
        except ServerEntryMalformed as error:
            log(
                Part.HOSTS,
                "A server entry is invalid; the server gets no new work.",
                error=str(error),
            )
            self._remove_at.pop(server_id, None)
            self._entry_by_id.pop(server_id, None)
            return
        if entry.started < self._newest_start_by_id.get(server_id, 0):
            log(
                Part.HOSTS,
                "An entry of an earlier incarnation is ignored.",
                backend=server_id,
                started=entry.started,
                known=self._newest_start_by_id[server_id],
            )
            return
        self._remember(entry)
        was_missing = self._remove_at.pop(server_id, None) is not None
        known = self._entry_by_id.get(server_id)
        self._entry_by_id[server_id] = entry
        if known is None or _identity(known) != _identity(entry):
            log(
                Part.HOSTS,
                "A server is listed.",
                backend=server_id,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
                started=entry.started,
                version=entry.version,
            )
            if entry.state is BackendState.LEAVING:
                # A server that was not listed just before may have left earlier.
                was_live = (
                    known is not None
                    and known.state is BackendState.LIVE
                    and known.incarnation == entry.incarnation
                    and not was_missing
                )
                since = acknowledged_after if was_live else None
                self._backends.mark_leaving(server_id, entry.started, since)
                self._on_leaving(server_id)

    def _remember(self, entry: HostEntry) -> None:
        """Remember the start number of a server, also after its removal."""
        starts = self._newest_start_by_id
        starts.pop(entry.id, None)
        starts[entry.id] = entry.started
        if len(starts) > MAX_REMEMBERED:
            oldest = next((i for i in starts if i not in self._entry_by_id), None)
            if oldest is not None:
                del starts[oldest]

    def _on_missing(self, server_id: BackendId) -> None:
        if server_id not in self._entry_by_id or server_id in self._remove_at:
            return
        wait_s = self._outage_ended_at + RELIST_DELAY_S - _now()
        if wait_s <= 0:
            self._remove(server_id)
            return
        self._remove_at[server_id] = _now() + wait_s
        asyncio.get_running_loop().call_later(wait_s, self._remove_if_due, server_id)

    def _remove_if_due(self, server_id: BackendId) -> None:
        if server_id in self._remove_at:
            self._remove(server_id)
            self._apply()

    def _remove(self, server_id: BackendId) -> None:
        self._remove_at.pop(server_id, None)
        if self._entry_by_id.pop(server_id, None) is not None:
            log(Part.HOSTS, "A server was removed from the list.", backend=server_id)
            self._on_leaving(server_id)

    def _apply(self) -> None:
        self._backends.update(list(self._entry_by_id.values()))


def _identity(entry: HostEntry) -> tuple:
    return (entry.state, entry.incarnation, entry.version)


def _now() -> float:
    return asyncio.get_running_loop().time()
