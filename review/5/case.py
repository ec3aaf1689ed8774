"""An engine sends answers without end after a whole one; nodes run out of memory."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import TROUBLE, Engine, Message, Node, Rig, answer, configuration, main, route

MEMORY_MB = 300
WATCH_S = 85.0
NODES = 2
ENDS = 3
BLOCK_ANSWERS = 400
# The engine is faulty for 5 s, again and again.
SPELL_S = 5.0
PAUSE_S = 4.0
# Each node gets two requests a second, as on a small site (17 a second on 9 machines).
ASK_INTERVAL_S = 0.25


class Portal(Engine):
    """Runs requests; with ``is_faulty`` it sends on after each whole answer."""

    def __init__(self, engine_id: str, service: str, rig: Rig) -> None:
        super().__init__(engine_id, service)
        self.is_faulty = False
        self._rig = rig
        self._tasks: set[asyncio.Task] = set()

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request."""
        request_id = request.header("Eelgrassward-Attempt-Id") or ""
        await asyncio.sleep(0.02)
        headers = {
            name.replace("-", "_"): text for name, text in self.signed(request).items()
        }
        whole = answer(200, b"answer", **headers)
        writer.write(whole)
        self._rig.record.write(f"{self.id} runs {request_id}")
        if self.is_faulty:
            task = asyncio.create_task(self._send_on(writer, request_id))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return True

    async def _send_on(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        """Send more answers until the other side closes."""
        await asyncio.sleep(0.02)
        more = answer(200) * BLOCK_ANSWERS
        sent, began = 0, time.monotonic()
        try:
            while not writer.is_closing():
                writer.write(more)
                await writer.drain()
                sent += len(more)
                await asyncio.sleep(0.002)
        except OSError:
            pass
        self._rig.record.write(
            f"{self.id} sent {sent} bytes after its answer to {request_id} "
            f"until the node closed, {time.monotonic() - began:.1f} s"
        )


def memory_mb(node: Node) -> float:
    """Return the memory of a node's process in MB."""
    try:
        lines = Path(f"/proc/{node.pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0.0
    for line in lines.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


async def guard(rig: Rig, node: Node, ends: list[float]) -> None:
    """Kill a node that exceeds its memory and start it again, as the platform does."""
    peak = 0.0
    while True:
        await asyncio.sleep(0.1)
        used = memory_mb(node)
        if used > peak + 20:
            peak = used
            rig.record.write(f"node {node.number} uses {used:.0f} MB")
        if used > MEMORY_MB:
            ends.append(time.monotonic())
            rig.record.write(
                f"node {node.number} is over its limit of {MEMORY_MB} MB: killed"
            )
            node.kill()
            await asyncio.sleep(0.5)
            node.start()
            peak = 0.0


async def fail_in_spells(portal: Portal) -> None:
    """Have an engine be faulty for a while, again and again."""
    while True:
        portal.is_faulty = True
        await asyncio.sleep(SPELL_S)
        portal.is_faulty = False
        await asyncio.sleep(PAUSE_S)


async def case(rig: Rig) -> bool:
    """Return whether processes of two nodes ended three times by themselves."""
    portals = [Portal(f"i-portal-{n}", "portal", rig) for n in range(3)]
    rig.engines = list(portals)
    services = [{"Name": "portal", "MaxConnections": 370}]
    routes = [route("readings", "idempotent", "portal")]
    await rig.start(configuration(routes, services))
    ends: list[list[float]] = [[] for _ in rig.nodes]
    tasks = [
        asyncio.create_task(guard(rig, node, ended))
        for node, ended in zip(rig.nodes, ends, strict=True)
    ]
    if TROUBLE:
        tasks.append(asyncio.create_task(fail_in_spells(portals[0])))
    served = 0

    async def ask(number: int) -> None:
        nonlocal served
        node = number % len(rig.nodes)
        found = await rig.ask(
            f"reading-{number}", f"/readings/{number}", node=node, method="GET"
        )
        served += found is not None and found.status == 200

    watch_s = WATCH_S if TROUBLE else WATCH_S / 4
    until = time.monotonic() + watch_s
    asked: list[asyncio.Task] = []
    while time.monotonic() < until and min(map(len, ends)) < ENDS:
        asked.append(asyncio.create_task(ask(len(asked))))
        await asyncio.sleep(ASK_INTERVAL_S)
    await asyncio.gather(*asked)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    counts = [len(ended) for ended in ends]
    rig.record.write(f"{served} of {len(asked)} requests were served; ends: {counts}")
    if not served:
        raise RuntimeError("no request was served")
    return min(counts) >= ENDS


main(Path(__file__).resolve().parent, NODES, case)
