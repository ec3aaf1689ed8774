"""Nodes of one data centre before a store that turns some or all of them away."""

import asyncio
import itertools
from collections.abc import Iterable

import msgspec

from eelgrass_coordination import Member
from eelgrass_node.connection.table_feed import ANSWER_MARGIN_S
from eelgrass_node.exceptions import (
    HistoryGone,
    PeerUnreachable,
    StoreUnavailable,
)
from eelgrass_node.process.deployments import DeploymentInForce
from eelgrass_node.process.platform_tables import PlatformTables, TableNames
from eelgrass_node.process.store_backoff import (
    FULL_READ_RESPONSE_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
)
from eelgrass_node.process.store_tables import StoredRow, TableChanges
from eelgrass_node.process.table_relay import relay_of
from eelgrass_node.version.deployment import CallerLimits, Deployment

from .crashes import idle_crash_table
from .evacuated import idle_evacuations
from .members import member
from .recording_server_list import RecordingServerList
from .store_rows import PROPAGATION_DEADLINE_S

__all__ = ["Outage", "StoreSimulation"]

OPERATOR = "op"
SERVERS = "servers"
ANSWER_S = 0.004
# Between two nodes of a data centre.
HOP_S = 0.001


class Outage(msgspec.Struct, frozen=True):
    """From ``begin`` to ``end`` the store gives ``nodes`` no answer (None: nobody).

    Calls that it overlaps hang until their caller gives them up, or are refused at
    once.
    """

    begin: float
    end: float
    nodes: frozenset[str] | None = None
    refuses: bool = False

    def hits(self, node: str, begin: float, end: float) -> bool:
        """Return whether it overlaps a call of ``node``."""
        meant = self.nodes is None or node in self.nodes
        return meant and begin < self.end and end >= self.begin


class Store:
    """The rows of the store, and the calls that nodes make."""

    def __init__(self, outages: Iterable[Outage]) -> None:
        self.outages = tuple(outages)
        self.calls = 0
        self._version = 0
        self._oldest = 0
        self._row_by_key: dict[tuple[str, str], StoredRow] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it."""
        self._version += 1
        self._row_by_key[table, key] = StoredRow(key, self._version, value)
        self._wake()

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self._version += 1
        self._oldest = self._version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, node: str, table: str) -> TableChanges:
        """Answer a whole read."""
        await self._answer(node, table, _now(), FULL_READ_RESPONSE_TIMEOUT_S)
        return self._rows(table, -1)

    async def feed(
        self, node: str, table: str, after: int, wait_s: float
    ) -> TableChanges:
        """Answer a call for changes."""
        begun = _now()
        while not self._rows(table, after).rows and after >= self._oldest:
            changed = self._changed
            left_s = begun + wait_s - _now()
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await changed.wait()
            except TimeoutError:
                break
        await self._answer(node, table, begun, wait_s + RESPONSE_TIMEOUT_S)
        if after < self._oldest:
            raise HistoryGone(table)
        return self._rows(table, after)

    async def _answer(
        self, node: str, table: str, begun: float, within_s: float
    ) -> None:
        self.calls += 1
        for outage in self.outages:
            if outage.hits(node, begun, _now()):
                if not outage.refuses:
                    await asyncio.sleep(begun + within_s - _now())
                raise StoreUnavailable(table, "out of order")
        await asyncio.sleep(ANSWER_S)

    def _rows(self, table: str, after: int) -> TableChanges:
        rows = [
            row
            for (of, _), row in self._row_by_key.items()
            if of == table and row.version > after
        ]
        rows.sort(key=lambda row: row.version)
        return TableChanges(tuple(rows), self._version)


class Reader:
    """The store as one node sees it."""

    def __init__(self, store: Store, node: str) -> None:
        self._store = store
        self._node = node

    async def read_table(self, table: str) -> TableChanges:
        """Return all rows of a table."""
        return await self._store.read(self._node, table)

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return changed rows."""
        return await self._store.feed(self._node, table, after, wait_s)

    def arriving_since(self, table: str) -> None:
        """Return that no answer takes long to come: none is large here."""


class StoreSimulation:
    """Runs the nodes of a data centre, and notes when each had which change.

    Nothing but their relay and the store brings them changes: what other data
    centres tell would hide a node that does not ask. The nodes know of each other from
    ``agreed_at`` on.
    """

    def __init__(
        self,
        outages: Iterable[Outage] = (),
        nodes: int = 3,
        promised_s: float = PROPAGATION_DEADLINE_S,
        agreed_at: float = 0.0,
    ) -> None:
        self.store = Store(outages)
        self._agreed_at = agreed_at
        self.members = [member(f"n{number}") for number in range(nodes)]
        self._promised_s = promised_s
        self.taken_at: dict[tuple[str, int], float] = {}
        self.removed_at: dict[tuple[str, str], float] = {}
        self._tables_by_node = {m.id: self._tables(m) for m in self.members}
        self._numbers = itertools.count(1)

    @staticmethod
    def relay(nodes: int = 3, table: str = OPERATOR) -> str:
        """Return the name of the node that reads a table for the others."""
        own, *others = [member(f"n{number}") for number in range(nodes)]
        return (relay_of(own, others, table) or own).id

    def change(self) -> int:
        """Let the operator write the next configuration; returns its number."""
        number = next(self._numbers)
        self.store.put(OPERATOR, "config", str(number).encode())
        return number

    def list_server(self, name: str) -> None:
        """List a server."""
        self.store.put(SERVERS, name, b"{}")

    def remove_server(self, name: str) -> None:
        """Take a server off the list."""
        self.store.put(SERVERS, name, None)

    async def run(self, until: float) -> None:
        """Let all nodes follow the store until a time."""
        tasks = [
            asyncio.create_task(table.run())
            for tables in self._tables_by_node.values()
            for table in (tables.operator, tables.servers)
        ]
        await asyncio.sleep(until - _now())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def calls_between(self, begin: float, end: float, until: float) -> int:
        """Run a new day until a time; return the calls between two times of it."""
        running = asyncio.create_task(self.run(until))
        await asyncio.sleep(begin)
        before = self.store.calls
        await asyncio.sleep(end - begin)
        calls = self.store.calls - before
        await running
        return calls

    def _tables(self, own: Member) -> PlatformTables:
        deployments = DeploymentInForce(
            "config",
            lambda raw: Deployment(int(raw), {}, {}, {}, False, CallerLimits(1, 1.0)),
            lambda number: self._note_taken(own.id, number),
        )
        return PlatformTables(
            TableNames(OPERATOR, SERVERS, "crashes"),
            Reader(self.store, own.id),
            self._ask,
            lambda: own,
            lambda: self._others(own),
            deployments=deployments,
            server_list=RecordingServerList(
                lambda server, version: self._note_server(own.id, server, version)
            ),
            crashes=idle_crash_table(),
            evacuations=idle_evacuations(),
            apply_s=self._promised_s,
            drain_s=self._promised_s,
            evacuate_s=self._promised_s,
            clock=_now,
        )

    def _others(self, own: Member) -> list[Member]:
        if _now() < self._agreed_at:
            return []
        return [other for other in self.members if other.id != own.id]

    def _note_taken(self, node: str, number: int) -> None:
        for earlier in range(1, number + 1):
            self.taken_at.setdefault((node, earlier), _now())

    def _note_server(self, node: str, server: str, version: int | None) -> None:
        if version is None:
            self.removed_at.setdefault((node, server), _now())

    async def _ask(
        self, address: str, table: str, after: int | None, wait_s: float
    ) -> TableChanges:
        node = address.partition(":")[0]
        await asyncio.sleep(HOP_S)
        try:
            async with asyncio.timeout(wait_s + ANSWER_MARGIN_S):
                relay = self._tables_by_node[node].relay
                return await relay.changes(table, after, wait_s)
        except TimeoutError as error:
            raise PeerUnreachable(address, "silent") from error
        finally:
            await asyncio.sleep(HOP_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
