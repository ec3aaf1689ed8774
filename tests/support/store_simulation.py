"""Simulates the nodes of one data centre and a store with outages."""

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
# The network latency between two nodes of a data centre.
HOP_S = 0.001


class Outage(msgspec.Struct, frozen=True):
    """The store does not answer ``nodes`` (None: all) from ``begin`` to ``end``.

    Calls that overlap it hang until the caller times out, or are refused at once.
    """

    begin: float
    end: float
    nodes: frozenset[str] | None = None
    refuses: bool = False

    def affects(self, node: str, begin: float, end: float) -> bool:
        """Return whether the outage overlaps a call of ``node``."""
        affected = self.nodes is None or node in self.nodes
        return affected and begin < self.end and end >= self.begin


class Store:
    """Simulates the store: its rows, and its answers to the nodes' calls.

    Answers hold the rows of a moment ``delivery_s`` before they arrive.
    """

    def __init__(self, outages: Iterable[Outage]) -> None:
        self.outages = tuple(outages)
        self.calls = 0
        self.written_at: dict[int, float] = {}
        self.delivery_s = 0.0
        self._version = 0
        self._oldest = 0
        self._row_by_key: dict[tuple[str, str], StoredRow] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it."""
        self._version += 1
        self._row_by_key[table, key] = StoredRow(key, self._version, value)
        self.written_at[self._version] = _now()
        self._wake()

    def drop_history(self) -> None:
        """Drop the history of all changes so far."""
        self._version += 1
        self._oldest = self._version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, node: str, table: str) -> TableChanges:
        """Answer a full read."""
        await self._answer(node, table, _now(), FULL_READ_RESPONSE_TIMEOUT_S)
        return await self._deliver(self._rows(table, -1))

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
        return await self._deliver(self._rows(table, after))

    async def _deliver(self, changes: TableChanges) -> TableChanges:
        await asyncio.sleep(self.delivery_s)
        return changes

    async def _answer(
        self, node: str, table: str, begun: float, within_s: float
    ) -> None:
        self.calls += 1
        for outage in self.outages:
            if outage.affects(node, begun, _now()):
                if not outage.refuses:
                    await asyncio.sleep(begun + within_s - _now())
                raise StoreUnavailable(table, "simulated outage")
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
    """The store's interface for one node."""

    def __init__(self, store: Store, node: str) -> None:
        self._store = store
        self._node = node

    async def read_table(self, table: str) -> TableChanges:
        """Return all rows of a table."""
        return await self._store.read(self._node, table)

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return changed rows."""
        return await self._store.feed(self._node, table, after, wait_s)

    def response_started_at(self, table: str) -> None:
        """Return None: no answer here is large enough to take long."""


class StoreSimulation:
    """Runs the nodes of a data centre, and records when each change was applied.

    Nodes get changes only from their relay and the store. Gossip from other data
    centres is left out, because it would hide a node that does not ask for changes.
    The nodes know each other from ``members_known_at`` on.
    """

    def __init__(
        self,
        outages: Iterable[Outage] = (),
        nodes: int = 3,
        deadline_s: float = PROPAGATION_DEADLINE_S,
        members_known_at: float = 0.0,
    ) -> None:
        self.store = Store(outages)
        self._members_known_at = members_known_at
        self.members = [member(f"n{number}") for number in range(nodes)]
        self._deadline_s = deadline_s
        self.applied_at: dict[tuple[str, int], float] = {}
        self.removed_at: dict[tuple[str, str], float] = {}
        self.server_list_by_node: dict[str, RecordingServerList] = {}
        self._tables_by_node = {m.id: self._tables(m) for m in self.members}
        self._numbers = itertools.count(1)

    @staticmethod
    def relay(nodes: int = 3, table: str = OPERATOR) -> str:
        """Return the name of the node that reads a table for the others."""
        own, *others = [member(f"n{number}") for number in range(nodes)]
        return (relay_of(own, others, table) or own).id

    def change(self) -> int:
        """Write the next configuration as the operator; return its number."""
        number = next(self._numbers)
        self.store.put(OPERATOR, "config", str(number).encode())
        return number

    def list_server(self, name: str) -> None:
        """List a server."""
        self.store.put(SERVERS, name, b"{}")

    def remove_server(self, name: str) -> None:
        """Remove a server from the list."""
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
        """Run the simulation until a time; return the calls between two times."""
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
            lambda number: self._record_applied(own.id, number),
        )
        self.server_list_by_node[own.id] = RecordingServerList(
            lambda server, version: self._record_server(own.id, server, version)
        )
        return PlatformTables(
            TableNames(OPERATOR, SERVERS, "crashes"),
            Reader(self.store, own.id),
            self._ask,
            lambda: own,
            lambda: self._others(own),
            deployments=deployments,
            server_list=self.server_list_by_node[own.id],
            crashes=idle_crash_table(),
            evacuations=idle_evacuations(),
            apply_s=self._deadline_s,
            drain_s=self._deadline_s,
            evacuate_s=self._deadline_s,
            clock=_now,
        )

    def _others(self, own: Member) -> list[Member]:
        if _now() < self._members_known_at:
            return []
        return [other for other in self.members if other.id != own.id]

    def _record_applied(self, node: str, number: int) -> None:
        for earlier in range(1, number + 1):
            self.applied_at.setdefault((node, earlier), _now())

    def _record_server(self, node: str, server: str, version: int | None) -> None:
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
