"""A replacement for the server list that records the rows applied to it."""

from collections.abc import Callable

from eelgrass_node.process.store_tables import StoredRow

__all__ = ["RecordingServerList"]


class RecordingServerList:
    """Calls ``record`` with the version of each applied row, or None for a removal."""

    def __init__(self, record: Callable[[str, int | None], None]) -> None:
        self._record = record
        self._listed: set[str] = set()

    def apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply rows that changed."""
        for row in rows:
            if row.value is not None:
                self._listed.add(row.key)
                self._record(row.key, row.version)
            else:
                self._remove(row.key)

    def apply_snapshot(self, keys: set[str]) -> None:
        """Remove the servers that a full read does not contain."""
        for key in self._listed - keys:
            self._remove(key)

    def on_store_recovered(self) -> None:
        """Do nothing: entries do not expire here."""

    def _remove(self, key: str) -> None:
        if key in self._listed:
            self._listed.remove(key)
            self._record(key, None)
