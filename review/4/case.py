"""After one entry that cannot be read, restarted nodes know no engines any more."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig as r  # noqa: E402

# An entry of another writer, whose bytes cannot be read; far below 64 KiB (RowBytes).
UNREADABLE = b'{"Service":"desk","Notes":' + b"[" * 2000
WRITERS = 3
HEARTBEAT_S = 1.2
RECOVERY_S = 12.0
BEFORE_S, AFTER_S = 6.0, 10.0
RATE_PER_S = 10


class Desk(r.Engine):
    """Runs requests."""

    async def run(self, request: r.Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request."""
        name = request.header("Eelgrassward-Attempt-Id") or ""
        await asyncio.sleep(0.03)
        writer.write(r.answer(200, b"done " + name.encode(), **self.signed(request)))
        return True


async def _served_share(rig: r.Rig, phase: str, for_s: float) -> float:
    asked = []
    began = time.monotonic()
    while time.monotonic() - began < for_s:
        name = f"{phase}-{len(asked)}"
        node = len(asked) % len(rig.nodes)
        asking = rig.ask(name, f"/safe/{name}", node, method="GET")
        asked.append(asyncio.create_task(asking))
        await asyncio.sleep(1 / RATE_PER_S)
    answers = await asyncio.gather(*asked)
    served = sum(found is not None and found.status == 200 for found in answers)
    rig.record.write(f"{phase}: {served} of {len(asked)} served")
    return served / len(asked)


async def _check_in(rig: r.Rig) -> None:
    """Have all engines check in, one after the other, in each interval."""
    while True:
        for engine in rig.engines:
            rig.store.put("servers", engine.id, engine.entry())
            await asyncio.sleep(HEARTBEAT_S / len(rig.engines))


async def _write_unreadable(rig: r.Rig) -> None:
    """Have the other writers check in, as engines do."""
    number = 0
    while True:
        number = number % WRITERS + 1
        rig.store.put_raw("servers", f"i-a-{number}", UNREADABLE)
        await asyncio.sleep(HEARTBEAT_S / WRITERS)


async def case(rig: r.Rig) -> bool:
    """Return whether less than a quarter is served after the final fault."""
    rig.engines += [Desk(f"i-desk-{number}", "desk") for number in (1, 2, 3)]
    safe = r.route("safe", "idempotent", "desk")
    await rig.start(r.configuration([safe], [{"Name": "desk", "MaxConnections": 110}]))
    writing = [asyncio.create_task(_check_in(rig))]
    before = await _served_share(rig, "before", BEFORE_S)
    if r.TROUBLE:
        rig.record.write("other writers begin to write entries that cannot be read")
        writing.append(asyncio.create_task(_write_unreadable(rig)))
        await asyncio.sleep(2.0)
        await _served_share(rig, "with-the-entries", 3.0)
    rig.record.write("final fault: all processes of the system are killed")
    for node in rig.nodes:
        node.kill()
    await asyncio.sleep(1.0)
    for node in rig.nodes:
        node.start()
    await rig.until_ready()
    rig.record.write("the machines are back, and their nodes say that they are ready")
    await asyncio.sleep(RECOVERY_S)
    after = await _served_share(rig, "after", AFTER_S)
    for task in writing:
        task.cancel()
    if before < 0.25:
        raise r.CannotRun("few requests were served before")
    return after < 0.25


r.main(FOLDER, 2, case)
