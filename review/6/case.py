"""A stage server sends a second copy of an answer where the next one is expected."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2.rig import (  # noqa: E402
    KEY,
    TENANT,
    ZONES,
    Engine,
    Exchange,
    Node,
    Rig,
    model_service,
    route,
    run_case,
    stage_service,
)

# The dose of `garble`, how `extra late`, in bdp-rack: at most 0.6 of the servers of a
# service, 0.03 of their answers, for 5 s. It may come more than once.
SHARE, ANSWERS, FOR_S, PAUSE_S = 0.6, 0.03, 5.0, 1.0
TRAFFIC_S = 75.0
REQUESTS_PER_S = 9.0
# As for the cross-connect notes of bdp-rack: one piece, then 6, then 16.
PIECES = "1,6,16"
STAGES = [
    {"Service": "billing-bridge", "After": [], "Bytes": 8_000},
    {"Service": "ticket-desk", "After": [0], "Bytes": 60_000},
    {"Service": "inventory-map", "After": [1], "Bytes": 6_000},
]


class Garbling(Engine):
    """A stage server; while ``is_garbling`` some answers come a second time, late.

    The copy is sent when the next call on that connection has arrived, of any kind,
    before the answer to that call.
    """

    is_garbling = False

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.copies = self.answers = 0
        self._copy_by_connection: dict[int, bytes] = {}

    def stage_answer(
        self, exchange: Exchange, items: list[dict], made: list[dict]
    ) -> bytes:
        """Return the answer to a stage call, and keep a copy of some."""
        sent = super().stage_answer(exchange, items, made)
        self.answers += 1
        if self.is_garbling and random.random() < ANSWERS:
            self._copy_by_connection[exchange.connection] = sent
        return sent

    async def serve(self, exchange: Exchange) -> None:
        """Answer a call, after the copy of an earlier answer if there is one."""
        copy = self._copy_by_connection.pop(exchange.connection, None)
        if copy is not None:
            self.copies += 1
            self.rig.record(
                "second-copy",
                engine=self.id,
                connection=exchange.connection,
                before=exchange.path,
            )
            exchange.writer.write(copy)
        await super().serve(exchange)


def configuration() -> dict:
    """Return a configuration with one staged, streaming route."""
    options = {"StreamResume": False, "Stages": STAGES, "SessionAffinity": True}
    return {
        "Version": 1,
        "Routes": [route("xconnect-note", "streaming", "eelgrass-llm", **options)],
        "Services": [
            model_service("eelgrass-llm"),
            stage_service("billing-bridge", 8),
            stage_service("ticket-desk", 12),
            stage_service("inventory-map", 34),
        ],
        "Limits": {"MaxBodyBytes": 4_194_304},
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


async def ask(rig: Rig) -> tuple[int, bool]:
    """Send one request; return its status and whether the answer is whole."""
    fields = {
        "Eelgrassward-Model": "m",
        "Eelgrassward-Token-Usage": "1800,24",
        "Eelgrassward-Prompt-Prefix": f"aa:341,{random.getrandbits(32):x}:1459",
        "Eelgrassward-Segments": PIECES,
        "Eelgrassward-Segment-Key": f"{random.getrandbits(48):012x}",
    }
    node = random.choice(rig.nodes)
    reply = await rig.ask(
        node, "POST", "/xconnect-note/x", b"q" * 4700, 6000, fields=fields
    )
    return reply.status, reply.is_whole


async def case(rig: Rig) -> bool:
    """Return whether all pieces and requests got their own inputs."""
    servers: list[Garbling] = []
    for number, zone in enumerate(ZONES):
        rig.nodes.append(Node(rig, number, zone, {}))
        rig.engines.append(
            Engine(rig, "eelgrass-llm", "model", zone, 64, 134, events=6)
        )
        for stage in STAGES:
            servers.append(Garbling(rig, stage["Service"], "stage", zone, 1, 2))
    rig.engines += servers
    rig.configure(configuration())
    await rig.start()
    await asyncio.sleep(3)
    asking = []
    began = time.monotonic()
    while (now := time.monotonic() - began) < TRAFFIC_S and not rig.foreign:
        is_on = rig.has_trouble and now % (FOR_S + PAUSE_S) < FOR_S
        for service in {server.service for server in servers}:
            same = [server for server in servers if server.service == service]
            for server in same[: int(SHARE * len(same))]:
                server.is_garbling = is_on
        asking.append(asyncio.create_task(ask(rig)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    answers = Counter(await asyncio.gather(*asking))
    copies = sum(server.copies for server in servers)
    calls = sum(server.answers for server in servers)
    rig.record.say(f"{len(asking)} requests; answers by status and whole: {answers}")
    rig.record.say(f"{calls} answers of stage servers, {copies} of them came again")
    for found in rig.foreign[:3]:
        rig.record.say(f"inputs of another request: {found}")
    return not rig.foreign


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
