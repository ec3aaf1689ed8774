"""Stands where the list of servers does, for tests of the path of its rows."""

from collections.abc import Callable

from eelgrass_node.process.store_tables import StoredRow

__all__ = ["RecordingServerList"]


class RecordingServerList:
    """Tells each row that is taken with its version, one that is gone with None."""

    def __init__(self, record: Callable[[str, int | None], None]) -> None:
        self._record = record
        self._listed: set[str] = set()

    def apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in rows that changed."""
        for row in rows:
            if row.value is not None:
                self._listed.add(row.key)
                self._record(row.key, row.version)
            else:
                self._remove(row.key)

    def apply_snapshot(self, keys: set[str]) -> None:
        """Take in which rows there are."""
        for key in self._listed - keys:
            self._remove(key)

    def on_outage_end(self) -> None:
        """Take no notice: nothing lapses here."""

    def _remove(self, key: str) -> None:
        if key in self._listed:
            self._listed.remove(key)
            self._record(key, None)
