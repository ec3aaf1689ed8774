"""Snapshots of the configuration in the object store.

Without them, a process that starts without peers would have to read every change since
the first. The node that commits a change writes the full snapshot as an object once
enough changes have accumulated, and then updates a row that names the newest snapshot.
The revision in that row never decreases.
"""

from typing import Protocol

import msgspec

from .configuration import Snapshot
from .exceptions import PlatformError
from .ids import Revision
from .json_decoding import decode_json
from .table import Condition, Row, RowKey, Table, Transaction, Write

__all__ = ["ObjectStore", "SnapshotStore"]

NEWEST = RowKey("configuration_snapshots", "newest")
SNAPSHOT_EVERY = 200


class ObjectStore(Protocol):
    """The operations that are needed of the platform's object store."""

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; raises :class:`PlatformError`."""

    async def get(self, name: str) -> bytes:
        """Read an object; raises :class:`PlatformError`."""


class SnapshotStore:
    """The snapshots of one configuration."""

    def __init__(
        self, table: Table, objects: ObjectStore, every: int = SNAPSHOT_EVERY
    ) -> None:
        self._table = table
        self._objects = objects
        self._every = every

    async def newest(self) -> Snapshot | None:
        """Read the newest snapshot; return None if there is none."""
        row = await self._newest_row()
        if row.value is None:
            return None
        body = await self._objects.get(_object_name(row.value["revision"]))
        return decode_json(body, Snapshot)

    async def save_if_due(self, snapshot: Snapshot) -> bool:
        """Write the snapshot if enough changes have been made since the last one.

        Returns whether it was written. A failure is harmless, since a later change
        tries again.
        """
        try:
            row = await self._newest_row()
            if snapshot.revision < _revision_in(row) + self._every:
                return False
            body = msgspec.json.encode(snapshot)
            await self._objects.put(_object_name(snapshot.revision), body)
            return await self._update_newest_row(row, snapshot.revision)
        except PlatformError:
            return False

    async def _newest_row(self) -> Row:
        (row,) = await self._table.read((NEWEST,))
        return row

    async def _update_newest_row(self, row: Row, revision: Revision) -> bool:
        transaction = Transaction(
            conditions=(Condition(NEWEST.table, NEWEST.key, row.version),),
            writes=(Write(NEWEST.table, NEWEST.key, {"revision": revision}),),
        )
        return (await self._table.commit(transaction)).committed


def _revision_in(row: Row) -> int:
    return row.value["revision"] if row.value else 0


def _object_name(revision: int) -> str:
    # The name holds the revision, so the content of an object never changes.
    return f"configuration/{revision:012d}.json"
