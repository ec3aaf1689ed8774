"""Data centres that the operator has evacuated: their servers get no new work.

A data centre is evacuated before work on its power or network, and put back into use
minutes or hours later. A row of the operator's table names it for as long as it is
evacuated. Requests that are running there complete normally.

Updates of a row may arrive twice, late and from several sources; the newest version of
the row applies. Gossip from other nodes may arrive before the store's own update, or
while the store is unreachable. It applies until this node's copy of the table is
complete to that version.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from eelgrass_coordination.ids import DataCentre

from ...log import Part, log
from ..store_tables import StoredRow

__all__ = ["Evacuations"]

# How long gossip applies if the store is reachable and does not confirm it; changes
# take effect within a few seconds.
GOSSIP_VALID_S = 6.0


class _RowState(msgspec.Struct, frozen=True):
    """The row of a data centre as of a version, received at the time ``at``."""

    version: int
    is_evacuated: bool
    at: float


class Evacuations:
    """The evacuated data centres.

    ``prefix`` begins the keys of the rows. ``complete_to`` returns the version up to
    which this node's copy of the operator's table is complete, and ``store_reachable``
    whether the table can be read now. ``clock`` returns seconds.
    """

    def __init__(
        self,
        prefix: str,
        complete_to: Callable[[], int],
        store_reachable: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._prefix = prefix
        self._complete_to = complete_to
        self._store_reachable = store_reachable
        self._clock = clock
        self._read_by_data_centre: dict[DataCentre, _RowState] = {}
        self._gossip_by_data_centre: dict[DataCentre, _RowState] = {}
        self.since_by_data_centre: dict[DataCentre, float] = {}
        # Called with each data centre whose evacuation begins or ends.
        self.on_begin: Callable[[DataCentre], None] = lambda data_centre: None
        self.on_end: Callable[[DataCentre], None] = lambda data_centre: None
        # Called with each state that was read, to announce it to other nodes.
        self.on_read: Callable[[DataCentre, int, bool], None] = lambda *state: None

    def is_evacuated(self, data_centre: DataCentre) -> bool:
        """Return whether the servers of a data centre get no new work."""
        return data_centre in self.since_by_data_centre

    def newest(self) -> list[tuple[DataCentre, int, bool]]:
        """Return the newest known version of each row, and whether the row exists."""
        newest: dict[DataCentre, _RowState] = {}
        for known in (self._read_by_data_centre, self._gossip_by_data_centre):
            for data_centre, state in known.items():
                other = newest.get(data_centre)
                if other is None or other.version < state.version:
                    newest[data_centre] = state
        return [
            (data_centre, state.version, state.is_evacuated)
            for data_centre, state in newest.items()
        ]

    def apply_rows(self, rows: Iterable[StoredRow]) -> None:
        """Apply rows of the operator's table; rows of other kinds are ignored.

        Only the existence of a row counts, not its value.
        """
        for row in rows:
            data_centre = self._data_centre_of(row.key)
            if data_centre is not None:
                self._record_read(data_centre, row.version, row.value is not None)

    def apply_snapshot(self, keys: set[str]) -> None:
        """Apply the keys of all rows, after a full read."""
        listed = {self._data_centre_of(key) for key in keys}
        for data_centre, state in list(self._read_by_data_centre.items()):
            if state.is_evacuated and data_centre not in listed:
                version = max(state.version, self._complete_to())
                self._record_read(data_centre, version, False)
        self._apply_all()

    def apply_gossip(
        self, data_centre: DataCentre, version: int, is_evacuated: bool
    ) -> None:
        """Apply the state of a row that another node has read."""
        known = self._gossip_by_data_centre.get(data_centre)
        if known is not None and known.version >= version:
            return
        state = _RowState(version, is_evacuated, self._clock())
        self._gossip_by_data_centre[data_centre] = state
        self._apply(data_centre)
        self._schedule_recheck()

    def on_store_recovered(self) -> None:
        """Recheck gossip, which expires soon now that the store can be read again."""
        self._schedule_recheck()

    def _schedule_recheck(self) -> None:
        """Recheck once the store should have confirmed what other nodes announced."""
        asyncio.get_running_loop().call_later(GOSSIP_VALID_S, self._apply_all)

    def _data_centre_of(self, key: str) -> DataCentre | None:
        name = key.removeprefix(self._prefix)
        return DataCentre(name) if name and name != key else None

    def _record_read(
        self, data_centre: DataCentre, version: int, is_evacuated: bool
    ) -> None:
        known = self._read_by_data_centre.get(data_centre)
        if known is not None and known.version >= version:
            return
        state = _RowState(version, is_evacuated, self._clock())
        self._read_by_data_centre[data_centre] = state
        self._apply(data_centre)
        self.on_read(data_centre, version, is_evacuated)

    def _apply_all(self) -> None:
        data_centres = (
            self._read_by_data_centre.keys() | self._gossip_by_data_centre.keys()
        )
        for data_centre in data_centres:
            self._apply(data_centre)

    def _apply(self, data_centre: DataCentre) -> None:
        state, source = self._effective_state(data_centre)
        is_evacuated = state is not None and state.is_evacuated
        if is_evacuated == self.is_evacuated(data_centre):
            return
        version = -1 if state is None else state.version
        if is_evacuated:
            self.since_by_data_centre[data_centre] = self._clock()
            self._log("A data centre is being evacuated.", data_centre, version, source)
            self.on_begin(data_centre)
            return
        del self.since_by_data_centre[data_centre]
        self._log("A data centre is in use again.", data_centre, version, source)
        self.on_end(data_centre)

    def _effective_state(self, data_centre: DataCentre) -> tuple[_RowState | None, str]:
        """Return the effective state of a data centre, and its source."""
        read = self._read_by_data_centre.get(data_centre)
        gossip = self._gossip_by_data_centre.get(data_centre)
        if gossip is not None and self._is_gossip_valid(gossip, read):
            return gossip, "another node"
        return read, "store"

    def _is_gossip_valid(self, gossip: _RowState, read: _RowState | None) -> bool:
        if gossip.version <= max(self._complete_to(), read.version if read else -1):
            return False
        return not self._store_reachable() or self._clock() - gossip.at < GOSSIP_VALID_S

    def _log(
        self, sentence: str, data_centre: DataCentre, version: int, source: str
    ) -> None:
        log(
            Part.HOSTS,
            sentence,
            data_centre=data_centre,
            version=version,
            source=source,
        )
