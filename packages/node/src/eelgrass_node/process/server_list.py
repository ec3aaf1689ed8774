"""The backend servers as the platform's store lists them.

An entry that is removed means that its server is gone or leaves. While the
store was out of reach entries may lapse although their servers live; those are
back within two seconds of its return, so removals that are seen just after an
outage wait that long.

An entry that cannot be read names no server to use: the one under its id gets no
new work until it is listed again. One of an earlier life of its server, which a
delayed write may bring, changes nothing.
"""

import asyncio
from collections.abc import Callable

from eelgrass_coordination.ids import BackendId

from ..exceptions import ServerEntryMalformed
from ..log import Part, log
from .backends import Backends, BackendState, HostEntry, ServerIncarnation
from .store_tables import StoredRow

__all__ = ["ServerList"]

# Entries that lapsed in an outage are back within about 2 s of its end (the
# users' letter); the rest is the time in which a read sees them.
RELIST_DELAY_S = 2.6
# Starts that are remembered of servers that are no longer listed; a delayed
# write comes within seconds, in which a few dozen servers come and go.
MAX_REMEMBERED = 4096


class ServerList:
    """Keeps ``backends`` in line with the rows of the servers' table.

    ``decode`` turns a row's key and value into an entry. ``on_leaving`` is told
    the id of each server that is newly seen as leaving or gone.
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

    def apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in rows that changed."""
        for row in rows:
            server_id = BackendId(row.key)
            if row.value is None:
                self._missing(server_id)
            else:
                self._listed(server_id, row.value)
        self._apply()

    def apply_snapshot(self, keys: set[str]) -> None:
        """Take in which entries there are, after a whole read."""
        for server_id in self._entry_by_id.keys() - keys:
            self._missing(server_id)
        self._apply()

    def on_outage_end(self) -> None:
        """Note that the store answers again after an outage."""
        self._outage_ended_at = _now()

    def forget(self, incarnation: ServerIncarnation) -> None:
        """Drop a server whose address belongs to another one by now."""
        entry = self._entry_by_id.get(incarnation.id)
        if entry is not None and entry.incarnation == incarnation:
            del self._entry_by_id[incarnation.id]
            log(
                Part.HOSTS,
                "A server was replaced at its address.",
                backend=incarnation.id,
            )
            self._apply()

    def _listed(self, server_id: BackendId, value: bytes) -> None:
        try:
            entry = self._decode(server_id, value)
        except ServerEntryMalformed as error:
            log(Part.HOSTS, "An entry is not taken.", error=str(error))
            self._remove_at.pop(server_id, None)
            self._entry_by_id.pop(server_id, None)
            return
        if entry.started < self._newest_start_by_id.get(server_id, 0):
            log(
                Part.HOSTS,
                "An entry of an earlier life is not taken.",
                backend=server_id,
                started=entry.started,
                known=self._newest_start_by_id[server_id],
            )
            return
        self._remember(entry)
        self._remove_at.pop(server_id, None)
        known = self._entry_by_id.get(server_id)
        self._entry_by_id[server_id] = entry
        if known is None or (known.state, known.incarnation) != (
            entry.state,
            entry.incarnation,
        ):
            log(
                Part.HOSTS,
                "A server is listed.",
                backend=server_id,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
                started=entry.started,
            )
            if entry.state is BackendState.LEAVING:
                self._on_leaving(server_id)

    def _remember(self, entry: HostEntry) -> None:
        """Remember the start of a server, also for when it is no longer listed."""
        starts = self._newest_start_by_id
        starts.pop(entry.id, None)
        starts[entry.id] = entry.started
        if len(starts) > MAX_REMEMBERED:
            oldest = next((i for i in starts if i not in self._entry_by_id), None)
            if oldest is not None:
                del starts[oldest]

    def _missing(self, server_id: BackendId) -> None:
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
            log(Part.HOSTS, "A server is gone from the list.", backend=server_id)
            self._on_leaving(server_id)

    def _apply(self) -> None:
        self._backends.update(list(self._entry_by_id.values()))


def _now() -> float:
    return asyncio.get_running_loop().time()
