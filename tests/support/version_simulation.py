"""Simulates how versions propagate from the store to the nodes.

The store, the network between nodes and the gossip of versions are simulated; the nodes
run the real code. ``VersionSimulation(plan).run()`` executes a plan in simulated time
and records what happened, for the checks in :mod:`.version_guarantees`.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from eelgrass_coordination import Member
from eelgrass_node.connection.table_feed import ANSWER_MARGIN_S
from eelgrass_node.exceptions import HistoryGone, PeerUnreachable, StoreUnavailable
from eelgrass_node.process.deployments import DeploymentInForce
from eelgrass_node.process.peer_catch_up import PeerCatchUp
from eelgrass_node.process.platform_tables import PlatformTables, TableNames
from eelgrass_node.process.store_tables import StoredRow, TableChanges
from eelgrass_node.version.deployment import CallerLimits, Deployment

from .crashes import idle_crash_table
from .evacuated import idle_evacuations
from .faulty_store import FaultyStore
from .members import member
from .recording_server_list import RecordingServerList
from .store_rows import PROPAGATION_DEADLINE_S
from .store_simulation import HOP_S, OPERATOR, SERVERS
from .version_plan import Change, Freeze, GossipLoss, Partition, Plan, Restart

__all__ = ["NodeProcess", "VersionSimulation"]

# The timeout of a call for another node's state, as in the real node.
STATE_S = 1.0
# The interval between a node's probes; each carries its version in force.
PROBE_S = 1.0
# How many nodes a new version is sent to.
FAN_OUT = 4
# Each gossip message is delivered twice, each copy with a delay up to this, so that
# messages are duplicated and reordered.
MAX_GOSSIP_DELAY_S = 0.1
# How long after its crash a node is removed from the members.
FOUND_DEAD_S = 3.0
# How long after its start a node knows the other members.
MEMBERS_KNOWN_S = 0.3
# How long the simulation continues after the last fault or change.
QUIET_S = 5.0

T = TypeVar("T")


class NodeProcess:
    """One process of a node, from its start to its end, and what it applied.

    ``versions`` records when each configuration came into force. ``servers`` records
    when a server was listed, with the version of its row, or removed (None).
    """

    def __init__(self, simulation: "VersionSimulation", own: Member) -> None:
        self.simulation = simulation
        self.own = own
        self.began = _now()
        self.ended = float("inf")
        self.versions: list[tuple[float, int]] = []
        self.servers: list[tuple[float, str, int | None]] = []
        self.deployments = DeploymentInForce(
            "config",
            lambda raw: Deployment(int(raw), {}, {}, {}, False, CallerLimits(1, 1.0)),
            self._on_advance,
        )
        self.tables = self._new_tables()
        self.catch_up = PeerCatchUp(
            self._apply_state_of,
            lambda: self.deployments.number,
            lambda: self.tables.is_ready,
            lambda: [other.internal for other in self._others()],
        )
        coroutines = (
            self.tables.operator.run,
            self.tables.servers.run,
            self.catch_up.start,
            self._probe,
        )
        self._tasks = [asyncio.create_task(work()) for work in coroutines]

    def _new_tables(self) -> PlatformTables:
        return PlatformTables(
            TableNames(OPERATOR, SERVERS, "crashes"),
            self,
            self._ask_relay,
            lambda: self.own,
            self._others,
            deployments=self.deployments,
            server_list=RecordingServerList(self._record_server),
            crashes=idle_crash_table(),
            evacuations=idle_evacuations(),
            apply_s=PROPAGATION_DEADLINE_S,
            drain_s=PROPAGATION_DEADLINE_S,
            evacuate_s=PROPAGATION_DEADLINE_S,
            clock=_now,
        )

    async def end(self) -> None:
        """Kill the process."""
        self.ended = _now()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def read_table(self, table: str) -> TableChanges:
        """Read a table from the store."""
        return await self._while_running(
            lambda: self.simulation.store.read(self.own.id, table)
        )

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Ask the store for changes."""
        return await self._while_running(
            lambda: self.simulation.store.feed(self.own.id, table, after, wait_s)
        )

    def response_started_at(self, table: str) -> None:
        """Return None: no answer here is large enough to take long."""

    async def _while_running(self, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call whose start and outcome are delayed while the node is frozen."""
        await self.simulation.wait_until_running(self.own.id)
        result, error = await _outcome(call())
        await self.simulation.wait_until_running(self.own.id)
        if error is not None:
            raise error
        return result

    async def _ask_relay(
        self, address: str, table: str, after: int | None, wait_s: float
    ) -> TableChanges:
        return await self._while_running(
            lambda: self.simulation.call(
                self.own.id,
                address,
                wait_s + ANSWER_MARGIN_S,
                lambda other: other.tables.relay.changes(table, after, wait_s),
            )
        )

    async def _apply_state_of(self, address: str) -> None:
        operator, servers = await self._while_running(
            lambda: self.simulation.call(
                self.own.id, address, STATE_S, NodeProcess.state
            )
        )
        self.tables.operator.apply_peer_rows(operator, address)
        self.tables.servers.apply_peer_rows(servers, address)

    async def state(self) -> tuple[tuple[StoredRow, ...], tuple[StoredRow, ...]]:
        """Return this node's rows, for another node."""
        if not (rows := self.tables.operator.rows()):
            raise PeerUnreachable(self.own.internal, "it has no state yet")
        return rows, self.tables.servers.rows()

    def _others(self) -> list[Member]:
        if _now() < self.began + MEMBERS_KNOWN_S:
            return []
        return [m for m in self.simulation.live_members() if m.id != self.own.id]

    def _on_advance(self, number: int) -> None:
        if self.ended < _now():
            return
        self.versions.append((_now(), number))
        others = self._others()
        for other in self.simulation.rng.sample(others, min(FAN_OUT, len(others))):
            self.simulation.gossip(self, other.id)

    def _record_server(self, server: str, version: int | None) -> None:
        self.servers.append((_now(), server, version))

    async def _probe(self) -> None:
        """Probe the others in turn; probe and reply each carry a version."""
        await asyncio.sleep(self.simulation.rng.uniform(0, PROBE_S))
        for turn in itertools.count():
            await self.simulation.wait_until_running(self.own.id)
            if others := self._others():
                other = others[turn % len(others)].id
                self.simulation.gossip(self, other)
                if other in self.simulation.process_by_node:
                    self.simulation.gossip(
                        self.simulation.process_by_node[other], self.own.id
                    )
            await asyncio.sleep(PROBE_S)


class VersionSimulation:
    """Executes a plan.

    ``processes`` has all processes of all nodes, and ``confirmed`` all changes.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.store = FaultyStore(plan)
        self.members = [
            member(f"n{number}", data_centre)
            for number, data_centre in enumerate(plan.data_centres)
        ]
        self.processes: list[NodeProcess] = []
        self.process_by_node: dict[str, NodeProcess] = {}
        # Each change with its configuration number or the version of its row.
        self.confirmed: list[tuple[Change, int]] = []
        self._numbers = itertools.count(1)
        self._gossip_tasks: set[asyncio.Task] = set()

    async def run(self) -> "VersionSimulation":
        """Execute the plan to its end."""
        random.seed(self.plan.seed)
        self._commit(Change(0.0))
        for own in self.members:
            self._start_process(own)
        coroutines = [
            *(
                self._act_at(change.at, self._commit, change)
                for change in self.plan.changes
            ),
            *(
                self._act_at(at, self.store.drop_history)
                for at in self.plan.history_losses
            ),
            *(self._restart(h) for h in self._faults(Restart)),
        ]
        await asyncio.gather(*coroutines, asyncio.sleep(self.plan.ends + QUIET_S))
        for process in list(self.process_by_node.values()):
            await process.end()
        return self

    async def wait_until_running(self, node: str) -> None:
        """Wait until a node is not frozen."""
        node_freezes = [fault for fault in self._faults(Freeze) if fault.node == node]
        for fault in sorted(node_freezes, key=lambda fault: fault.begin):
            if fault.begin <= _now() < fault.end:
                await asyncio.sleep(fault.end - _now())

    async def call(
        self,
        own: str,
        address: str,
        within_s: float,
        answer: Callable[[NodeProcess], Awaitable[T]],
    ) -> T:
        """Call another node; raise :class:`PeerUnreachable` if it does not answer."""
        node = address.partition(":")[0]
        try:
            async with asyncio.timeout(within_s):
                await self._transit(own, node)
                process = await self._process_on(node)
                result, error = await _outcome(answer(process))
                await self.wait_until_running(node)
                if process.ended <= _now():
                    raise PeerUnreachable(address, "its process has ended")
                await self._transit(node, own)
        except TimeoutError as error:
            raise PeerUnreachable(address, "silent") from error
        if error is not None:
            raise error
        return result

    async def _process_on(self, node: str) -> NodeProcess:
        await self.wait_until_running(node)
        if (process := self.process_by_node.get(node)) is not None:
            return process
        for fault in self._faults(Restart):
            if (
                fault.node == node
                and fault.silent
                and fault.begin <= _now() < fault.end
            ):
                await asyncio.Event().wait()
        raise PeerUnreachable(node, "refused")

    async def _transit(self, own: str, node: str) -> None:
        await asyncio.sleep(HOP_S)
        if self._is_partitioned(own, node):
            await asyncio.Event().wait()

    def _is_partitioned(self, own: str, node: str) -> bool:
        return any(
            fault.begin <= _now() < fault.end and fault.nodes == {own, node}
            for fault in self._faults(Partition)
        )

    def gossip(self, process: NodeProcess, node: str) -> None:
        """Gossip the version in force at a node to another node, in two copies."""
        is_lost = any(h.begin <= _now() < h.end for h in self._faults(GossipLoss))
        number = process.deployments.number
        if is_lost or number < 0 or self._is_partitioned(process.own.id, node):
            return
        for _ in range(2):
            delay_s = HOP_S + self.rng.uniform(0, MAX_GOSSIP_DELAY_S)
            task = asyncio.create_task(
                self._deliver_gossip(process.own, number, node, delay_s)
            )
            self._track(task)

    async def _deliver_gossip(
        self, of: Member, number: int, node: str, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        await self.wait_until_running(node)
        if (process := self.process_by_node.get(node)) is not None:
            process.catch_up.on_number_announced(number, of, 0.0)

    def _track(self, task: asyncio.Task) -> None:
        self._gossip_tasks.add(task)
        task.add_done_callback(self._gossip_tasks.discard)

    def live_members(self) -> list[Member]:
        """Return the members that are not declared dead at this time."""
        dead = {
            fault.node
            for fault in self._faults(Restart)
            if fault.begin + FOUND_DEAD_S <= _now() < fault.end
        }
        return [found for found in self.members if found.id not in dead]

    def _faults(self, kind: type[T]) -> list[T]:
        return [fault for fault in self.plan.faults if isinstance(fault, kind)]

    def _start_process(self, own: Member) -> None:
        self.process_by_node[own.id] = process = NodeProcess(self, own)
        self.processes.append(process)

    async def _restart(self, fault: Restart) -> None:
        await asyncio.sleep(fault.begin - _now())
        process = self.process_by_node.pop(fault.node, None)
        if process is None:
            return
        await process.end()
        await asyncio.sleep(fault.end - _now())
        self._start_process(process.own)

    async def _act_at(
        self, at: float, act: Callable[..., Any], *arguments: Any
    ) -> None:
        await asyncio.sleep(at - _now())
        act(*arguments)

    def _commit(self, change: Change) -> None:
        if change.server is None:
            number = next(self._numbers)
            self.store.put(OPERATOR, "config", str(number).encode())
        else:
            value = None if change.gone else b"{}"
            number = self.store.put(SERVERS, change.server, value)
        self.confirmed.append((change, number))


async def _outcome(call: Awaitable[T]) -> tuple[T | None, Exception | None]:
    try:
        return await call, None
    except (HistoryGone, StoreUnavailable, PeerUnreachable) as error:
        return None, error


def _now() -> float:
    return asyncio.get_running_loop().time()
