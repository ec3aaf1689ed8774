"""An engine runs a PUT, its answer is lost, and the request runs a second time."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import TROUBLE, Engine, Message, Rig, answer, configuration, main, reset, route

REQUESTS = 40
# The answers to these requests are lost: 1 of 40.
LOST = ("order-20",)


class Desk(Engine):
    """Runs all requests and counts the runs of each."""

    def __init__(self, engine_id: str, service: str, rig: Rig, runs: Counter) -> None:
        super().__init__(engine_id, service)
        self._rig = rig
        self._runs = runs

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request; lose its answer if it is one of those."""
        request_id = request.header("Eelgrassward-Attempt-Id") or ""
        self._runs[request_id] += 1
        self._rig.record.write(
            f"{self.id} runs {request_id}: {request.first[0]} {request.first[1]}"
        )
        await asyncio.sleep(0.09)
        if TROUBLE and request_id in LOST and self._runs[request_id] == 1:
            self._rig.record.write(f"the answer of {self.id} to {request_id} is lost")
            reset(writer)
            return False
        headers = {
            name.replace("-", "_"): text for name, text in self.signed(request).items()
        }
        writer.write(answer(200, b"booked by " + request.body, **headers))
        return True


async def case(rig: Rig) -> bool:
    """Return whether a request that is not idempotent ran twice."""
    runs: Counter = Counter()
    rig.engines = [Desk(f"i-desk-{n}", "desk", rig, runs) for n in range(3)]
    services = [{"Name": "desk", "MaxConnections": 110}]
    routes = [route("orders", "non_idempotent", "desk")]
    await rig.start(configuration(routes, services))
    served = 0
    for number in range(REQUESTS):
        found = await rig.ask(
            f"order-{number}",
            f"/orders/{number}",
            method="PUT",
            body=b"circuit %d" % number,
        )
        served += found is not None and found.status == 200
    rig.record.write(f"{served} of {REQUESTS} requests were served")
    if not served:
        raise RuntimeError("no request was served")
    twice = {request_id: count for request_id, count in runs.items() if count > 1}
    for request_id, count in twice.items():
        rig.record.write(f"TWICE: {request_id} has run {count} times")
    return bool(twice)


main(Path(__file__).resolve().parent, 1, case)
