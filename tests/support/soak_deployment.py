"""Runs entry nodes as processes, with fault proxies before store and engines."""

import asyncio
import os
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp
import msgspec
from yarl import URL

from eelgrass_standins.entry_engines import EngineStandIn
from eelgrass_standins.ports import free_addresses
from support.entry import HOST, KEY, EntryDeployment
from support.fault_proxy import FaultProxy
from support.processes import Process

__all__ = ["Call", "DEADLINE_S", "SoakDeployment", "SoakNode"]

SEGMENTS = {"Eelgrassward-Segments": "2,1,5", "Eelgrassward-Segment-Key": "key"}
DEADLINE_S = 3.0
# Interval of the ticks that show when this process itself stands still.
TICK_S = 0.05
SETTINGS = """
NodeName: "edge-{number}"
Zone: "a"
BindIp: "{ip}"
Listen: {{Frontend: "{ip}:{ports[0]}", Readiness: "{ip}:{ports[1]}",
         Control: "{ip}:{ports[2]}"}}
PortRange: [{ports[3]}, {ports[3]}]
Seeds: ["{first}:{ports[2]}"]
Platform: {{Address: "{store}"}}
Bounds: {{GraceS: {grace_s}, RetryBudget: 0.2, RetrySlack: 56}}
"""


class Call(msgspec.Struct):
    """One call as seen by its caller.

    ``status`` is 0 if no complete answer came; ``accepted`` tells whether the
    connection was established.
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
    """A node that runs as a process, with the fault proxy on its path to the store."""

    def __init__(
        self, name: str, process: Process, callers: str, store: FaultProxy
    ) -> None:
        self.name = name
        self.process = process
        self.callers = callers
        self.store = store
        # End of the last fault of the host itself, as a pause or kill.
        self.disturbed_until = 0.0
        # Number of faults now affecting the node or its path to the store, and the time
        # at which the last one ended.
        self.faults = 0
        self.undisturbed_from = 0.0
        self.started_at = 0.0
        self.exit_codes: list[int] = []

    @contextmanager
    def faulty(self) -> Iterator[None]:
        """Mark the node, or its path to the store, as faulty inside the context."""
        self.faults += 1
        try:
            yield
        finally:
            self.faults -= 1
            self.undisturbed_from = asyncio.get_running_loop().time()

    def undisturbed_since(self, at: float) -> bool:
        """Return whether no fault has affected the node since ``at``."""
        return self.faults == 0 and self.undisturbed_from <= at

    def start(self) -> None:
        """Start the process if it does not run."""
        if not self.process.running():
            self.process.start()
            self.started_at = asyncio.get_running_loop().time()

    async def stop_and_restart(self, number: signal.Signals) -> None:
        """Send a signal that terminates the process, then restart it."""
        with self.faulty():
            if self.process.running():
                self.process.signal(number)
                self.exit_codes.append(await self.process.wait())
            self.start()


class SoakDeployment(EntryDeployment):
    """Stand-ins in this process, nodes as processes, and fault proxies between them."""

    node_program = "eelgrass_node.platform"
    node_environment: dict[str, str] = {}
    grace_s = 6
    # Added to the settings of each node.
    more_settings = ""

    def __init__(
        self, folder: Path, seed: int, nodes: int = 3, servers: int = 2
    ) -> None:
        super().__init__(nodes, event_s=0.03, servers=servers)
        self._folder = folder
        # Each node has its own loopback address, so that all use the same ports, as on
        # separate hosts.
        self._network = f"127.{os.getpid() % 200 + 1}.{seed % 250}"
        self.engine_proxies: dict[str, FaultProxy] = {}
        self.soak_nodes: list[SoakNode] = []
        self._late_ticks: list[tuple[float, float]] = []
        self._ticking: asyncio.Task | None = None

    async def __aenter__(self) -> "SoakDeployment":
        """Start the stand-ins and the nodes, and watch this process for stalls."""
        self._ticking = asyncio.create_task(self._tick())
        return await super().__aenter__()

    async def __aexit__(self, *exc: object) -> None:
        """Kill the nodes, then close the stand-ins and the proxies."""
        self._ticking.cancel()
        for node in self.soak_nodes:
            await node.process.kill()
        await super().__aexit__(*exc)
        for proxy in (
            *self.engine_proxies.values(),
            *(node.store for node in self.soak_nodes),
        ):
            await proxy.stop()

    def stalled_s(self, since: float, until: float) -> float:
        """Return how long this process, with its callers and servers, stood still."""
        return sum(late_s for at, late_s in self._late_ticks if since <= at <= until)

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            late_s = loop.time() - due
            if late_s > TICK_S:
                self._late_ticks.append((loop.time(), late_s))

    async def _advertised_address(self, address: str) -> str:
        proxy = FaultProxy(address)
        advertised = await proxy.start()
        self.engine_proxies[advertised] = proxy
        return advertised

    async def start_engine(
        self, service: str, server_id: str, **entry: str
    ) -> EngineStandIn:
        """Start a server behind its own proxy and write its store entry."""
        engine = await super().start_engine(service, server_id, **entry)
        proxy, crash = self.engine_proxies[engine.address], engine.crash

        def crash_both() -> None:
            proxy.crash()
            crash()

        engine.crash = crash_both
        return engine

    async def start_server(self, service: str, server_id: str) -> EngineStandIn:
        """Start one more server of a service and return it."""
        await self.start_engine(service, server_id)
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
                    grace_s=self.grace_s,
                    first=f"{self._network}.1",
                    store=await store.start(),
                )
                + self.more_settings
            )
            process = Process(
                [self.node_program],
                self._folder / f"edge-{number}.log",
                {"EELGRASSWARD_CONFIG": str(file), **self.node_environment},
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

    async def call(
        self, number: int, kind: str, key: str = KEY, body: bytes | None = None
    ) -> Call:
        """Send one call to a node over a pooled connection.

        The request id is the body unless ``body`` is given.
        """
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
                    url, data=body or call.request_id.encode(), headers=headers
                ) as response,
            ):
                call.body = await response.read()
                call.answered_id = response.headers.get("Eelgrassward-Attempt-Id")
                call.retry_after = response.headers.get("Retry-After")
                call.status = response.status
        except aiohttp.ClientConnectorError:
            call.accepted = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Also covers an answer whose body broke off after the status line.
            call.status = 0
        call.ended_at = loop.time()
        return call
