"""Runs nodes as separate processes against small stand-ins, on loopback addresses.

The stand-ins speak what the users' pages say and use only Python's own library. What
was sent, answered and run is written to ``record.txt`` in the folder of the case.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
KEY = "key-1"
# The command of deploy/system.toml.
COMMAND = ["python3", "-S", "-m", "eelgrass_node.platform"]
READY_S = 20.0
PORTS = (14_000, 30_000)
_used_ports: set[int] = set()
# SO_LINGER with a time of 0: closing resets the connection.
RESET = b"\1\0\0\0\0\0\0\0"


class CannotRun(Exception):
    """The case cannot run here."""


class Record:
    """Writes ``record.txt``; times are seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, what: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {what}\n")
        self._file.flush()


class Message:
    """A request or an answer; header names are in lower case.

    ``is_whole`` tells whether the body has ended as the head says.
    """

    def __init__(self, first: list[str], headers: dict[str, str]) -> None:
        self.first = first
        self.headers = headers
        self.body = b""
        self.is_whole = False

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])

    def header(self, name: str) -> str | None:
        """Return a header, or None."""
        return self.headers.get(name.lower())


async def read_message(reader: asyncio.StreamReader, is_answer: bool) -> Message | None:
    """Return the next message of a connection; None if it has ended between two.

    Raises :class:`EOFError` or :class:`ValueError` if there is no whole head.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as cut:
        if cut.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), headers)
    try:
        await _read_body(reader, message, is_answer)
        message.is_whole = True
    except asyncio.IncompleteReadError as cut:
        message.body += cut.partial
    except (OSError, ValueError):
        pass
    return message


async def _read_body(
    reader: asyncio.StreamReader, message: Message, is_answer: bool
) -> None:
    headers = message.headers
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        message.body = await reader.read()


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return an answer with a length; ``_`` in names of headers stands for ``-``."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def json_answer(value: Any, status: int = 200, **headers: str) -> bytes:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    return answer(status, body, Content_Type="application/json", **headers)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, unless it is closed already."""
    opened = writer.get_extra_info("socket")
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        return
    writer.transport.abort()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free at an address, below those of outgoing connections."""
    while True:
        port = random.randrange(*PORTS)
        if port in _used_ports:
            continue
        with socket.socket() as tried:
            try:
                tried.bind((host, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


class Server:
    """An HTTP server at a free port; a subclass answers in ``handle``."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self, resets: bool = True) -> None:
        """Stop listening and end all connections, as at the end of a process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if resets:
                reset(writer)
            else:
                writer.close()
        await asyncio.sleep(0)

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection goes on."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_message(reader, is_answer=False):
                if not request.is_whole or not await self.handle(request, writer):
                    break
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows, a feed, and transactions, of unnamed parts.

    ``is_away`` refuses all calls of nodes with 503, as a store that is busy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_away = False
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._version = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as JSON."""
        self.put_raw(table, key, json.dumps(value).encode())

    def put_raw(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it."""
        self._version += 1
        self._rows[table, key] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a call of a node."""
        path, _, query = request.first[1].partition("?")
        params = dict(urllib.parse.parse_qsl(query))
        if path == "/-/rows-feed" and not self.is_away:
            await self._wait_for_change(params)
        if self.is_away:
            writer.write(answer(503))
        elif path == "/-/rows-get":
            writer.write(self._get(params))
        elif path == "/-/rows-feed":
            rows = self._changed_rows(params["Table"], int(params["After"]))
            writer.write(self._answer(rows))
        elif path == "/-/rows-tx":
            writer.write(self._transact(json.loads(request.body)))
        else:
            writer.write(answer(404))
        return True

    async def _wait_for_change(self, params: dict[str, str]) -> None:
        until = time.monotonic() + int(params.get("WaitMs", "0")) / 1000
        while not self._changed_rows(params["Table"], int(params["After"])):
            left = until - time.monotonic()
            if left <= 0 or self.is_away:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.2))
            except TimeoutError:
                continue

    def _changed_rows(self, table: str, after: int) -> list[dict]:
        changed = sorted(
            (version, key, value)
            for (name, key), (version, value) in self._rows.items()
            if name == table and version > after
        )
        return [_row(key, version, value) for version, key, value in changed]

    def _get(self, params: dict[str, str]) -> bytes:
        first, end = params.get("FromKey", ""), params.get("To")
        rows = [
            _row(key, version, value)
            for (name, key), (version, value) in sorted(self._rows.items())
            if name == params["Table"]
            and value is not None
            and first <= key
            and (end is None or key < end)
        ]
        return self._answer(rows)

    def _transact(self, call: dict) -> bytes:
        entries = [*call.get("Writes", ()), *call.get("Remove", ())]
        if {entry["Table"] for entry in entries} & {"op", "servers"}:
            return answer(403)
        for row in call.get("Writes", ()):
            self.put_raw(row["Table"], row["Key"], base64.b64decode(row["Value"]))
        for row in call.get("Remove", ()):
            if self._rows.get((row["Table"], row["Key"]), (0, None))[1] is not None:
                self.put_raw(row["Table"], row["Key"], None)
        return json_answer({"Ver": self._version, "NowMs": _now_ms()})

    def _answer(self, rows: list[dict]) -> bytes:
        body = {"Rows": rows, "HasMore": False, "Ver": self._version}
        return json_answer({**body, "NowMs": _now_ms()})


def _row(key: str, version: int, value: bytes | None) -> dict[str, Any]:
    row = {"Table": "", "part": "", "Key": key, "Ver": version}
    if value is None:
        return {**row, "Deleted": True}
    return {**row, "Value": base64.b64encode(value).decode()}


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


class Engine(Server):
    """An engine of one service; ``run`` answers the requests that it accepts."""

    def __init__(self, engine_id: str, service: str, version: str = "v1") -> None:
        super().__init__()
        self.id = engine_id
        self.service = service
        self.version = version
        self.born = int(time.time() * 1000) - 60_000
        self._numbers = 0

    def entry(self, state: str = "ready", slots: int = 6) -> dict[str, Any]:
        """Return its entry in the store."""
        self._numbers += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "a",
            "Version": self.version,
            "Slots": slots,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": self._numbers,
            "born": self.born,
        }

    def signed(self, request: Message) -> dict[str, str]:
        """Return the headers of an answer to a request that has run."""
        return {
            "Eelgrassward-Attempt-Id": request.header("Eelgrassward-Attempt-Id") or "",
            "Eelgrassward-Engine-Signature": f"by-{self.id}",
            "Eelgrassward-Engine-Load": "1,0,6",
        }

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Turn away what is for another engine, report, or run the request."""
        expected = request.header("Eelgrassward-Expect-Engine")
        if expected is not None and expected != self.id:
            writer.write(answer(421, Eelgrassward_Not_Executed="1"))
            return True
        if request.first[1] == "/-/report":
            report = {"Phase": "both", "Models": [], "Busy": False, "Sequence": 1}
            writer.write(json_answer({**report, "Queued": 0, "born": self.born}))
            return True
        return await self.run(request, writer)

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request; return whether the connection goes on."""
        raise NotImplementedError


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route with its name as the path prefix."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1500,
        "MaxAttempts": 2,
        "Priority": 1,
        "Service": service,
        "Public": False,
        **fields,
    }


def configuration(routes: list[dict], services: list[dict]) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1 << 20,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    tenants = [{"Name": "tenant-1", "ApiKeys": [KEY]}]
    return {
        "Version": 1,
        "Routes": routes,
        "Services": services,
        "Limits": limits,
        "Tenants": tenants,
    }


class Node:
    """One node, as a process of its own, with the command of the deploy file."""

    def __init__(self, number: int, store: str, folder: Path) -> None:
        self.number = number
        self.ip = f"127.0.{40 + number}.1"
        self.callers = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.control = f"{self.ip}:{free_port(self.ip)}"
        self._gossip = free_port(self.ip)
        self._store = store
        self._file = folder / f"edge-{number}.yaml"
        self._log = folder / f"edge-{number}.log"
        self._process: subprocess.Popen | None = None

    def configure(self, seeds: list[str], gossip: int) -> None:
        """Write the settings file; the ports between nodes are those of the first."""
        self._gossip = gossip
        self._file.write_text(
            json.dumps(_settings(self, seeds, gossip, self._store)), encoding="utf-8"
        )

    @property
    def gossip(self) -> int:
        """The first port for traffic between nodes."""
        return self._gossip

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["EELGRASSWARD_CONFIG"] = str(self._file)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        os.kill(self._process.pid, number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.is_running():
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def log_lines(self) -> list[str]:
        """Return what it has written."""
        return self._log.read_text(encoding="utf-8", errors="replace").splitlines()

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready, as the platform asks it."""
        try:
            found = await call(self.ready, "GET", "/-/readyz", {"Host": "ready"})
        except (OSError, EOFError, ValueError, TimeoutError):
            return False
        return found is not None and found.status == 200


def _settings(node: Node, seeds: list[str], gossip: int, store: str) -> dict:
    listen = {
        "Frontend": node.callers,
        "Readiness": node.ready,
        "Control": node.control,
    }
    bounds = {
        "SeedLagS": 3,
        "ReuseAfterS": 2,
        "ContactMs": 3000,
        "AckMs": 4000,
        "CatchUpS": 4,
        "DrainMs": 2000,
        "GraceS": 8,
        "LossSlackMs": 200,
        "ConfigApplyMs": 2000,
        "DowngradeMs": 250,
        "MaxStretchMs": 5000,
        "StrictRevoke": False,
        "RevokeMs": 5000,
        "RetryBudget": 0.2,
        "BudgetWindowS": 10,
        "RetrySlack": 56,
        "RecoveryS": 12,
        "PassMs": 120,
        "ReuseWindowS": 9,
    }
    return {
        "NodeName": f"edge-a-{node.number}",
        "Role": "entry",
        "MachineClass": "edge",
        "Serves": ["edge", "control"],
        "BindIp": node.ip,
        "Zone": "a",
        "Region": "r",
        "Zones": {"a": "r"},
        "Listen": listen,
        "PortRange": [gossip, gossip + 15],
        "Seeds": seeds,
        "Bootstrap": True,
        "LossCounts": False,
        "Limits": {
            "CpuShare": 0.537,
            "Cores": 2,
            "MemoryMb": 300,
            "MaxFds": 4100,
            "BandwidthMbps": 1000.0,
            "DiskMb": 0,
        },
        "DataDir": None,
        "Discovery": "platform",
        "Entry": "vip",
        "HeartbeatMs": 1200,
        "Contracts": [
            "base",
            "drain",
            "config",
            "retry",
            "recover",
            "engine",
            "stream",
        ],
        "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
        "Bounds": bounds,
        "Platform": {
            "Address": store,
            "form": "table",
            "WritesPerS": 400,
            "ReadsPerS": 2000,
            "TxMs": 5.0,
            "PartitionWritesS": 200,
            "RowBytes": 65536,
            "Across": False,
            "HistoryS": 20,
        },
    }


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    within_s: float = 6.0,
) -> Message | None:
    """Send a request on a new connection; return the answer, None if there is none."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_message(reader, is_answer=True)
        finally:
            writer.close()


class Rig:
    """The store, engines and nodes of one case."""

    def __init__(self, folder: Path, nodes: int) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.engines: list[Engine] = []
        self._folder = Path(tempfile.mkdtemp(prefix="eelgrassward-review-"))
        self._node_count = nodes
        self.nodes: list[Node] = []

    async def start(self, settings: dict[str, Any]) -> None:
        """Start the store, engines and nodes; wait until the nodes are ready."""
        if not (ROOT / "target" / "deps" / "eelgrass_node").is_dir():
            raise CannotRun("target/deps is missing: run deploy/build first")
        await self.store.start()
        self.store.put("op", "config", settings)
        for engine in self.engines:
            await engine.start()
            self.store.put("servers", engine.id, engine.entry())
        self.nodes = [
            Node(number, self.store.address, self._folder)
            for number in range(1, self._node_count + 1)
        ]
        seeds = [node.control for node in self.nodes[:3]]
        for node in self.nodes:
            node.configure(seeds, self.nodes[0].gossip)
            node.start()
        await self.until_ready()
        await asyncio.sleep(2.0)

    async def until_ready(self) -> None:
        """Wait until all nodes are ready."""
        until = time.monotonic() + READY_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > until or not node.is_running():
                    raise CannotRun(f"node {node.number} does not become ready")
                await asyncio.sleep(0.1)

    async def ask(
        self,
        request_id: str,
        target: str,
        node: int = 0,
        method: str = "POST",
        body: bytes = b"",
        deadline_ms: int = 3000,
        **headers: str,
    ) -> Message | None:
        """Send a client's request to a node and record it with its answer.

        None if the connection ended without the head of an answer.
        """
        sent = {
            "Host": HOST,
            "Eelgrassward-Attempt-Id": request_id,
            "Authorization": f"Bearer {KEY}",
            "Eelgrassward-Deadline-Ms": str(deadline_ms),
        }
        sent.update({name.replace("_", "-"): text for name, text in headers.items()})
        self.record.write(
            f"client sends {request_id}: {method} {target} to node {node}"
        )
        try:
            found = await call(
                self.nodes[node].callers,
                method,
                target,
                sent,
                body,
                deadline_ms / 1000 + 1,
            )
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            self.record.write(f"client gets no answer to {request_id}: {error!r}")
            return None
        if found is None:
            self.record.write(f"client gets no answer to {request_id}: closed")
            return None
        shown = found.body[:200]
        cut = "" if found.is_whole else ", cut,"
        self.record.write(f"client gets {found.status}{cut} to {request_id}: {shown!r}")
        return found

    async def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.kill()
            for line in node.log_lines():
                self.record.write(f"log of node {node.number}: {line}")
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        shutil.rmtree(self._folder, ignore_errors=True)


def main(
    folder: Path,
    nodes: int,
    case: Callable[[Rig], Awaitable[bool]],
    within_s: float = 110.0,
) -> None:
    """Run a case, which returns whether its rule was broken, and exit."""

    async def run() -> int:
        rig = Rig(folder, nodes)
        rig.record.write(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(within_s):
                is_broken = await case(rig)
        except Exception as error:  # noqa: BLE001
            rig.record.write(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await rig.stop()
        rig.record.write("the rule was broken" if is_broken else "the rule held")
        print("broken" if is_broken else "held")
        return BROKEN if is_broken else HELD

    sys.exit(asyncio.run(run()))
