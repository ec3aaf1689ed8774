"""Runs nodes, the platform and backend servers in the test's event loop."""

from typing import Any

import msgspec

from eelgrass_node.process.node import Node
from eelgrass_node.settings import Settings
from eelgrass_standins.client import Client
from eelgrass_standins.deployment import DeploymentSpec, StandIns
from eelgrass_standins.faults import Fault, Faults
from eelgrass_standins.journal import JournalEntry
from eelgrass_standins.samples import (
    node_settings,
    sample_configuration,
    sample_deployment,
)

from .node_addresses import NodeAddresses

FAST_TIMING = {"drain_notice_ms": 50, "head_poll_ms": 100, "hosts_poll_ms": 100}


class LocalDeployment(NodeAddresses):
    """Stand-ins and nodes on loopback, as an async context manager."""

    def __init__(
        self,
        spec: DeploymentSpec | None = None,
        nodes: int = 2,
        data_centres: tuple[str, ...] = ("cau-giay", "long-bien"),
        timing: dict[str, Any] | None = None,
        policy: dict[str, Any] | None = None,
        configuration: dict[str, Any] | None = None,
    ) -> None:
        spec = spec or sample_deployment(engines=2, pool_size=2, work=0.0, step_ms=1.0)
        self.stand_ins = StandIns(spec)
        self.settings = node_settings(spec.platform.address, nodes, data_centres)
        for node in self.settings:
            node["timing"] = {**FAST_TIMING, **(timing or {})}
            node["policy"] = policy or {}
        self.nodes: list[Node] = []
        self.client = Client()
        self._configuration = configuration or sample_configuration()

    async def __aenter__(self) -> "LocalDeployment":
        """Start the stand-ins and nodes, and apply the configuration."""
        await self.client.__aenter__()
        await self.stand_ins.start()
        for number in range(len(self.settings)):
            await self.start_node(number)
        report = await self.client.configure(self.internal(0), self._configuration)
        assert report["result"]["outcome"] == "accepted", report
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close the nodes, then the stand-ins, without draining."""
        for node in self.nodes:
            await node.close()
        await self.stand_ins.close()
        await self.client.__aexit__()

    async def start_node(self, number: int) -> Node:
        """Start the node with the settings at index ``number``."""
        node = Node(msgspec.convert(self.settings[number], Settings))
        await node.start()
        self.nodes.append(node)
        return node

    def fault(self, service: str, *faults: Fault) -> None:
        """Inject faults into the servers of a service, or into the ``platform``.

        The servers of a service share the faults: a fault with ``times=2`` hits two
        calls in total, whichever servers receive them.
        """
        if service == "platform":
            self.stand_ins.platform.faults.set(list(faults))
            return
        shared = Faults()
        shared.set(list(faults))
        for backend in self.stand_ins.spec.backends:
            if backend.service == service:
                self.stand_ins.backends_by_id[backend.id].faults.share(shared)

    def journal(self, service: str | None = None) -> list[JournalEntry]:
        """Return the executions of a service's servers, or of all servers."""
        return [
            entry
            for backend in self.stand_ins.spec.backends
            if service in (None, backend.service)
            for entry in self.stand_ins.backends_by_id[backend.id].journal.entries
        ]

    def runs_of(self, service: str, text: str) -> int:
        """Return how many executions of a service have ``text`` in their input."""
        return sum(text in entry.input_text for entry in self.journal(service))

    def count(self, name: str) -> int:
        """Return the sum of a counter over all nodes."""
        return sum(node.counters.totals[name] for node in self.nodes)
