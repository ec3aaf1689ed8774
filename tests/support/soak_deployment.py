"""Nodes of the platform's program as processes, with proxies around them."""

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
        self.disturbed_until = 0.0
        # How many faults hold it up or keep it from the store, and until when.
        self.faults = 0
        self.calm_from = 0.0
        self.started_at = 0.0
        self.exit_codes: list[int] = []

    @contextmanager
    def faulty(self) -> Iterator[None]:
        """Note that the node, or its way to the store, is harmed meanwhile."""
        self.faults += 1
        try:
            yield
        finally:
            self.faults -= 1
            self.calm_from = asyncio.get_running_loop().time()

    def undisturbed_since(self, at: float) -> bool:
        """Return whether nothing has harmed it since a time."""
        return self.faults == 0 and self.calm_from <= at

    def start(self) -> None:
        """Start the process, if none runs."""
        if not self.process.running():
            self.process.start()
            self.started_at = asyncio.get_running_loop().time()

    async def end(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and start it anew."""
        with self.faulty():
            if self.process.running():
                self.process.signal(number)
                self.exit_codes.append(await self.process.wait())
            self.start()


class SoakDeployment(EntryDeployment):
    """Stand-ins in this process, nodes as processes, proxies between them."""

    def __init__(
        self, folder: Path, seed: int, nodes: int = 3, servers: int = 2
    ) -> None:
        super().__init__(nodes, event_s=0.03, servers=servers)
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

    async def _advertised_address(self, address: str) -> str:
        proxy = FaultProxy(address)
        advertised = await proxy.start()
        self.engine_proxies[advertised] = proxy
        return advertised

    async def start_engine(self, service: str, server_id: str) -> EngineStandIn:
        """Start a server behind a proxy of its own, and list it."""
        engine = await super().start_engine(service, server_id)
        proxy, crash = self.engine_proxies[engine.address], engine.crash

        def crash_both() -> None:
            proxy.crash()
            crash()

        engine.crash = crash_both
        return engine

    async def start_server(self, service: str, server_id: str) -> EngineStandIn:
        """Add a server of a service, while the nodes run."""
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

    async def call(
        self, number: int, kind: str, key: str = KEY, body: bytes | None = None
    ) -> Call:
        """Make one call at a node, over a connection that is kept open.

        Its body is its id, if none is given.
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
            # Also where the head came and the body broke off.
            call.status = 0
        call.ended_at = loop.time()
        return call
