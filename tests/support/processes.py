"""Runs nodes and stand-ins as separate processes on loopback."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import yaml

from eelgrass_standins.client import Client
from eelgrass_standins.deployment import DeploymentSpec
from eelgrass_standins.samples import node_settings, sample_configuration

from .connections import connect
from .node_addresses import NodeAddresses

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
# Characters at the end of a process's output that a failure shows.
LOG_TAIL = 2000
# The state of a listening socket in /proc/net/tcp.
TCP_LISTEN = "0A"


class Process:
    """A Python process started by a test; signals go to its pid only."""

    def __init__(
        self, arguments: list[str], log: Path, environment: dict[str, str] | None = None
    ) -> None:
        self._arguments = arguments
        self._log = log
        self._environment = {**os.environ, **(environment or {})}
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, or restart it after it has exited."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdout=log,
                stderr=log,
                env=self._environment,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self._process.pid, number)

    def running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    async def wait(self, within: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process exits and return its exit code."""
        return await asyncio.to_thread(self._process.wait, within)

    async def kill(self) -> None:
        """Kill the process if it runs, and wait until it has exited."""
        if self.running():
            self.signal(signal.SIGKILL)
            await self.wait()

    def log_text(self) -> str:
        """Return the standard output and error of all its runs."""
        return self._log.read_text()


class ProcessDeployment(NodeAddresses):
    """The platform, each backend server and each node as its own process.

    ``grouped`` puts all backend servers into one process, which starts faster.
    """

    def __init__(
        self,
        spec: DeploymentSpec,
        folder: Path,
        nodes: int = 3,
        data_centres: tuple[str, ...] = ("cau-giay", "long-bien"),
        grouped: bool = True,
        settings: dict[str, Any] | None = None,
        configuration: dict[str, Any] | None = None,
    ) -> None:
        self.spec = spec
        self._configuration = configuration or sample_configuration()
        self._folder = folder
        self.settings = node_settings(spec.platform.address, nodes, data_centres)
        for node in self.settings:
            for part, values in (settings or {}).items():
                node[part] = {**node.get(part, {}), **values}
        self.nodes = [self._node_process(node) for node in self.settings]
        self.platform = self._stand_in_process("platform", ["platform"])
        ids = [backend.id for backend in spec.backends]
        groups = {"backends": ids} if grouped else {name: [name] for name in ids}
        self.backends = {
            name: self._stand_in_process(name, members)
            for name, members in groups.items()
        }
        self.client = Client()

    async def __aenter__(self) -> "ProcessDeployment":
        """Start all processes and apply the configuration; on failure kill them."""
        await self.client.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        for process in (self.platform, *self.backends.values()):
            process.start()
        await self._until_listening(self.spec.platform.address, self.platform)
        for backend in self.spec.backends:
            await self._until_listening(backend.address, self._process_of(backend.id))
        for node in self.nodes:
            node.start()
        for number in range(len(self.nodes)):
            await self.until_ready(number)
        report = await self.client.configure(self.internal(0), self._configuration)
        assert report["result"]["outcome"] == "accepted", report
        assert report["not_yet"] == [], report

    async def __aexit__(self, *exc: object) -> None:
        """Kill all processes."""
        for process in (*self.nodes, self.platform, *self.backends.values()):
            await process.kill()
        await self.client.__aexit__()

    def address(self, backend_id: str) -> str:
        """Return the address of a backend server."""
        return next(b.address for b in self.spec.backends if b.id == backend_id)

    def addresses(self, service: str) -> list[str]:
        """Return the addresses of a service's servers."""
        return [b.address for b in self.spec.backends if b.service == service]

    async def journal(self, service: str) -> list:
        """Return the executions of all servers of a service."""
        journals = [await self.client.journal(a) for a in self.addresses(service)]
        return [entry for journal in journals for entry in journal]

    async def until_ready(self, number: int) -> None:
        """Wait until a node listens, which it does once it has the platform's data."""
        await self._until_listening(self.internal(number), self.nodes[number])

    def _process_of(self, backend_id: str) -> Process:
        return self.backends.get(backend_id) or self.backends["backends"]

    async def _until_listening(self, address: str, process: Process) -> None:
        """Wait until a process listens at an address.

        Fails with what the process has written if it ends, or if it takes too long.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while process.running():
                    try:
                        _, writer = await connect(address)
                    except OSError:
                        await asyncio.sleep(0.05)
                        continue
                    writer.close()
                    return
        except TimeoutError:
            pass
        what = "does not listen" if process.running() else "has ended"
        written = process.log_text()[-LOG_TAIL:]
        raise AssertionError(f"{address}: the process {what}; it wrote: {written}")

    def _node_process(self, settings: dict[str, Any]) -> Process:
        name = settings["node"]
        file = self._folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(settings))
        return Process(["eelgrass_node", str(file)], self._folder / f"{name}.log")

    def _stand_in_process(self, name: str, only: list[str]) -> Process:
        file = self._folder / "deployment.yaml"
        file.write_text(yaml.safe_dump(msgspec.to_builtins(self.spec)))
        arguments = ["eelgrass_standins", "serve", str(file), "--only", *only]
        return Process(arguments, self._folder / f"{name}.log")


async def until(condition: Any, within: float = 10.0) -> None:
    """Poll until an asynchronous condition holds; connection errors count as no."""
    async with asyncio.timeout(within):
        while True:
            try:
                if await condition():
                    return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


def listens(address: str) -> bool:
    """Return whether a process listens at an address, without a connection to it."""
    hex_port = f"{int(address.rpartition(':')[2]):04X}"
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    states = (line.split()[1:4] for line in lines)
    return any(
        local.endswith(":" + hex_port) and state == TCP_LISTEN
        for local, _, state in states
    )


def support_environment() -> dict[str, str]:
    """Return the environment in which modules of this package run as programs."""
    return {"PYTHONPATH": str(Path(__file__).parents[1])}
