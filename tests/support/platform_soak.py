"""Runs entry nodes as processes under load and injects faults drawn from a seed.

The guarantees that must hold during a run are checked in ``soak_checks``.
"""

import asyncio
import random
import signal
from contextlib import ExitStack
from enum import Enum

import msgspec

from eelgrass_standins.entry_engines import EngineFault
from support.entry import configuration, route
from support.fault_proxy import Direction, FaultProxy
from support.soak_deployment import Call, SoakDeployment, SoakNode

__all__ = ["FaultProfile", "Probe", "Soak"]

KINDS = ("safe", "once", "stream/resumed", "stream/single", "stream/staged")
CALLS_PER_S = 40
# A version must be in force within 2 s; the rest allows for a busy machine.
APPLY_S = 3.0
# Interval between probes of the version that a node has in force.
PROBE_EVERY_S = 0.2
# Start-up time of the interpreter, in which no program can handle a signal yet.
INTERPRETER_S = 0.25


class FaultProfile(Enum):
    """Faults of a run: planned operations, all, or those that delay table updates."""

    PLANNED = "planned"
    ALL = "all"
    DELAYED_UPDATES = "news"


class Probe(msgspec.Struct, frozen=True):
    """A node's answer on the route of a version that must be in force by now."""

    node: str
    version: int
    status: int


class Soak:
    """One run from a seed with the faults of a profile."""

    def __init__(
        self, deployment: SoakDeployment, seed: int, profile: FaultProfile
    ) -> None:
        self.planned = profile is FaultProfile.PLANNED
        self.random = random.Random(seed)
        self._call_random = random.Random(f"calls of {seed}")
        self._probe_random = random.Random(f"probes of {seed}")
        self.calls: list[Call] = []
        self.version = 1
        self.probes: list[Probe] = []
        self._began = asyncio.get_running_loop().time()
        self._put_at_by_version: dict[int, float] = {}
        self.left_at: dict[str, float] = {}
        self.log: list[str] = []
        self._deployment = deployment
        planned = [self._term, self._hup, self._version, self._leave]
        store = [
            self._store_down,
            self._store_cut,
            self._store_slow,
            self._store_silent,
            self._history,
        ]
        engines = [
            self._engine_reset,
            self._engine_slow,
            self._engine_cut,
            self._engine_silent,
            self._engine_fault,
        ]
        self._profile = profile
        self._fault_kinds = {
            FaultProfile.PLANNED: planned,
            FaultProfile.ALL: [*planned, self._kill, self._pause, *store, *engines],
            FaultProfile.DELAYED_UPDATES: [self._version, *store],
        }[profile]

    async def run(self, seconds: float, concurrent_faults: int = 3) -> None:
        """Send calls and inject faults for ``seconds``, then remove all faults."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        if self._profile is FaultProfile.DELAYED_UPDATES:
            self._put_version()
        injectors = [self._inject_faults(end) for _ in range(concurrent_faults)]
        await asyncio.gather(self._call_all(end), self._probe_all(end), *injectors)
        for proxy in self._deployment.engine_proxies.values():
            proxy.heal()
        for node in self._deployment.soak_nodes:
            node.store.heal()
        self._deployment.store.down = False

    async def unrecovered(self) -> list[str]:
        """Return a message per route not served again after the recovery time."""
        self._put_version()
        await asyncio.sleep(APPLY_S)
        found = []
        for number in range(len(self._deployment.soak_nodes)):
            for kind in (*KINDS, f"added-{self.version}"):
                try:
                    await self._deployment.until_served(number, kind, 4.0)
                except TimeoutError:
                    found.append(f"edge-{number} does not serve {kind} again")
        return found

    async def _call_all(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        tasks = []
        while loop.time() < end:
            await asyncio.sleep(self._call_random.expovariate(CALLS_PER_S))
            number = self._call_random.randrange(len(self._deployment.soak_nodes))
            kind = self._call_random.choice(KINDS)
            tasks.append(asyncio.create_task(self._deployment.call(number, kind)))
        self.calls = list(await asyncio.gather(*tasks))

    async def _probe_all(self, end: float) -> None:
        """Probe undisturbed nodes for the newest route that must be in force."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(PROBE_EVERY_S)
            number = self._probe_random.randrange(len(self._deployment.soak_nodes))
            node = self._deployment.soak_nodes[number]
            since = loop.time() - APPLY_S
            in_force = [v for v, at in self._put_at_by_version.items() if at <= since]
            if not in_force or not node.undisturbed_since(since):
                continue
            version = max(in_force)
            call = await self._deployment.call(number, f"added-{version}")
            if node.undisturbed_since(since):
                self.probes.append(Probe(node.name, version, call.status))

    async def _inject_faults(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            kind = self.random.choice(self._fault_kinds)
            self.log.append(f"{loop.time() - self._began:6.2f} {kind.__name__[1:]}")
            await kind()

    def _node(self) -> SoakNode:
        return self.random.choice(self._deployment.soak_nodes)

    def _proxy(self) -> FaultProxy:
        return self.random.choice(list(self._deployment.engine_proxies.values()))

    async def _random_pause(self, least: float = 0.3, most: float = 2.0) -> None:
        await asyncio.sleep(self.random.uniform(least, most))

    def _mark_disturbed(self, node: SoakNode) -> None:
        node.disturbed_until = asyncio.get_running_loop().time()

    async def _kill(self) -> None:
        node = self._node()
        await node.stop_and_restart(signal.SIGKILL)
        self._mark_disturbed(node)

    async def _pause(self) -> None:
        node = self._node()
        if not node.process.running():
            return
        with node.faulty():
            node.process.signal(signal.SIGSTOP)
            await self._random_pause()
            if node.process.running():
                node.process.signal(signal.SIGCONT)
        self._mark_disturbed(node)

    async def _term(self) -> None:
        await self._node().stop_and_restart(signal.SIGTERM)

    async def _hup(self) -> None:
        node = self._node()
        age_s = asyncio.get_running_loop().time() - node.started_at
        if node.process.running() and age_s > INTERPRETER_S:
            node.process.signal(signal.SIGHUP)

    async def _version(self) -> None:
        self._put_version()

    def _put_version(self) -> None:
        self.version += self.random.randint(1, 3)
        self._put_at_by_version[self.version] = asyncio.get_running_loop().time()
        added = [
            route(f"added-{version}", "idempotent", "desk")
            for version in self._put_at_by_version
        ]
        value = configuration(self.version, routes=added)
        self._deployment.store.put("op", "config", value)

    async def _leave(self) -> None:
        service = self.random.choice(("desk", "readers", "portal", "clerks"))
        engines = self._deployment.engines_by_service[service]
        staying = [e for e in engines if e.server_id not in self.left_at]
        number = len(engines)
        await self._deployment.start_server(service, f"{service}-{number}")
        leaving = self.random.choice(staying)
        self.left_at[leaving.server_id] = asyncio.get_running_loop().time()
        self._deployment.list_engine(service, leaving, "draining")
        await self._random_pause(3.0, 4.0)
        self._deployment.store.remove("servers", leaving.server_id)

    async def _store_down(self) -> None:
        with ExitStack() as stack:
            for node in self._deployment.soak_nodes:
                stack.enter_context(node.faulty())
            self._deployment.store.down = True
            await self._random_pause()
            self._deployment.store.down = False

    async def _store_cut(self) -> None:
        node = self._node()
        with node.faulty():
            node.store.blocked = {self.random.choice(list(Direction))}
            await self._random_pause()
            node.store.heal()

    async def _store_slow(self) -> None:
        node = self._node()
        with node.faulty():
            node.store.delay_s = self.random.uniform(0.05, 0.5)
            await self._random_pause()
            node.store.heal()

    async def _store_silent(self) -> None:
        node = self._node()
        with node.faulty():
            node.store.silence()

    async def _history(self) -> None:
        self._deployment.store.drop_history()

    async def _engine_reset(self) -> None:
        self._proxy().reset()

    async def _engine_slow(self) -> None:
        proxy = self._proxy()
        proxy.delay_s = self.random.uniform(0.02, 0.2)
        await self._random_pause()
        proxy.heal()

    async def _engine_cut(self) -> None:
        proxy = self._proxy()
        proxy.blocked = {self.random.choice(list(Direction))}
        await self._random_pause()
        proxy.heal()

    async def _engine_silent(self) -> None:
        self._proxy().silence()

    async def _engine_fault(self) -> None:
        engines = self.random.choice(list(self._deployment.engines_by_service.values()))
        engine = self.random.choice(engines)
        engine.faults.append(self.random.choice(list(EngineFault)))
