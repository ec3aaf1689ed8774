"""Stores the costs of this process in the platform's object store.

One object per process holds its sums so far. Each write replaces it completely, so a
repeated or lost write is harmless. A row of the table service names each object, so
that the costs of all processes can be found.
"""

import asyncio

import msgspec

from eelgrass_coordination import (
    ObjectStore,
    RowKey,
    Table,
    Transaction,
    Write,
    decode_json,
)
from eelgrass_coordination.exceptions import PlatformError
from eelgrass_coordination.ids import Incarnation, NodeId

from ..log import Part, log
from .costs import CostKey, CostLedger, CostRow, add_up

__all__ = ["CostStore"]

COST_OBJECTS = "cost_objects"
PAGE_ROWS = 500


class CostStore:
    """Writes this process's costs periodically, and reads those of all processes."""

    def __init__(
        self,
        ledger: CostLedger,
        table: Table,
        objects: ObjectStore,
        node: NodeId,
        incarnation: Incarnation,
        interval_s: float,
    ) -> None:
        self._ledger = ledger
        self._table = table
        self._objects = objects
        self._object_name = f"costs/{node}/{incarnation}.json"
        self._interval_s = interval_s
        self._is_registered = False
        self._stored = b""

    async def run(self) -> None:
        """Store the costs periodically until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            await self.store()

    async def store(self) -> bool:
        """Store the sums if they changed; return whether they are stored."""
        body = msgspec.json.encode(self._ledger.rows())
        if body in (self._stored, b"[]"):
            return True
        try:
            await self._objects.put(self._object_name, body)
            if not self._is_registered:
                await self._register_object()
        except PlatformError as error:
            log(Part.COSTS, "Could not store this process's costs.", error=str(error))
            return False
        self._stored = body
        return True

    async def read_all(self) -> list[CostRow]:
        """Return the sums over all processes whose costs are stored."""
        by_key: dict[CostKey, CostRow] = {}
        after = ""
        while rows := await self._table.scan(COST_OBJECTS, after, PAGE_ROWS):
            for row in rows:
                body = await self._objects.get(row.key)
                add_up(by_key, decode_json(body, list[CostRow]))
            after = rows[-1].key
        return sorted(by_key.values(), key=CostRow.order)

    async def _register_object(self) -> None:
        key = RowKey(COST_OBJECTS, self._object_name)
        write = Write(key.table, key.key, {"object": self._object_name})
        # Unconditional: a repeated write has the same effect.
        await self._table.commit(Transaction((), (write,)))
        self._is_registered = True
