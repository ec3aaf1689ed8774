"""Runs entry nodes, the row store and engine stand-ins in the test's event loop."""

import asyncio
import itertools
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import aiohttp
from aiohttp import web
from yarl import URL

from eelgrass_coordination.ids import DataCentre, NodeId
from eelgrass_node.entry_node import EntryNode
from eelgrass_node.process.host_settings import (
    HostSettings,
    ServingBounds,
    StoreSettings,
)
from eelgrass_standins.entry_engines import EVENTS, STARTED_MS, EngineStandIn
from eelgrass_standins.ports import free_addresses
from eelgrass_standins.row_store import RowStoreStandIn

from .serving import abort_serving, start_serving

BOUNDS = ServingBounds(
    stop_s=8.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=56.0,
    drain_s=2.0,
    apply_s=2.0,
    reuse_s=9.0,
    heartbeat_s=1.2,
)
CLOSED_UNREAD = "connection.closed-unread"
HOST = "desk.example"
KEY = "key-1"
# Data centres a and b share a region; c is in another one.
REGIONS = {"a": "east", "b": "east", "c": "west"}
# Body of a complete event stream of an engine stand-in.
COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)


def route(name, kind, service, **fields):
    """Return a route that is called by its name as the path prefix."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1500,
        "MaxAttempts": 2,
        "Service": service,
        "Public": False,
        **fields,
    }


STAGES = [
    {"Service": "portal", "After": [], "Bytes": 3_000_000},
    {"Service": "portal", "After": [], "Bytes": 8_000},
    {"Service": "clerks", "After": [1], "Bytes": 60_000},
]


def configuration(version=1, keys=(KEY,), routes=()):
    """Return a complete configuration as the operator writes it to the store."""
    batch_limits = {
        "Batch": 4,
        "CallMs": 5,
        "ItemMs": 1,
        "HeadroomMb": 21,
        "HandleS": 4,
    }
    stream = {"StreamResume": True}
    return {
        "Version": version,
        "Routes": [
            route("safe", "idempotent", "desk"),
            route("once", "non_idempotent", "desk", MaxAttempts=1),
            route("stream/resumed", "streaming", "readers", **stream),
            route("stream/single", "streaming", "readers", MaxAttempts=1),
            route("stream/staged", "streaming", "readers", Stages=STAGES, **stream),
            *routes,
        ],
        "Services": [
            {"Name": "desk"},
            {"Name": "readers", "Engine": {"Slots": 64, "KvCapacity": 100_000}},
            {"Name": "portal", "Segments": batch_limits},
            {"Name": "clerks", "Segments": batch_limits},
        ],
        "Limits": {"MaxBodyBytes": 65_536, "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "account-1", "ApiKeys": list(keys)}],
    }


class EntryDeployment:
    """A row store, engines of four services, and nodes, as an async context manager.

    ``servers`` is the number of engines of each service; ``event_s`` is the time
    between two events of their streams.
    """

    def __init__(self, nodes: int = 2, event_s: float = 0.0, servers: int = 2) -> None:
        self.store = RowStoreStandIn()
        self.engines_by_service: dict[str, list[EngineStandIn]] = {}
        self.nodes: list[EntryNode] = []
        self.bounds = BOUNDS
        self._node_count = nodes
        self._server_count = servers
        self._event_s = event_s
        self._runners: list[web.AppRunner] = []
        self._numbers = itertools.count()

    async def __aenter__(self) -> "EntryDeployment":
        """Start the store, engines and nodes; wait until the nodes are ready."""
        [self.store_address] = free_addresses(1)
        app = web.Application()
        self.store.add_routes(app)
        await self._serve(app, self.store_address)
        self.store.put("op", "config", configuration())
        for service in ("desk", "readers", "portal", "clerks"):
            for number in range(self._server_count):
                await self.start_engine(service, f"{service}-{number}")
        self.session = aiohttp.ClientSession(auto_decompress=False)
        await self._start_nodes()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close the nodes, then the servers, without draining."""
        await self.session.close()
        for node in self.nodes:
            await node.close()
        for runner in self._runners:
            await runner.cleanup()

    def list_engine(
        self,
        service: str,
        engine: EngineStandIn,
        state: str = "ready",
        address: str | None = None,
        data_centre: str = "a",
        warm_up_ms: float = 0,
    ) -> None:
        """Write the server's entry to the store; ``address`` overrides the engine's."""
        entry = {
            "Service": service,
            "Address": address or engine.address,
            "Zone": data_centre,
            "Version": engine.version,
            "Slots": 6,
            "State": state,
            "Sequence": next(self._numbers),
            "WarmupLeftMs": warm_up_ms,
            "born": engine.started,
        }
        self.store.put("servers", engine.server_id, entry)

    async def ask(
        self,
        target: str,
        node: int = 0,
        method: str = "POST",
        request_id: str | None = None,
        body: bytes = b"body",
        **headers: str,
    ) -> tuple[int, Any, bytes]:
        """Send a request; return its status, headers and body."""
        sent = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Eelgrassward-Attempt-Id": request_id or f"id-{next(self._numbers)}",
            "Eelgrassward-Deadline-Ms": "3000",
        }
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        address = self.nodes[node].settings.callers
        url = URL(f"http://{address}{target}", encoded=True)
        data = body if method == "POST" else None
        async with self.session.request(
            method, url, data=data, headers=sent
        ) as response:
            return response.status, response.headers, await response.read()

    async def ask_until_read(
        self, target: str, node: int, within_s: float = 3.0
    ) -> tuple[int, Any, bytes]:
        """Send a request again for as long as the node closes its connection unread.

        It does so while the event loop is late, which all nodes of a test share. A
        connection that is lost for any other reason raises the client's error.
        """
        loop = asyncio.get_running_loop()
        counts = self.nodes[node].counters.totals
        ends_at = loop.time() + within_s
        while True:
            unread = counts[CLOSED_UNREAD]
            try:
                return await self.ask(target, node)
            except aiohttp.ClientConnectionError:
                if counts[CLOSED_UNREAD] == unread or loop.time() >= ends_at:
                    raise
            await asyncio.sleep(0.05)

    def runs(self, service: str) -> list:
        """Return the requests that the servers of a service have run."""
        return [run for e in self.engines_by_service[service] for run in e.runs]

    async def start_engine(
        self,
        service: str,
        server_id: str,
        data_centre: str = "a",
        version: str = "v1",
        started: int = STARTED_MS,
    ) -> EngineStandIn:
        """Start a server and write its entry to the store."""
        [address] = free_addresses(1)
        advertised = await self._advertised_address(address)
        engine = EngineStandIn(server_id, advertised, self._event_s)
        engine.version, engine.started = version, started
        self.engines_by_service.setdefault(service, []).append(engine)
        runner = await self._serve(engine.application(), address)
        engine.crash = lambda: abort_serving(runner)
        self.list_engine(service, engine, data_centre=data_centre)
        return engine

    async def _advertised_address(self, address: str) -> str:
        """Return the address to advertise; subclasses put a proxy in front."""
        return address

    async def add_node(self) -> EntryNode:
        """Start one more node, without waiting until it is ready."""
        node = self.new_node()
        fill_retry_budgets(node)
        await node.start()
        return node

    def new_node(self) -> EntryNode:
        """Create one more node, without starting it."""
        callers, readiness, internal, gossip = free_addresses(4)
        first = self.nodes[0].settings if self.nodes else None
        seeds = (first.internal if first else internal,)
        seed_gossip_addresses = first.gossip if first else gossip
        node = EntryNode(
            HostSettings(
                node=NodeId(f"node-{len(self.nodes)}"),
                data_centre=DataCentre("a"),
                callers=callers,
                readiness=readiness,
                internal=internal,
                gossip=gossip,
                seeds=seeds,
                seed_gossip_port=int(seed_gossip_addresses.rpartition(":")[2]),
                store=StoreSettings(self.store_address),
                memory_bytes=300_000_000,
                max_descriptors=4100,
                bounds=self.bounds,
                region_by_data_centre=REGIONS,
            )
        )
        self.nodes.append(node)
        return node

    async def _start_nodes(self) -> None:
        for _ in range(self._node_count):
            await self.add_node()
        await until(self._all_ready)

    def _all_ready(self) -> bool:
        servers = sum(len(group) for group in self.engines_by_service.values())
        return all(
            node.deployments.current is not None
            and len(node.backends.by_id) == servers
            and len(node.membership.members.reachable()) == len(self.nodes) - 1
            for node in self.nodes
        )

    async def _serve(self, app: web.Application, address: str) -> web.AppRunner:
        runner = await start_serving(app, address, handler_cancellation=True)
        self._runners.append(runner)
        return runner


def fill_retry_budgets(node: EntryNode) -> None:
    """Shift the clocks of a node's retry budgets and of its start by one window.

    The budgets then allow retries from the start, as on a node that has been up for
    that long.
    """
    window_s = node.settings.bounds.retry_window_s
    for timed in (node.retry_budgets, node.join_state):
        clock = timed._clock
        timed._clock = lambda clock=clock: clock() + window_s


@contextmanager
def hanging_listener() -> Iterator[str]:
    """Yield an address at which connection attempts hang."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(("127.0.0.1", 0))
        # A backlog of 0 admits one connection; ``first`` takes it, so others hang.
        listener.listen(0)
        first.connect(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


async def until(condition, within_s: float = 5.0) -> None:
    """Poll until a condition holds; raise TimeoutError after ``within_s``."""
    async with asyncio.timeout(within_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
