"""Data centres that the operator empties: their servers get no new work.

The pattern it answers: a data centre is emptied before work on its power or network,
and given back minutes or hours later. A row of the operator's table names it for as
long as it is to be empty. What runs there ends by itself.

News of one row may come twice, late and from several sides; what belongs to the newest
version of the row holds. Other nodes tell of a row before the store does, or while it
is out of reach; what they tell holds until this node's own table is complete to that
version.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from eelgrass_coordination.ids import DataCentre

from ...log import Part, log
from ..store_tables import StoredRow

__all__ = ["Evacuations"]

# How long another node's word holds against a store that is in reach and does not say
# so itself: changes are in force within a few seconds.
GOSSIP_VALID_S = 6.0


class _Word(msgspec.Struct, frozen=True):
    """What the row of a data centre says, as of a version; ``at`` is when it came."""

    version: int
    is_evacuated: bool
    at: float


class Evacuations:
    """Which data centres are being emptied.

    ``prefix`` begins the keys of the operator's rows. ``complete_to`` returns the
    version up to which this node knows the operator's table, and ``store_reachable``
    whether it can read it now. ``clock`` returns seconds.
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
        self._read_by_data_centre: dict[DataCentre, _Word] = {}
        self._told_by_data_centre: dict[DataCentre, _Word] = {}
        self.since_by_data_centre: dict[DataCentre, float] = {}
        # Told of each data centre that begins or ends to be emptied.
        self.on_begin: Callable[[DataCentre], None] = lambda data_centre: None
        self.on_end: Callable[[DataCentre], None] = lambda data_centre: None
        # Told of each word that was read, for other nodes.
        self.on_read: Callable[[DataCentre, int, bool], None] = lambda *word: None

    def is_evacuated(self, data_centre: DataCentre) -> bool:
        """Return whether the servers of a data centre get no new work."""
        return data_centre in self.since_by_data_centre

    def apply_rows(self, rows: Iterable[StoredRow]) -> None:
        """Take in rows of the operator's table; others than these are left alone.

        That the row is there is what counts. Its value says nothing.
        """
        for row in rows:
            data_centre = self._data_centre_of(row.key)
            if data_centre is not None:
                self._read(data_centre, row.version, row.value is not None)

    def apply_snapshot(self, keys: set[str]) -> None:
        """Take in which rows there are, after a whole read."""
        listed = {self._data_centre_of(key) for key in keys}
        for data_centre, word in list(self._read_by_data_centre.items()):
            if word.is_evacuated and data_centre not in listed:
                version = max(word.version, self._complete_to())
                self._read(data_centre, version, False)
        self._apply_all()

    def apply_gossip(
        self, data_centre: DataCentre, version: int, is_evacuated: bool
    ) -> None:
        """Take in what another node has read."""
        known = self._told_by_data_centre.get(data_centre)
        if known is not None and known.version >= version:
            return
        word = _Word(version, is_evacuated, self._clock())
        self._told_by_data_centre[data_centre] = word
        self._apply(data_centre)
        self._look_again()

    def on_store_return(self) -> None:
        """Note that the store can be read again; what others told lapses soon."""
        self._look_again()

    def _look_again(self) -> None:
        """Look once what was told should have come from the store, too."""
        asyncio.get_running_loop().call_later(GOSSIP_VALID_S, self._apply_all)

    def _data_centre_of(self, key: str) -> DataCentre | None:
        name = key.removeprefix(self._prefix)
        return DataCentre(name) if name and name != key else None

    def _read(self, data_centre: DataCentre, version: int, is_evacuated: bool) -> None:
        known = self._read_by_data_centre.get(data_centre)
        if known is not None and known.version >= version:
            return
        word = _Word(version, is_evacuated, self._clock())
        self._read_by_data_centre[data_centre] = word
        self._apply(data_centre)
        self.on_read(data_centre, version, is_evacuated)

    def _apply_all(self) -> None:
        places = self._read_by_data_centre.keys() | self._told_by_data_centre.keys()
        for data_centre in places:
            self._apply(data_centre)

    def _apply(self, data_centre: DataCentre) -> None:
        word, source = self._word(data_centre)
        is_evacuated = word is not None and word.is_evacuated
        if is_evacuated == self.is_evacuated(data_centre):
            return
        version = -1 if word is None else word.version
        if is_evacuated:
            self.since_by_data_centre[data_centre] = self._clock()
            self._log("A data centre is being emptied.", data_centre, version, source)
            self.on_begin(data_centre)
            return
        del self.since_by_data_centre[data_centre]
        self._log("A data centre is in use again.", data_centre, version, source)
        self.on_end(data_centre)

    def _word(self, data_centre: DataCentre) -> tuple[_Word | None, str]:
        """Return what holds of a data centre, and from where it is known."""
        read = self._read_by_data_centre.get(data_centre)
        told = self._told_by_data_centre.get(data_centre)
        if told is not None and self._counts(told, read):
            return told, "another node"
        return read, "store"

    def _counts(self, told: _Word, read: _Word | None) -> bool:
        if told.version <= max(self._complete_to(), read.version if read else -1):
            return False
        return not self._store_reachable() or self._clock() - told.at < GOSSIP_VALID_S

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
