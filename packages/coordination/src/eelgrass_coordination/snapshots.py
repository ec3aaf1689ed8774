"""Snapshots of the configuration in the object store.

A process that starts without peers would otherwise read every change since the
beginning. Now and then whoever commits a change writes the whole snapshot as
an object, and then a row that names the newest one. The row only moves forward.
"""

from typing import Protocol

import msgspec

from .configuration import Snapshot
from .exceptions import PlatformError
from .ids import Revision
from .table import Condition, Row, RowKey, Table, Transaction, Write

__all__ = ["ObjectStore", "SnapshotStore"]

NEWEST = RowKey("configuration_snapshots", "newest")
SNAPSHOT_EVERY = 200


class ObjectStore(Protocol):
    """What is needed of the platform's object store."""

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
        """Read the newest snapshot, None where there is none."""
        row = await self._newest_row()
        if row.value is None:
            return None
        body = await self._objects.get(_object_name(row.value["revision"]))
        return msgspec.json.decode(body, type=Snapshot)

    async def save_if_due(self, snapshot: Snapshot) -> bool:
        """Write the snapshot if enough changes came since the last one.

        Nothing is lost where it fails: a later change tries again.
        """
        try:
            row = await self._newest_row()
            if snapshot.revision < _revision_of(row) + self._every:
                return False
            body = msgspec.json.encode(snapshot)
            await self._objects.put(_object_name(snapshot.revision), body)
            return await self._move_row(row, snapshot.revision)
        except PlatformError:
            return False

    async def _newest_row(self) -> Row:
        (row,) = await self._table.read((NEWEST,))
        return row

    async def _move_row(self, row: Row, revision: Revision) -> bool:
        transaction = Transaction(
            conditions=(Condition(NEWEST.table, NEWEST.key, row.version),),
            writes=(Write(NEWEST.table, NEWEST.key, {"revision": revision}),),
        )
        return (await self._table.commit(transaction)).committed


def _revision_of(row: Row) -> int:
    return row.value["revision"] if row.value else 0


def _object_name(revision: int) -> str:
    # An object is written once: a name never gets another content.
    return f"configuration/{revision:012d}.json"
