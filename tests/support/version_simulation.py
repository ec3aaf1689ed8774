"""The path of versions: nodes that run the real decisions on a modelled day.

The store, the network between nodes and the news of versions are modelled; what a
node does with them is the product's code. ``VersionDay(plan).run()`` plays a plan in
simulated time and keeps what was seen, for :mod:`.version_promises` to judge.
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
from .members import member
from .path_store import PathStore
from .recording_server_list import RecordingServerList
from .store_rows import PROPAGATION_DEADLINE_S
from .store_simulation import HOP_S, OPERATOR, SERVERS
from .version_plan import Change, Freeze, GossipLoss, Partition, Plan, Restart

__all__ = ["NodeProcess", "VersionSimulation"]

# How long another node's state is waited for, as the program sets it.
STATE_S = 1.0
# Between two probes of a node; each carries the version that is in force.
PROBE_S = 1.0
# News is pushed to so many nodes.
FAN_OUT = 4
# News goes out twice, each copy this late at most: repeated, and out of order.
NEWS_LATE_S = 0.1
# A node that is gone is no longer among the members after this.
FOUND_DEAD_S = 3.0
# A node that has started knows the others after this.
AGREED_S = 0.3
# The day goes on for so long after the last harm or change, without either.
QUIET_S = 5.0

T = TypeVar("T")


class NodeProcess:
    """One life of the process of a node, and what it has seen.

    ``versions`` has when each configuration came into force, and ``servers`` when a
    server was listed by the row of a version, or removed (None).
    """

    def __init__(self, day: "VersionSimulation", own: Member) -> None:
        self.day = day
        self.own = own
        self.began = _now()
        self.ended = float("inf")
        self.versions: list[tuple[float, int]] = []
        self.servers: list[tuple[float, str, int | None]] = []
        self.deployments = DeploymentInForce(
            "config",
            lambda raw: Deployment(int(raw), {}, {}, {}, False, CallerLimits(1, 1.0)),
            self._advanced,
        )
        self.tables = self._new_tables()
        self.catch_up = PeerCatchUp(
            self._take_state_of,
            lambda: self.deployments.number,
            lambda: self.tables.is_ready,
            lambda: [other.internal for other in self._others()],
        )
        works = (
            self.tables.operator.run,
            self.tables.servers.run,
            self.catch_up.start,
            self._probe,
        )
        self._tasks = [asyncio.create_task(work()) for work in works]

    def _new_tables(self) -> PlatformTables:
        return PlatformTables(
            TableNames(OPERATOR, SERVERS, "crashes"),
            self,
            self._ask_relay,
            lambda: self.own,
            self._others,
            deployments=self.deployments,
            server_list=RecordingServerList(self._note_server),
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
        return await self._awake(lambda: self.day.store.read(self.own.id, table))

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Ask the store for changes."""
        return await self._awake(
            lambda: self.day.store.feed(self.own.id, table, after, wait_s)
        )

    def arriving_since(self, table: str) -> None:
        """Return that no answer takes long to come: none is large here."""

    async def _awake(self, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call; neither its begin nor its outcome while the node is frozen."""
        await self.day.thawed(self.own.id)
        result, error = await _outcome(call())
        await self.day.thawed(self.own.id)
        if error is not None:
            raise error
        return result

    async def _ask_relay(
        self, address: str, table: str, after: int | None, wait_s: float
    ) -> TableChanges:
        return await self._awake(
            lambda: self.day.call(
                self.own.id,
                address,
                wait_s + ANSWER_MARGIN_S,
                lambda other: other.tables.relay.changes(table, after, wait_s),
            )
        )

    async def _take_state_of(self, address: str) -> None:
        operator, servers = await self._awake(
            lambda: self.day.call(self.own.id, address, STATE_S, NodeProcess.state)
        )
        self.tables.operator.apply_peer_rows(operator, address)
        self.tables.servers.apply_peer_rows(servers, address)

    async def state(self) -> tuple[tuple[StoredRow, ...], tuple[StoredRow, ...]]:
        """Return what this node knows, for another one."""
        if not (rows := self.tables.operator.rows()):
            raise PeerUnreachable(self.own.internal, "nothing is known")
        return rows, self.tables.servers.rows()

    def _others(self) -> list[Member]:
        if _now() < self.began + AGREED_S:
            return []
        return [m for m in self.day.members_found() if m.id != self.own.id]

    def _advanced(self, number: int) -> None:
        if self.ended < _now():
            return
        self.versions.append((_now(), number))
        others = self._others()
        for other in self.day.luck.sample(others, min(FAN_OUT, len(others))):
            self.day.tell(self, other.id)

    def _note_server(self, server: str, version: int | None) -> None:
        self.servers.append((_now(), server, version))

    async def _probe(self) -> None:
        """Probe the others in turn: the way there and back, each with a version."""
        await asyncio.sleep(self.day.luck.uniform(0, PROBE_S))
        for turn in itertools.count():
            await self.day.thawed(self.own.id)
            if others := self._others():
                other = others[turn % len(others)].id
                self.day.tell(self, other)
                if other in self.day.process_by_node:
                    self.day.tell(self.day.process_by_node[other], self.own.id)
            await asyncio.sleep(PROBE_S)


class VersionSimulation:
    """Plays a plan; ``lives`` has all lives of all nodes, and ``confirmed`` changes."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.luck = random.Random(plan.seed)
        self.store = PathStore(plan)
        self.members = [
            member(f"n{number}", data_centre)
            for number, data_centre in enumerate(plan.data_centres)
        ]
        self.processes: list[NodeProcess] = []
        self.process_by_node: dict[str, NodeProcess] = {}
        # Each change with its number (a configuration) or its row's version.
        self.confirmed: list[tuple[Change, int]] = []
        self._numbers = itertools.count(1)
        self._news_under_way: set[asyncio.Task] = set()

    async def run(self) -> "VersionSimulation":
        """Play the day to its end."""
        random.seed(self.plan.seed)
        self._make(Change(0.0))
        for own in self.members:
            self._begin(own)
        works = [
            *(self._at(change.at, self._make, change) for change in self.plan.changes),
            *(self._at(at, self.store.drop_history) for at in self.plan.forgets),
            *(self._restart(h) for h in self._harms(Restart)),
        ]
        await asyncio.gather(*works, asyncio.sleep(self.plan.ends + QUIET_S))
        for life in list(self.process_by_node.values()):
            await life.end()
        return self

    async def thawed(self, node: str) -> None:
        """Return once a node is not frozen."""
        freezes = [harm for harm in self._harms(Freeze) if harm.node == node]
        for harm in sorted(freezes, key=lambda harm: harm.begin):
            if harm.begin <= _now() < harm.end:
                await asyncio.sleep(harm.end - _now())

    async def call(
        self,
        own: str,
        address: str,
        within_s: float,
        answer: Callable[[NodeProcess], Awaitable[T]],
    ) -> T:
        """Call another node; raises :class:`PeerUnreachable` without an answer."""
        node = address.partition(":")[0]
        try:
            async with asyncio.timeout(within_s):
                await self._way(own, node)
                life = await self._reached(node)
                result, error = await _outcome(answer(life))
                await self.thawed(node)
                if life.ended <= _now():
                    raise PeerUnreachable(address, "it has ended")
                await self._way(node, own)
        except TimeoutError as error:
            raise PeerUnreachable(address, "silent") from error
        if error is not None:
            raise error
        return result

    async def _reached(self, node: str) -> NodeProcess:
        await self.thawed(node)
        if (life := self.process_by_node.get(node)) is not None:
            return life
        for harm in self._harms(Restart):
            if harm.node == node and harm.silent and harm.begin <= _now() < harm.end:
                await asyncio.Event().wait()
        raise PeerUnreachable(node, "refused")

    async def _way(self, own: str, node: str) -> None:
        await asyncio.sleep(HOP_S)
        if self._is_cut(own, node):
            await asyncio.Event().wait()

    def _is_cut(self, own: str, node: str) -> bool:
        return any(
            harm.begin <= _now() < harm.end and harm.nodes == {own, node}
            for harm in self._harms(Partition)
        )

    def tell(self, life: NodeProcess, node: str) -> None:
        """Send news of the version in force at a node to another, two times."""
        deaf = any(h.begin <= _now() < h.end for h in self._harms(GossipLoss))
        number = life.deployments.number
        if deaf or number < 0 or self._is_cut(life.own.id, node):
            return
        for _ in range(2):
            late_s = HOP_S + self.luck.uniform(0, NEWS_LATE_S)
            task = asyncio.create_task(self._news(life.own, number, node, late_s))
            self._keep(task)

    async def _news(self, of: Member, number: int, node: str, late_s: float) -> None:
        await asyncio.sleep(late_s)
        await self.thawed(node)
        if (life := self.process_by_node.get(node)) is not None:
            life.catch_up.on_number_announced(number, of, 0.0)

    def _keep(self, task: asyncio.Task) -> None:
        self._news_under_way.add(task)
        task.add_done_callback(self._news_under_way.discard)

    def members_found(self) -> list[Member]:
        """Return the members that are not yet, or no longer, held dead."""
        dead = {
            harm.node
            for harm in self._harms(Restart)
            if harm.begin + FOUND_DEAD_S <= _now() < harm.end
        }
        return [found for found in self.members if found.id not in dead]

    def _harms(self, kind: type[T]) -> list[T]:
        return [harm for harm in self.plan.faults if isinstance(harm, kind)]

    def _begin(self, own: Member) -> None:
        self.process_by_node[own.id] = life = NodeProcess(self, own)
        self.processes.append(life)

    async def _restart(self, harm: Restart) -> None:
        await asyncio.sleep(harm.begin - _now())
        life = self.process_by_node.pop(harm.node, None)
        if life is None:
            return
        await life.end()
        await asyncio.sleep(harm.end - _now())
        self._begin(life.own)

    async def _at(self, at: float, act: Callable[..., Any], *arguments: Any) -> None:
        await asyncio.sleep(at - _now())
        act(*arguments)

    def _make(self, change: Change) -> None:
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
