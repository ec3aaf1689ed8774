"""A replacement for the server list that records the rows applied to it."""

from collections.abc import Callable

from eelgrass_node.process.store_tables import StoredRow

__all__ = ["RecordingServerList"]


class RecordingServerList:
    """Calls ``record`` with the version of each applied row, or None for a removal.

    ``acknowledged_after`` holds the version of each row that changed and the time after
    which the store acknowledged it, None if that was not known.
    """

    def __init__(self, record: Callable[[str, int | None], None]) -> None:
        self._record = record
        self._listed: set[str] = set()
        self.acknowledged_after: list[tuple[int, float | None]] = []

    def apply_rows(
        self, rows: tuple[StoredRow, ...], acknowledged_after: float | None = None
    ) -> None:
        """Apply rows that changed."""
        for row in rows:
            self.acknowledged_after.append((row.version, acknowledged_after))
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
