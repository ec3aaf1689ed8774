"""Crowds of callers that misbehave, and what a process holds for them."""

import asyncio
import math
import socket
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import yaml

from eelgrass_node.platform.settings import METRICS_PORT
from support.entry import HOST, KEY, configuration
from support.raw_calls import AnswerCut, read_answer, request_bytes
from support.soak_deployment import SoakDeployment

__all__ = [
    "Crowd",
    "LimitedDeployment",
    "Usage",
    "UsageWatch",
    "chunk",
    "is_answered",
    "ordinary_request",
    "request_head",
]

SAMPLE_S = 0.05
# A crowd has settled once its members have sent no more than a few bytes each for this
# long.
SETTLED_S = 1.0
TRICKLE_BYTES = 16
# Tries of one ordinary request, each on a new connection, as callers make them.
TRIES = 10
TRY_S = 6.0
DEADLINE_S = 3.0
TCP_LISTEN = "0A"


class Usage(msgspec.Struct):
    """The most that a process has held: bytes, with those in the kernel, and files."""

    bytes: int = 0
    descriptors: int = 0


class UsageWatch:
    """Watches a process inside the context; ``peak`` is the most that it has held."""

    def __init__(self, pid: int) -> None:
        self._folder = Path("/proc", str(pid))
        self.peak = Usage()
        self._watching: asyncio.Task | None = None

    async def __aenter__(self) -> "UsageWatch":
        """Begin to watch."""
        self._watching = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop watching."""
        self._watching.cancel()

    def sample(self) -> None:
        """Look at the process now; it may have ended."""
        try:
            inodes = self._socket_inodes()
            held = self._resident_bytes() + _queued_bytes(inodes)
        except (FileNotFoundError, ProcessLookupError):
            return
        self.peak.bytes = max(self.peak.bytes, held)

    async def _watch(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def _socket_inodes(self) -> set[str]:
        links = []
        for file in (self._folder / "fd").iterdir():
            try:
                links.append(str(file.readlink()))
            except FileNotFoundError:
                continue
        self.peak.descriptors = max(self.peak.descriptors, len(links))
        return {link[8:-1] for link in links if link.startswith("socket:[")}

    def _resident_bytes(self) -> int:
        lines = (self._folder / "status").read_text().splitlines()
        [resident] = [line for line in lines if line.startswith("VmRSS")]
        return int(resident.split()[1]) * 1024


def _queued_bytes(inodes: set[str]) -> int:
    """Return what the kernel holds for sockets, and for those not accepted yet."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    listening = {r[1] for r in rows if r[3] == TCP_LISTEN and r[9] in inodes}
    return sum(
        sum(int(queue, 16) for queue in row[4].split(":"))
        for row in rows
        if row[3] != TCP_LISTEN
        and (row[9] in inodes or (row[9] == "0" and row[1] in listening))
    )


class LimitedDeployment(SoakDeployment):
    """One node on a machine of ``memory_mb``, with small largest bodies."""

    memory_mb = 128
    max_descriptors = 1200
    max_body_bytes = 1 << 20

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, seed=75, nodes=1, servers=1)
        limits = f"MemoryMb: {self.memory_mb}, MaxFds: {self.max_descriptors}"
        self.more_settings = f"Limits: {{{limits}}}\n"

    @property
    def memory_bytes(self) -> int:
        """The memory of the machine."""
        return self.memory_mb * 1_000_000

    def door(self, name: str) -> tuple[str, str]:
        """Return a path that a listener of the node serves, and its address."""
        settings = yaml.safe_load((self._folder / "edge-0.yaml").read_text())
        listen, ip = settings["Listen"], settings["BindIp"]
        return {
            "readiness": ("/-/readyz", listen["Readiness"]),
            "internal": ("/peer/v1/pieces", listen["Control"]),
            "metrics": ("/metrics", f"{ip}:{METRICS_PORT}"),
            "gossip": ("", f"{ip}:{settings['PortRange'][0]}"),
        }[name]

    async def _start_nodes(self) -> None:
        changed = configuration()
        changed["Limits"]["MaxBodyBytes"] = self.max_body_bytes
        self.store.put("op", "config", changed)
        await super()._start_nodes()


class Crowd:
    """Connections to an address, each of which sends some bytes and reads nothing.

    ``parts`` returns what the member of a number sends, one after the other and
    ``pause_s`` seconds apart. Each begins ``stagger_s`` after the one before. Members
    stay connected until the context ends.
    """

    def __init__(
        self,
        address: str,
        size: int,
        parts: Callable[[int], Iterator[bytes]],
        pause_s: float = 0.0,
        stagger_s: float = 0.0,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._size = size
        self._parts = parts
        self._pause_s = pause_s
        self._stagger_s = stagger_s
        self._progress = 0
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Crowd":
        """Connect, and let all members send until none gets any further."""
        for number in range(self._size):
            self._tasks.append(asyncio.create_task(self._send(number)))
            await asyncio.sleep(self._stagger_s)
        await self._until_settled()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Disconnect."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for opened in self._sockets:
            opened.close()

    async def _until_settled(self) -> None:
        seen = -math.inf
        while self._progress - seen > TRICKLE_BYTES * self._size:
            seen = self._progress
            await asyncio.sleep(SETTLED_S)

    async def _send(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        opened = socket.socket()
        opened.setblocking(False)
        self._sockets.append(opened)
        try:
            await loop.sock_connect(opened, self._address)
            for part in self._parts(number):
                rest = memoryview(part)
                while rest:
                    await _writable(loop, opened)
                    sent = opened.send(rest)
                    self._progress += sent
                    rest = rest[sent:]
                await asyncio.sleep(self._pause_s)
        except OSError:
            # The node has closed the connection.
            pass


async def _writable(loop: asyncio.AbstractEventLoop, opened: socket.socket) -> None:
    ready = loop.create_future()
    loop.add_writer(opened, lambda: ready.done() or ready.set_result(None))
    try:
        await ready
    finally:
        loop.remove_writer(opened)


def request_head(path: str, number: int, *fields: str) -> bytes:
    """Return the head of a request of the client account that all tests use."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"Eelgrassward-Attempt-Id: crowd-{number}",
        "Eelgrassward-Deadline-Ms: 30000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body without a length."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def is_answered(address: str, request: Callable[[int], bytes]) -> bool:
    """Send a request as an ordinary caller does; return whether it is served.

    Such a caller tries again after a refusal, no sooner than it is told to, and after
    a connection that is closed.
    """
    host, _, port = address.rpartition(":")
    for number in range(TRIES):
        wait_s = 0.2
        try:
            async with asyncio.timeout(TRY_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(request(number))
                    answer = await read_answer(reader)
                finally:
                    writer.close()
            if answer.status == 200:
                return True
            wait_s = float(answer.headers.get("retry-after", wait_s))
        except (OSError, AnswerCut, TimeoutError):
            pass
        await asyncio.sleep(wait_s)
    return False


def ordinary_request(number: int) -> bytes:
    """Return a small request to the platform's interface."""
    return request_bytes("/safe/x", f"ordinary-{number}", b"ordinary", DEADLINE_S)
