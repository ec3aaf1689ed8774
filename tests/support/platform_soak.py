"""Runs the platform's program as processes and harms them, as drawn from a seed.

What may not come of it stands in ``soak_checks``.
"""

import asyncio
import os
import random
import signal
from pathlib import Path

import aiohttp
import msgspec
from yarl import URL

from eelgrass_standins.ports import free_addresses
from eelgrass_standins.users_engines import EngineFault, EngineStandIn
from support.entry import HOST, KEY, EntryDeployment, configuration, route
from support.fault_proxy import Direction, FaultProxy
from support.processes import Process

__all__ = ["Call", "DEADLINE_S", "Soak", "SoakDeployment"]

SEGMENTS = {"Eelgrassward-Segments": "2,1,5", "Eelgrassward-Segment-Key": "key"}
KINDS = ("safe", "once", "stream/resumed", "stream/single", "stream/staged")
DEADLINE_S = 3.0
CALLS_PER_S = 40
# A version is in force after 2 s, with the time that a busy machine takes on top.
APPLY_S = 3.0
SETTINGS = """
NodeName: "edge-{number}"
Zone: "a"
BindIp: "{ip}"
Listen: {{Frontend: "{ip}:{ports[0]}", Readiness: "{ip}:{ports[1]}",
         Control: "{ip}:{ports[2]}"}}
PortRange: [{ports[3]}, {ports[3]}]
Seeds: ["{first}:{ports[2]}"]
Platform: {{Address: "{store}"}}
Bounds: {{GraceS: 6, RetryBudget: 0.2, RetrySlack: 56}}
"""
# Until then the interpreter itself starts, and no program could take a signal.
INTERPRETER_S = 0.25


class Call(msgspec.Struct):
    """One call as its caller saw it.

    A ``status`` of 0 stands for no whole answer; ``accepted`` says that there was
    a connection.
    """

    request_id: str
    kind: str
    node: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    accepted: bool = True
    body: bytes = b""
    answered_id: str | None = None
    retry_after: str | None = None


class SoakNode:
    """One node as a process, with its way to the store."""

    def __init__(
        self, name: str, process: Process, callers: str, store: FaultProxy
    ) -> None:
        self.name = name
        self.process = process
        self.callers = callers
        self.store = store
        # When a fault of the host itself last ended.
        self.harmed_until = 0.0
        self.started_at = 0.0
        self.exit_codes: list[int] = []

    def start(self) -> None:
        """Start the process, if none runs."""
        if not self.process.running():
            self.process.start()
            self.started_at = asyncio.get_running_loop().time()

    async def end(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and start it anew."""
        if self.process.running():
            self.process.signal(number)
            self.exit_codes.append(await self.process.wait())
        self.start()


class SoakDeployment(EntryDeployment):
    """Stand-ins in this process, nodes as processes, proxies between them."""

    def __init__(self, folder: Path, seed: int, nodes: int = 3) -> None:
        super().__init__(nodes, event_s=0.03)
        self._folder = folder
        # Hosts of their own, so that all have the same ports as on the platform.
        self._network = f"127.{os.getpid() % 200 + 1}.{seed % 250}"
        self.engine_proxies: dict[str, FaultProxy] = {}
        self.soak_nodes: list[SoakNode] = []

    async def __aexit__(self, *exc: object) -> None:
        """End all processes and close everything."""
        for node in self.soak_nodes:
            await node.process.kill()
        await super().__aexit__(*exc)
        for proxy in (
            *self.engine_proxies.values(),
            *(node.store for node in self.soak_nodes),
        ):
            await proxy.stop()

    async def _shown_address(self, address: str) -> str:
        proxy = FaultProxy(address)
        shown = await proxy.start()
        self.engine_proxies[shown] = proxy
        return shown

    async def start_server(self, service: str, server_id: str) -> EngineStandIn:
        """Add a server of a service, while the nodes run."""
        await self._start_engine(service, server_id)
        return self.engines_by_service[service][-1]

    async def _start_nodes(self) -> None:
        ports = [int(a.rpartition(":")[2]) for a in free_addresses(4)]
        for number in range(self._node_count):
            ip = f"{self._network}.{number + 1}"
            store = FaultProxy(self.store_address)
            file = self._folder / f"edge-{number}.yaml"
            file.write_text(
                SETTINGS.format(
                    number=number,
                    ip=ip,
                    ports=ports,
                    first=f"{self._network}.1",
                    store=await store.start(),
                )
            )
            process = Process(
                ["eelgrass_node.platform"],
                self._folder / f"edge-{number}.log",
                {"EELGRASSWARD_CONFIG": str(file)},
            )
            node = SoakNode(f"edge-{number}", process, f"{ip}:{ports[0]}", store)
            node.start()
            self.soak_nodes.append(node)
        for number in range(self._node_count):
            await self.until_served(number, "safe")

    async def until_served(self, number: int, kind: str, within_s=20.0) -> None:
        """Wait until a node serves a route."""
        async with asyncio.timeout(within_s):
            while (await self.call(number, kind)).status != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def call(self, number: int, kind: str, key: str = KEY) -> Call:
        """Make one call at a node, over a connection that is kept open."""
        loop = asyncio.get_running_loop()
        call = Call(f"id-{next(self._numbers)}", kind, number, loop.time())
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {key}",
            "Eelgrassward-Attempt-Id": call.request_id,
            "Eelgrassward-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            **(SEGMENTS if kind == "stream/staged" else {}),
        }
        url = URL(f"http://{self.soak_nodes[number].callers}/{kind}/x")
        try:
            async with (
                asyncio.timeout(2 * DEADLINE_S),
                self.session.post(
                    url, data=call.request_id.encode(), headers=headers
                ) as response,
            ):
                call.body = await response.read()
                call.answered_id = response.headers.get("Eelgrassward-Attempt-Id")
                call.retry_after = response.headers.get("Retry-After")
                call.status = response.status
        except aiohttp.ClientConnectorError:
            call.accepted = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Also where the head came and the body broke off.
            call.status = 0
        call.ended_at = loop.time()
        return call


class Soak:
    """One run from a seed; ``planned`` leaves out all that nobody planned."""

    def __init__(self, deployment: SoakDeployment, seed: int, planned: bool) -> None:
        self.planned = planned
        self.random = random.Random(seed)
        self._call_random = random.Random(f"calls of {seed}")
        self.calls: list[Call] = []
        self.version = 1
        self.left_at: dict[str, float] = {}
        self.log: list[str] = []
        self._deployment = deployment
        self._began = asyncio.get_running_loop().time()
        planned_work = [self._term, self._hup, self._version, self._leave]
        faults = [
            self._kill,
            self._pause,
            self._store_down,
            self._store_cut,
            self._store_slow,
            self._store_silent,
            self._history,
            self._engine_reset,
            self._engine_slow,
            self._engine_cut,
            self._engine_silent,
            self._engine_fault,
        ]
        self._kinds = planned_work if planned else planned_work + faults

    async def run(self, seconds: float, troubles: int = 3) -> None:
        """Call and disturb for so long, then let all recover."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        troublemakers = [self._disturb(end) for _ in range(troubles)]
        await asyncio.gather(self._call_all(end), *troublemakers)
        for proxy in self._deployment.engine_proxies.values():
            proxy.heal()
        for node in self._deployment.soak_nodes:
            node.store.heal()
        self._deployment.store.down = False

    async def recovered(self) -> list[str]:
        """Return what does not work again, after the time to recover."""
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

    async def _disturb(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            kind = self.random.choice(self._kinds)
            self.log.append(f"{loop.time() - self._began:6.2f} {kind.__name__[1:]}")
            await kind()

    def _node(self) -> SoakNode:
        return self.random.choice(self._deployment.soak_nodes)

    def _proxy(self) -> FaultProxy:
        return self.random.choice(list(self._deployment.engine_proxies.values()))

    async def _some_time(self, least: float = 0.3, most: float = 2.0) -> None:
        await asyncio.sleep(self.random.uniform(least, most))

    def _harmed(self, node: SoakNode) -> None:
        node.harmed_until = asyncio.get_running_loop().time()

    async def _kill(self) -> None:
        node = self._node()
        await node.end(signal.SIGKILL)
        self._harmed(node)

    async def _pause(self) -> None:
        node = self._node()
        if not node.process.running():
            return
        node.process.signal(signal.SIGSTOP)
        await self._some_time()
        if node.process.running():
            node.process.signal(signal.SIGCONT)
        self._harmed(node)

    async def _term(self) -> None:
        await self._node().end(signal.SIGTERM)

    async def _hup(self) -> None:
        node = self._node()
        age_s = asyncio.get_running_loop().time() - node.started_at
        if node.process.running() and age_s > INTERPRETER_S:
            node.process.signal(signal.SIGHUP)

    async def _version(self) -> None:
        self._put_version()

    def _put_version(self) -> None:
        self.version += self.random.randint(1, 3)
        added = route(f"added-{self.version}", "idempotent", "desk")
        value = configuration(self.version, routes=[added])
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
        await self._some_time(3.0, 4.0)
        self._deployment.store.remove("servers", leaving.server_id)

    async def _store_down(self) -> None:
        self._deployment.store.down = True
        await self._some_time()
        self._deployment.store.down = False

    async def _store_cut(self) -> None:
        node = self._node()
        node.store.blocked = {self.random.choice(list(Direction))}
        await self._some_time()
        node.store.heal()

    async def _store_slow(self) -> None:
        node = self._node()
        node.store.delay_s = self.random.uniform(0.05, 0.5)
        await self._some_time()
        node.store.heal()

    async def _store_silent(self) -> None:
        self._node().store.silence()

    async def _history(self) -> None:
        self._deployment.store.drop_history()

    async def _engine_reset(self) -> None:
        self._proxy().reset()

    async def _engine_slow(self) -> None:
        proxy = self._proxy()
        proxy.delay_s = self.random.uniform(0.02, 0.2)
        await self._some_time()
        proxy.heal()

    async def _engine_cut(self) -> None:
        proxy = self._proxy()
        proxy.blocked = {self.random.choice(list(Direction))}
        await self._some_time()
        proxy.heal()

    async def _engine_silent(self) -> None:
        self._proxy().silence()

    async def _engine_fault(self) -> None:
        engines = self.random.choice(list(self._deployment.engines_by_service.values()))
        engine = self.random.choice(engines)
        engine.faults.append(self.random.choice(list(EngineFault)))
