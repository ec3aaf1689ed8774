"""Nodes in a simulated network that tell each other the origins of streams."""

import asyncio
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace

from eelgrass_coordination import Member, Membership
from eelgrass_node.process.stream_origins import (
    DurableOrigins,
    ReplicaChoice,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
    VersionRoster,
    VersionRow,
    write_pace_s,
)

from .datagram_network import DatagramLoop
from .origin_rows import StoredOrigins

__all__ = [
    "CALLER_TIMEOUT_S",
    "SERVICE",
    "UNIX_MS",
    "V1",
    "V2",
    "FleetNode",
    "OriginFleet",
    "server",
]

SERVICE = "readers"
V1, V2 = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v2")
UNIX_MS = 1_800_000_000_000
CALLER_TIMEOUT_S = 8.0
WRITES_PER_S = 400.0
STORE_CALL_S = 0.004
# How long a node that leaves goes on running.
LEAVING_S = 0.3


def server(version: str, started: int = 0) -> SimpleNamespace:
    """Return a server as :class:`VersionHistory` sees it."""
    return SimpleNamespace(entry=SimpleNamespace(version=version, started=started))


class RosterTable:
    """The rows of versions in the store; each write reaches all rosters at once."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, VersionRow] = {}
        self._rosters: list[VersionRoster] = []

    def roster(
        self, listed: Callable[[str], frozenset[str]], unix_ms: Callable[[], int]
    ) -> VersionRoster:
        """Return the roster of a node that has read the table."""
        roster = VersionRoster(listed, lambda: True, lambda _: 0, self._write, unix_ms)
        self._rosters.append(roster)
        for row in self.row_by_key.values():
            roster.record(row, 0.0)
        return roster

    def close(self, roster: VersionRoster) -> None:
        """End a roster together with its node."""
        roster.stop()
        self._rosters = [other for other in self._rosters if other is not roster]

    def _write(self, key: str, row: VersionRow) -> None:
        self.row_by_key[key] = row
        for roster in list(self._rosters):
            roster.record(row, 0.0)


class FleetNode:
    """One node; ``list_servers`` gives it the list of servers.

    ``is_list_current`` tells whether its last call to the store was answered, and
    ``reaches_store`` whether the next one is; the store then lists servers of
    ``listed_in_store``, if that is set.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        address: str,
        seeds: list[str],
        epoch: int,
        store: StoredOrigins,
        versions: RosterTable,
    ) -> None:
        clock = asyncio.get_running_loop().time
        own = Member(name, data_centre, address, address, epoch)
        self.membership = Membership(own, seeds)
        self.started_at = clock()
        self.counts = Counter()
        self.is_list_current = True
        self.reaches_store = True
        self.listed_in_store: tuple[str, ...] | None = None
        self.backends = SimpleNamespace(by_service={})
        self._versions = versions
        self._roster = versions.roster(self._listed, lambda: UNIX_MS)
        self.history = VersionHistory(
            self.backends, clock, lambda: UNIX_MS, self._roster, lambda: 0.0
        )
        members = self.membership.members.reachable
        self.durable = DurableOrigins(
            f"{name}/{epoch}",
            store,
            lambda service, within_s: len(self.history.versions(service, within_s)) > 1,
            lambda: write_pace_s(len(members()) + 1, WRITES_PER_S),
            clock,
            lambda name: self.counts.update([name]),
        )
        self.origins = StreamOrigins(
            ReplicaChoice(data_centre, {}, members, lambda _: True, clock),
            members,
            self.membership.members.dead,
            self.membership.datagrams.send_payload,
            self.history,
            lambda: self.is_list_current,
            self._confirm_list,
            self.durable,
            clock,
            lambda name: self.counts.update([name]),
        )
        self.membership.on_change = self.origins.on_members_changed
        self.membership.datagrams.on_payload = self.origins.receive
        self._writing = asyncio.create_task(self.durable.run())

    async def _confirm_list(self) -> bool:
        await asyncio.sleep(STORE_CALL_S)
        if not (self.is_list_current and self.reaches_store):
            return False
        if self.listed_in_store is not None:
            self.list_servers(*self.listed_in_store)
        return True

    def _listed(self, service: str) -> frozenset[str]:
        servers = self.backends.by_service.get(service, [])
        return frozenset(server.entry.version for server in servers)

    def list_servers(self, *versions: str, started: int = 0) -> None:
        """Replace the list of servers by one of each version."""
        self.backends.by_service = {SERVICE: [server(v, started) for v in versions]}
        self.history.servers_changed(SERVICE)

    async def find(self, stream: str) -> StreamOrigin | None:
        """Find the origin of a stream, as a request that takes it up does."""
        return await self.origins.find(stream, SERVICE, CALLER_TIMEOUT_S)

    async def leave(self) -> None:
        """Leave as a node does that stops as planned."""
        await self.membership.leave()
        self.origins.leave()
        await asyncio.sleep(LEAVING_S)

    async def stop(self) -> None:
        """End the node at once."""
        self._writing.cancel()
        self._versions.close(self._roster)
        self.origins.replication.stop()
        await self.membership.stop()


class OriginFleet:
    """Nodes spread evenly over data centres; servers of v1 and v2 are listed.

    The store, in which they can keep origins, does not answer at first.
    """

    def __init__(self, nodes: int = 9, data_centres: int = 3) -> None:
        self._data_centres = data_centres
        self._count = nodes
        self._epoch = 0
        self.store = StoredOrigins(is_reachable=False)
        self.versions = RosterTable()
        self.nodes: list[FleetNode] = []

    async def __aenter__(self) -> "OriginFleet":
        """Start all nodes and wait until they know each other."""
        for number in range(self._count):
            await self.add(number)
        while not self.agrees():  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            await node.stop()

    async def add(
        self, number: int, versions: tuple[str, ...] = ("v1", "v2"), started: int = 0
    ) -> FleetNode:
        """Start a node, in place of one that has ended if there is one."""
        self._epoch += 1
        data_centre = number % self._data_centres
        host = f"10.{data_centre}.0.{number + 1}"
        seeds = ["10.0.0.1:1", "10.1.0.2:1", "10.2.0.3:1"]
        name = f"node-{number}"
        node = FleetNode(
            name,
            f"dc-{data_centre}",
            f"{host}:1",
            seeds,
            self._epoch,
            self.store,
            self.versions,
        )
        self.nodes[number : number + 1] = [node]
        node.list_servers(*versions, started=started)
        await node.membership.start()
        return node

    async def restart(self, number: int) -> FleetNode:
        """Kill a node and start it again, with nothing of what it knew."""
        await self.nodes[number].stop()
        return await self.add(number)

    def agrees(self) -> bool:
        """Return whether every node knows every other one."""
        known = len(self.nodes) - 1
        return all(
            len(node.membership.members.reachable()) == known for node in self.nodes
        )

    def isolate(self, number: int) -> None:
        """Cut one node off from all others."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, DatagramLoop)
        address = self.nodes[number].membership.own.gossip
        loop.is_cut = lambda source, to: address in (source, to)

    def cut(self, data_centre: int) -> None:
        """Cut a data centre off from all others."""
        inside = f"10.{data_centre}."
        loop = asyncio.get_running_loop()
        assert isinstance(loop, DatagramLoop)
        loop.is_cut = lambda source, to: (
            source.startswith(inside) != to.startswith(inside)
        )
