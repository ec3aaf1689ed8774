"""A request that may run once is sent twice after its connection is closed."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig as r  # noqa: E402

METHODS = ("PUT", "DELETE", "GET", "POST")
REQUESTS = 360
# Three of five engines lose one in three answers. On the users' sites up to 0.6 of the
# engines lose up to 0.4 of their answers, for 4 s; here they do so in spans of 3.5 s.
ENGINES, LOSING = 5, 3
LOST_EVERY = 3
SPAN_S = 3.5
PAUSE_S = 2.0


class Desk(r.Engine):
    """Runs requests; the answers to some are lost, as in answer_lost with reset."""

    def __init__(self, engine_id: str, rig: r.Rig) -> None:
        super().__init__(engine_id, "desk")
        self._rig = rig
        self.loses = False
        self._unlost = 0
        self.runs: list[str] = []

    async def run(self, request: r.Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request, and lose its answer if it is the fourth one."""
        name = request.header("Eelgrassward-Attempt-Id")
        self.runs.append(name)
        self._rig.record.write(f"engine {self.id} runs {name}: {request.first[0]}")
        await asyncio.sleep(0.03)
        self._unlost += 1
        if self.loses and self._unlost >= LOST_EVERY:
            self._unlost = 0
            self._rig.record.write(f"engine {self.id} loses the answer to {name}")
            r.reset(writer)
            return False
        writer.write(r.answer(200, b"done " + name.encode(), **self.signed(request)))
        return True


async def case(rig: r.Rig) -> bool:
    """Return whether a request has run more than once."""
    desks = [Desk(f"i-desk-{number}", rig) for number in range(1, ENGINES + 1)]
    rig.engines += desks
    once = r.route("once", "non_idempotent", "desk", MaxAttempts=1)
    await rig.start(r.configuration([once], [{"Name": "desk", "MaxConnections": 110}]))
    statuses: dict[str, int | None] = {}
    began = time.monotonic()
    for number in range(1, REQUESTS + 1):
        in_span = (time.monotonic() - began) % (SPAN_S + PAUSE_S) < SPAN_S
        for desk in desks[:LOSING]:
            desk.loses = r.TROUBLE and in_span
        name = f"id-{number}"
        method = METHODS[number % len(METHODS)]
        body = b"lodgement" if method in ("PUT", "POST") else b""
        found = await rig.ask(
            name, f"/once/{name}", number % 2, method=method, body=body
        )
        statuses[name] = found and found.status
        await asyncio.sleep(0.03)
    await asyncio.sleep(1.0)
    runs = Counter(name for desk in desks for name in desk.runs)
    for name, count in runs.items():
        if count > 1:
            rig.record.write(
                f"TWICE: {name} ran {count} times; answer {statuses[name]}"
            )
    if len(runs) < REQUESTS / 2:
        raise r.CannotRun("few requests have run")
    return any(count > 1 for count in runs.values())


r.main(FOLDER, 2, case)
