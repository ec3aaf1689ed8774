"""A small deployment for the cases of the second review: nodes and stand-ins.

The nodes are processes of the project, started with the command of the deploy file. The
platform's store, the engines and the clients are small stand-ins in the process of the
script, which speak what PROTOCOL.md says. Only the standard library is used, so that
nothing has to be installed.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "rack.example"
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.2
START_S = 30.0
HELD, BROKEN, UNABLE = 0, 1, 2
# The bounds of the small sites, as in DEPLOY.md.
BOUNDS = {
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
    "RetryBudget": 0.2,
    "BudgetWindowS": 10,
    "RetrySlack": 58,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 9,
}


class Record:
    """Writes what is sent, answered and run to ``record.txt``, one line for each."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, event: str, /, **fields: object) -> None:
        """Write one line."""
        at = round(time.monotonic() - self._began, 3)
        self._file.write(f"{at:8.3f} {event} {json.dumps(fields, default=str)}\n")

    def say(self, sentence: str) -> None:
        """Write a sentence to the record and to the standard output."""
        self._file.write(f"# {sentence}\n")
        self._file.flush()
        print(sentence, flush=True)


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that are free for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randint(10_000, 31_000)
        if port in ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    return ports


def _bind_anywhere(ip: str) -> socket.socket:
    """Return a socket that is bound to a free port of an address."""
    while True:
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            bound.bind((ip, *free_ports(ip, 1)))
            return bound
        except OSError:
            bound.close()


# --- HTTP/1.1, as far as the stand-ins need it


class Ended(Exception):
    """The other end has closed the connection between two messages."""


@dataclass
class Message:
    """A request or an answer; ``start`` is the first line, split at blanks."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start[1])

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers of a message."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head was cut off") from error
        raise Ended from error
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body; raises IncompleteReadError if it is cut off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message, as far as it comes."""
    body = bytearray()
    try:
        if "chunked" in message.get("transfer-encoding"):
            async for chunk in read_chunks(reader):
                body += chunk
        elif "content-length" in message.headers:
            left = int(message.get("content-length"))
            while left:
                data = await reader.read(left)
                if not data:
                    message.is_whole = False
                    break
                body += data
                left -= len(data)
        elif message.start[0].startswith("HTTP/"):
            body += await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_whole = False
    message.body = bytes(body)


def encode_head(first: str, headers: dict[str, object]) -> bytes:
    """Return the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def answer(
    status: int, body: bytes = b"", headers: dict[str, object] | None = None
) -> bytes:
    """Return a whole answer with a length."""
    fields = {**(headers or {}), "Content-Length": len(body)}
    return encode_head(f"HTTP/1.1 {status} Answer", fields) + body


@dataclass
class Exchange:
    """A request on a connection to a stand-in, which writes the answer itself."""

    message: Message
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    connection: int

    @property
    def path(self) -> str:
        """The path without its query."""
        return urlsplit(self.message.start[1]).path

    @property
    def query(self) -> dict[str, str]:
        """The query, with the first value of each name."""
        parsed = parse_qs(urlsplit(self.message.start[1]).query, keep_blank_values=True)
        return {name: values[0] for name, values in parsed.items()}


class HttpStandIn:
    """Listens at an address and passes each request to :meth:`serve`.

    The task of a request is cancelled if the caller closes its connection meanwhile.
    """

    def __init__(self, ip: str = "127.0.0.1") -> None:
        # Bound at once, so that nobody else gets the port before it listens.
        self._bound: socket.socket | None = _bind_anywhere(ip)
        self.ip, self.port = ip, self._bound.getsockname()[1]
        self.address = f"{ip}:{self.port}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        """Begin to listen, also once more after a stop."""
        bound, self._bound = self._bound, None
        if bound is None:
            bound = socket.create_server((self.ip, self.port))
        self._server = await asyncio.start_server(
            self._accept, sock=bound, limit=1 << 22
        )

    async def stop(self, is_reset: bool = False) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if is_reset:
                reset(writer)
            writer.transport.abort()

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = next(self._numbers)
        self._writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                await read_body(reader, message)
                if not message.is_whole:
                    return
                exchange = Exchange(message, reader, writer, number)
                await self._serve_while_open(exchange)
                if writer.transport.is_closing():
                    return
                await writer.drain()
        except (Ended, ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.LimitOverrunError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_while_open(self, exchange: Exchange) -> None:
        serving = asyncio.ensure_future(self.serve(exchange))
        closed = asyncio.ensure_future(_until_closed(exchange))
        try:
            await asyncio.wait({serving, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                raise ConnectionResetError("the caller has left")
            serving.result()
        finally:
            for task in (serving, closed):
                task.cancel()
            await asyncio.gather(serving, closed, return_exceptions=True)


async def _until_closed(exchange: Exchange) -> None:
    transport = exchange.writer.transport
    while True:
        await asyncio.sleep(0.02)
        if exchange.reader.at_eof() or transport.is_closing():
            return


def reset(writer: asyncio.StreamWriter) -> None:
    """Have a connection reset when it is closed."""
    opened = writer.get_extra_info("socket")
    if opened is not None and opened.fileno() >= 0:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


# --- The platform's store


class Store(HttpStandIn):
    """Rows in tables, with a feed; ``is_down`` has it answer 503."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.version = 0
        self.is_down = False
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> float:
        """Write a row as JSON; return the time of the confirmation."""
        self._write(table, key, json.dumps(value).encode())
        return time.monotonic()

    def remove(self, table: str, key: str) -> float:
        """Remove a row; return the time of the confirmation."""
        self._write(table, key, None)
        return time.monotonic()

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, exchange: Exchange) -> None:
        """Answer one call."""
        await asyncio.sleep(0.004)
        if self.is_down:
            exchange.writer.write(answer(503))
            return
        status, body = 404, {}
        if exchange.path == "/-/rows-get":
            status, body = 200, self._get(exchange.query)
        elif exchange.path == "/-/rows-feed":
            status, body = 200, await self._feed(exchange.query)
        elif exchange.path == "/-/rows-parts":
            status, body = 200, {"parts": [""], "HasMore": False}
        elif exchange.path == "/-/rows-tx":
            status, body = self._transaction(json.loads(exchange.message.body))
        body = {**body, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}
        headers = {"Content-Type": "application/json"}
        exchange.writer.write(answer(status, json.dumps(body).encode(), headers))

    def _get(self, query: dict[str, str]) -> dict:
        limit = int(query.get("Limit", "500"))
        found = [
            _row(key, *row)
            for (table, key), row in sorted(self.rows.items())
            if table == query["Table"]
            and row[1] is not None
            and key >= query.get("FromKey", "")
            and ("To" not in query or key < query["To"])
        ]
        return {"Rows": found[:limit], "HasMore": len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> dict:
        after, table = int(query["After"]), query["Table"]
        until = time.monotonic() + min(30_000, int(query.get("WaitMs", "0"))) / 1000
        while True:
            found = sorted(
                (row[0], key, row[1])
                for (name, key), row in self.rows.items()
                if name == table and row[0] > after
            )
            left = until - time.monotonic()
            if found or left <= 0:
                return {"Rows": [_row(key, ver, value) for ver, key, value in found]}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transaction(self, call: dict) -> tuple[int, dict]:
        entries = [*call.get("Writes", ()), *call.get("Remove", ())]
        if any(entry["Table"] in ("op", "servers") for entry in entries):
            return 403, {}
        for expected in call.get("ExpectRev", ()):
            ver, value = self.rows.get((expected["Table"], expected["Key"]), (0, None))
            if expected["Ver"] != (0 if value is None else ver):
                return 412, {"Rows": []}
        for entry in call.get("Writes", ()):
            value = base64.b64decode(entry["Value"])
            self._write(entry["Table"], entry["Key"], value)
        for entry in call.get("Remove", ()):
            self._write(entry["Table"], entry["Key"], None)
        return 200, {}


def _row(key: str, version: int, value: bytes | None) -> dict:
    if value is None:
        return {"Key": key, "Ver": version, "Deleted": True}
    return {"Key": key, "Ver": version, "Value": base64.b64encode(value).decode()}


# --- Engines


@dataclass
class Result:
    """A result that a stage server holds, and the item that it belongs to."""

    item: dict
    until: float


@dataclass
class Run:
    """A request that an engine has run, or one that it runs."""

    engine: str
    attempt: str
    path: str
    headers: dict[str, str]
    body: bytes
    began: float
    ended: float | None = None
    version: str = "1"
    events: list[int] = field(default_factory=list)


class Engine(HttpStandIn):
    """A server of one service, which registers itself in the store.

    ``kind`` is ``plain``, ``model`` or ``stage``. It takes ``slots`` requests at once
    and queues ``queue`` more. Plain requests take ``work_s``; a stream has ``events``,
    one each ``event_s``. ``runs`` holds the requests that have begun here.
    """

    def __init__(
        self,
        rig: "Rig",
        service: str,
        kind: str,
        zone: str,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.06,
        events: int = 13,
        event_s: float = 0.05,
        first_s: float = 0.1,
        version: str = "1",
    ) -> None:
        super().__init__()
        self.rig, self.service, self.kind, self.zone = rig, service, kind, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.events, self.event_s, self.first_s = events, event_s, first_s
        self.version = version
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = self.waiting = 0
        self.runs: list[Run] = []
        self.items: list[dict] = []
        self.results: dict[str, Result] = {}
        self.is_registered = True
        self._turn = asyncio.Semaphore(slots)
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and check in with the store from now on."""
        await super().start()
        self._beating = asyncio.create_task(self._beat())

    async def stop(self, is_reset: bool = False) -> None:
        """End the engine without a word."""
        if self._beating is not None:
            self._beating.cancel()
        await super().stop(is_reset)

    def begin_anew(self) -> None:
        """Forget everything, as an engine does that starts again under its id."""
        self.born = int(time.time() * 1000)
        self.results = {}
        self.running = self.waiting = 0
        self._turn = asyncio.Semaphore(self.slots)

    def entry(self) -> dict:
        """Return the engine's entry in the list."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    def check_in(self) -> float:
        """Write the entry now; return the time of the confirmation."""
        self.sequence += 1
        return self.rig.store.put("servers", self.id, self.entry())

    async def _beat(self) -> None:
        while True:
            if self.is_registered and not self.rig.store.is_down:
                self.check_in()
            await asyncio.sleep(HEARTBEAT_S)

    def load(self) -> str:
        """Return what the engine says of its load."""
        return f"{self.running},{self.waiting},{self.slots}"

    def marks(self, attempt: str | None) -> dict[str, object]:
        """Return the headers that all answers bear."""
        marks: dict[str, object] = {"Eelgrassward-Engine-Load": self.load()}
        if attempt:
            marks["Eelgrassward-Attempt-Id"] = attempt
        return marks

    def signature(self) -> str:
        """Return a signature of this engine."""
        return f"{self.id}.{random.getrandbits(32):08x}"

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        message = exchange.message
        expected = message.get("eelgrassward-expect-engine", self.id)
        attempt = message.get("eelgrassward-attempt-id") or None
        if expected != self.id:
            exchange.writer.write(answer(421, b"", {"Eelgrassward-Not-Executed": "1"}))
        elif exchange.path == "/-/report":
            exchange.writer.write(self._report())
        elif exchange.path == "/healthz":
            marks = {"Eelgrassward-Engine-Id": self.id, **self.marks(None)}
            exchange.writer.write(answer(200, b"", marks))
        elif exchange.path == "/-/stage-run":
            await self.run_items(exchange)
        elif exchange.path == "/-/stage-free":
            for handle in json.loads(message.body)["Handles"]:
                self.results.pop(handle, None)
            exchange.writer.write(answer(200, b"", self.marks(attempt)))
        elif attempt is None:
            exchange.writer.write(answer(400, b"", {"Eelgrassward-Not-Executed": "1"}))
        else:
            await self.run_request(exchange, attempt)

    def _report(self) -> bytes:
        report = {
            "Phase": "both",
            "Models": [{"Name": "m", "Version": 1, "Loras": []}],
            "Busy": self.running > 0,
            "Sequence": 0,
            "Queued": self.waiting,
            "Running": self.running,
            "born": self.born,
        }
        return answer(200, json.dumps(report).encode(), self.marks(None))

    async def take_turn(self, exchange: Exchange, attempt: str | None) -> bool:
        """Wait for a slot; answer that the engine is full if its queue is."""
        if self.running >= self.slots and self.waiting >= self.queue:
            refused = {"Eelgrassward-Not-Executed": "1", **self.marks(attempt)}
            exchange.writer.write(answer(503, b"", refused))
            return False
        self.waiting += 1
        try:
            await self._turn.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    def end_turn(self) -> None:
        """Give the slot back."""
        self.running -= 1
        self._turn.release()

    async def run_request(self, exchange: Exchange, attempt: str) -> None:
        """Run a request of a client."""
        if not await self.take_turn(exchange, attempt):
            return
        try:
            message = exchange.message
            run = Run(
                self.id,
                attempt,
                message.start[1],
                message.headers,
                message.body,
                time.monotonic(),
                version=self.version,
            )
            if self.kind == "model" and not self._takes_inputs(exchange, run):
                return
            self.runs.append(run)
            self.rig.record("run", engine=self.id, attempt=attempt, path=run.path)
            try:
                if self.kind == "model":
                    await self.stream(exchange, run)
                else:
                    await asyncio.sleep(self.work_s)
                    exchange.writer.write(self.plain_answer(run))
            finally:
                run.ended = time.monotonic()
        finally:
            self.end_turn()

    def plain_answer(self, run: Run) -> bytes:
        """Return the answer to a plain request: its id and its body."""
        marks = {
            "Eelgrassward-Engine-Signature": self.signature(),
            **self.marks(run.attempt),
        }
        return answer(200, f"{run.attempt}:".encode() + run.body, marks)

    def _takes_inputs(self, exchange: Exchange, run: Run) -> bool:
        """Check the inputs of a request that has stages."""
        handles = run.headers.get("eelgrassward-inputs")
        if "eelgrassward-segments" not in run.headers:
            return True
        refused = {"Eelgrassward-Not-Executed": "1", **self.marks(run.attempt)}
        if not handles:
            exchange.writer.write(answer(400, b"", refused))
            return False
        found = [self.rig.result(handle) for handle in handles.split(",")]
        if None in found:
            exchange.writer.write(answer(409, b"", refused))
            return False
        items = [result.item for result in found]
        self.rig.on_inputs("request", run.attempt, None, items)
        return True

    async def stream(self, exchange: Exchange, run: Run) -> None:
        """Send events, each with its number and the id of the stream."""
        marks = {
            "Eelgrassward-Engine-Signature": self.signature(),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            **self.marks(run.attempt),
        }
        await asyncio.sleep(self.first_s)
        exchange.writer.write(encode_head("HTTP/1.1 200 OK", marks))
        first = int(run.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.id}\n\n".encode()
            exchange.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await exchange.writer.drain()
            run.events.append(number)
            await asyncio.sleep(self.event_s)
        exchange.writer.write(b"0\r\n\r\n")

    async def run_items(self, exchange: Exchange) -> None:
        """Run the items of a stage call."""
        items = json.loads(exchange.message.body)["Items"]
        if not await self.take_turn(exchange, None):
            return
        try:
            made = []
            for item in items:
                made.append(self._take_item(item))
            await asyncio.sleep(0.15 + 0.016 * len(items))
            exchange.writer.write(self.stage_answer(exchange, items, made))
        finally:
            self.end_turn()

    def _take_item(self, item: dict) -> dict:
        inputs = item.get("Inputs")
        if inputs is not None:
            found = [self.rig.result(handle) for handle in inputs]
            if None in found:
                return {"Reason": "gone"}
            self.rig.on_inputs(
                "piece", item["Id"], item["Phase"], [result.item for result in found]
            )
        self.items.append(item)
        handle = f"{self.address}/{random.getrandbits(44):011x}"
        self.results[handle] = Result(item, time.monotonic() + 4.0)
        self.rig.record(
            "piece",
            engine=self.id,
            service=self.service,
            id=item["Id"],
            phase=item["Phase"],
            segment=item["Segment"],
            handle=handle,
            inputs=inputs,
        )
        return {"Handle": handle}

    def stage_answer(
        self, exchange: Exchange, items: list[dict], made: list[dict]
    ) -> bytes:
        """Return the answer to a stage call."""
        body = json.dumps({"Items": made}).encode()
        attempt = exchange.message.get("eelgrassward-attempt-id") or None
        marks = {"Content-Type": "application/json", **self.marks(attempt)}
        return answer(200, body, marks)


# --- Clients


@dataclass
class Reply:
    """What a client got; ``status`` is 0 if there was no answer."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    took_s: float

    @property
    def is_success(self) -> bool:
        """Whether it is a complete success."""
        return 200 <= self.status < 300 and self.is_whole


class Connection:
    """A connection of a client that is kept open."""

    def __init__(self, address: str) -> None:
        self.ip, _, port = address.rpartition(":")
        self.port = int(port)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            self.ip, self.port, limit=1 << 22
        )

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def read(self) -> Message:
        """Read one answer."""
        message = await read_head(self.reader)
        await read_body(self.reader, message)
        return message


def request_bytes(
    method: str,
    path: str,
    attempt: str,
    body: bytes = b"",
    deadline_ms: int = 8000,
    fields: dict[str, object] | None = None,
) -> bytes:
    """Return the bytes of a request of a client."""
    headers: dict[str, object] = {
        "Host": HOST,
        "Eelgrassward-Attempt-Id": attempt,
        "Eelgrassward-Deadline-Ms": deadline_ms,
        "Authorization": f"Bearer {KEY}",
        **(fields or {}),
    }
    if body or method == "POST":
        headers.setdefault("Content-Length", len(body))
    return encode_head(f"{method} {path} HTTP/1.1", headers) + body


def new_attempt() -> str:
    """Return a new id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


# --- Nodes


class Node:
    """A process of the project, with its settings."""

    def __init__(self, rig: "Rig", number: int, zone: str, limits: dict) -> None:
        self.rig, self.name, self.zone = rig, f"edge-{zone}-{number}", zone
        self.ip = f"127.0.0.{number + 11}"
        callers, ready, control, first = free_ports(self.ip, 4)
        self.address = f"{self.ip}:{callers}"
        self.readiness = f"{self.ip}:{ready}"
        self.control = f"{self.ip}:{control}"
        self.first_port = first
        self.limits = {
            "CpuShare": 0.537,
            "Cores": 2,
            "MemoryMb": 300,
            "MaxFds": 4100,
            "BandwidthMbps": 1000.0,
            "DiskMb": 0,
            **limits,
        }
        self.process: subprocess.Popen | None = None

    def settings(self) -> dict:
        """Return the settings, as DEPLOY.md shows them."""
        return {
            "NodeName": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge", "control"],
            "BindIp": self.ip,
            "Zone": self.zone,
            "Region": "mvd",
            "Zones": dict.fromkeys(ZONES, "mvd"),
            "Listen": {
                "Frontend": self.address,
                "Readiness": self.readiness,
                "Control": self.control,
            },
            "PortRange": [self.rig.gossip_port, self.rig.gossip_port + 15],
            "Seeds": self.rig.seeds(),
            "Bootstrap": True,
            "LossCounts": False,
            "Limits": self.limits,
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Contracts": ["base", "drain", "config", "retry", "stream", "tenants"],
            "Bounds": self.rig.bounds,
            "Platform": {
                "Address": self.rig.store.address,
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

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        file = self.rig.folder / f"{self.name}.yaml"
        # JSON is YAML.
        file.write_text(json.dumps(self.settings()))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "EELGRASSWARD_CONFIG": str(file),
        }
        with (self.rig.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "eelgrass_node.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        file = self.rig.folder / f"{self.name}.log"
        return file.read_text(errors="replace").splitlines() if file.exists() else []

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        connection = Connection(self.readiness)
        try:
            async with asyncio.timeout(1):
                await connection.open()
                connection.writer.write(
                    encode_head("GET /-/readyz HTTP/1.1", {"Host": HOST})
                )
                return (await connection.read()).status == 200
        except (OSError, TimeoutError, Ended):
            return False
        finally:
            connection.close()


# --- The deployment


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route whose prefix is its name."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 2200,
        "MaxAttempts": 2,
        "Priority": 1,
        "Service": service,
        **fields,
    }


def stage_service(name: str, batch: int, queue: int = 2) -> dict:
    """Return a service that runs stages."""
    segments = {
        "Slots": 1,
        "Queue": queue,
        "Batch": batch,
        "CallMs": 150,
        "ItemMs": 16,
        "HeadroomMb": 36,
        "HandleS": 4,
        "BandwidthMbps": 10_000,
    }
    return {"Name": name, "MaxConnections": 370, "Segments": segments}


def model_service(name: str, slots: int = 64) -> dict:
    """Return a service of model engines."""
    engine = {"Slots": slots, "KvCapacity": 318_373}
    return {"Name": name, "MaxConnections": 370, "Engine": engine}


class Rig:
    """The store, engines and nodes of one case."""

    def __init__(self, folder: Path) -> None:
        self.case = folder
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.engines: list[Engine] = []
        self.nodes: list[Node] = []
        self.bounds = dict(BOUNDS)
        self.foreign: list[dict] = []
        self.gossip_port = free_ports("127.0.0.1", 1)[0]
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._tasks: set[asyncio.Task] = set()

    def seeds(self) -> list[str]:
        """Return the control addresses of the first three nodes."""
        return [node.control for node in self.nodes[:3]]

    def result(self, handle: str) -> Result | None:
        """Return the result behind a handle, if its maker still holds it."""
        now = time.monotonic()
        for engine in self.engines:
            found = engine.results.get(handle)
            if found is not None and found.until > now:
                return found
        return None

    def on_inputs(
        self, what: str, attempt: str, phase: int | None, items: list[dict]
    ) -> None:
        """Check that inputs belong to the request that they are given to."""
        strangers = [item for item in items if item["Id"] != attempt]
        if strangers:
            found = {
                "what": what,
                "attempt": attempt,
                "phase": phase,
                "inputs_of": [
                    (item["Id"], item["Phase"], item["Segment"]) for item in items
                ],
            }
            self.foreign.append(found)
            self.record("FOREIGN", **found)

    def later(self, work: Coroutine[None, None, None]) -> None:
        """Do something beside what goes on."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def configure(self, configuration: dict) -> float:
        """Write the operator's configuration; return the time of its confirmation."""
        self.record("configuration", version=configuration["Version"])
        return self.store.put("op", "config", configuration)

    async def start(self, until_ready: bool = True) -> None:
        """Start everything, and wait until the nodes are ready."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
        for node in self.nodes:
            node.start()
        if not until_ready:
            return
        end = time.monotonic() + START_S
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end or not all(n.is_running for n in self.nodes):
                raise Unable("the nodes do not get ready")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            # One that was stopped has to go on, or it would not be told.
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                await asyncio.to_thread(node.process.wait)
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        self._keep_logs(os.environ.get("KEEP_LOGS"))
        self._temporary.cleanup()

    def _keep_logs(self, folder: str | None) -> None:
        """Copy what the nodes wrote to a folder, if one is given."""
        for node in self.nodes if folder else ():
            Path(folder, f"{node.name}.log").write_text("\n".join(node.log_lines()))

    async def ask(
        self,
        node: Node,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 8000,
        fields: dict[str, object] | None = None,
        connection: Connection | None = None,
        attempt: str | None = None,
    ) -> Reply:
        """Send a request as a client does, on a new connection if none is given."""
        attempt = attempt or new_attempt()
        self.record("sent", attempt=attempt, node=node.name, path=path)
        own = connection is None
        opened = connection or Connection(node.address)
        began = time.monotonic()
        status, headers, data, whole = 0, {}, b"", False
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if opened.writer is None:
                    await opened.open()
                opened.writer.write(
                    request_bytes(method, path, attempt, body, deadline_ms, fields)
                )
                got = await opened.read()
                status, headers = got.status, got.headers
                data, whole = got.body, got.is_whole
        except (OSError, Ended, TimeoutError) as error:
            self.record("failed", attempt=attempt, error=repr(error))
        finally:
            if own:
                opened.close()
        took_s = time.monotonic() - began
        self.record(
            "answered",
            attempt=attempt,
            status=status,
            whole=whole,
            bytes=len(data),
            took_s=round(took_s, 3),
        )
        return Reply(attempt, status, headers, data, whole, took_s)


class Unable(Exception):
    """The case could not run."""


def run_case(folder: Path, case: Callable[[Rig], Awaitable[bool]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else with 2.

    ``case`` returns whether the rule held.
    """

    async def run() -> int:
        rig = Rig(folder)
        # A connection that is reset while nobody reads it is no news.
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: rig.record("loop", **context)
        )
        try:
            async with asyncio.timeout(115):
                return HELD if await case(rig) else BROKEN
        except (Unable, TimeoutError) as error:
            rig.record.say(f"The case could not run: {error!r}")
            return UNABLE
        finally:
            await rig.stop()

    if not (ROOT / "target" / "deps" / "eelgrass_node").is_dir():
        print("target/deps is missing: run sh deploy/build first")
        sys.exit(UNABLE)
    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        print(f"The case could not run: {error!r}")
        code = UNABLE
    sys.exit(code)
