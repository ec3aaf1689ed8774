"""Counts each answer that a host owes its callers, beside planned work only.

Callers write whole requests on connections that they keep. Meanwhile the configuration
changes, hosts get SIGHUP or are stopped and started, and servers fall silent and go on.
"""

import asyncio
import copy
import random
from enum import Enum

from support.entry import configuration, route
from support.fault_proxy import Direction, FaultProxy
from support.platform_soak import KINDS, FaultProfile, Soak
from support.raw_calls import AnswerCut, read_answer, request_bytes
from support.soak_deployment import SEGMENTS, Call, SoakDeployment

__all__ = ["DEADLINE_S", "ChangeDeployment", "ChangeSoak", "Outcome"]

DEADLINE_S = 9.0
# How long past the deadline a caller waits for its answer.
ANSWER_TOLERANCE_S = 2.0
# Between two events; a stream then lasts long enough to meet a silence.
EVENT_S = 0.3
CALLERS_PER_NODE = 8
SILENCE_S = (1.0, 2.2)
# Time between two silences of a server.
BETWEEN_SILENCES_S = 1.0
# A request crosses a close only if the close comes this soon after it was written.
CROSSING_S = 0.2
# How long a caller waits until it tries a host again that refuses connections.
RECONNECT_S = 0.3


class Outcome(Enum):
    """What became of a request."""

    WHOLE = "whole"
    REFUSED = "refused"
    NOT_READ = "not read"
    LOST = "lost"


class ChangeDeployment(SoakDeployment):
    """Hosts that may take as long for a planned stop as requests have time."""

    grace_s = 15

    def __init__(self, folder, seed: int) -> None:
        super().__init__(folder, seed)
        self._event_s = EVENT_S
        self.first_configuration = configuration()
        for changed in self.first_configuration["Routes"]:
            changed["TimeoutMs"] = int(DEADLINE_S * 1000)

    async def _start_nodes(self) -> None:
        self.store.put("op", "config", self.first_configuration)
        await super()._start_nodes()


class ChangeSoak(Soak):
    """One run from a seed; ``why_by_id`` tells how connections without answer ended."""

    def __init__(self, deployment: ChangeDeployment, seed: int) -> None:
        super().__init__(deployment, seed, FaultProfile.PLANNED)
        self.why_by_id: dict[str, str] = {}
        # Requests that were closed without a byte, and those of them that crossed a
        # planned stop.
        self._without_byte: set[str] = set()
        self.crossed: set[str] = set()
        self._seed = seed
        self._value = copy.deepcopy(deployment.first_configuration)
        self._silent: set[FaultProxy] = set()
        frequent = [self._version, self._silence]
        self._fault_kinds = [*frequent, *frequent, self._hup, self._term]

    def outcome(self, call: Call) -> Outcome:
        """Return what became of a request."""
        if not call.accepted:
            return Outcome.NOT_READ
        if call.status:
            return Outcome.WHOLE if call.status == 200 else Outcome.REFUSED
        crossed = call.request_id in self.crossed and not self.ran(call)
        return Outcome.NOT_READ if crossed else Outcome.LOST

    def ran(self, call: Call) -> bool:
        """Return whether a server has run the request or one of its stages."""
        groups = self._deployment.engines_by_service.values()
        engines = [engine for group in groups for engine in group]
        return any(
            call.request_id in arrival.request_ids
            for e in engines
            for arrival in e.arrivals
        ) or any(call.request_id == run.request_id for e in engines for run in e.runs)

    def lost(self) -> list[str]:
        """Return a message, with the log lines of the host, per lost request."""
        found = []
        for call in self.calls:
            if self.outcome(call) is not Outcome.LOST:
                continue
            log = self._deployment.soak_nodes[call.node].process.log_text()
            ended_s = call.ended_at - self._began
            found.append(
                f"{call.request_id} ({call.kind}) to edge-{call.node} was lost at "
                f"{ended_s:.2f} after {call.ended_at - call.sent_at:.2f} s, "
                f"{'run' if self.ran(call) else 'not run'}: "
                f"{self.why_by_id[call.request_id]}"
            )
            found += [s for s in log.splitlines() if f'"{call.request_id}"' in s]
        return found

    async def _call_all(self, end: float) -> None:
        numbers = range(len(self._deployment.soak_nodes))
        callers = [(n, i) for n in numbers for i in range(CALLERS_PER_NODE)]
        await asyncio.gather(*(self._call_until(end, *caller) for caller in callers))

    async def _call_until(self, end: float, node: int, caller: int) -> None:
        """Send requests to a host one by one, on one connection while it stays open."""
        loop = asyncio.get_running_loop()
        choices = random.Random(f"caller {node}.{caller} of {self._seed}")
        address, _, port = self._deployment.soak_nodes[node].callers.rpartition(":")
        connection = None
        while loop.time() < end:
            await asyncio.sleep(choices.uniform(0.05, 0.4))
            if connection is None or connection[0].at_eof():
                try:
                    connection = await asyncio.open_connection(address, int(port))
                except OSError:
                    connection = None
                    await asyncio.sleep(RECONNECT_S)
                    continue
            kind = choices.choice(KINDS)
            name = f"r{node}-{caller}-{len(self.calls)}"
            call = Call(name, kind, node, loop.time())
            self.calls.append(call)
            reader, writer = connection
            try:
                async with asyncio.timeout(DEADLINE_S + ANSWER_TOLERANCE_S):
                    writer.write(_request(call))
                    answer = await read_answer(reader)
            except (AnswerCut, TimeoutError) as error:
                self.why_by_id[name] = repr(error)
                if isinstance(error, AnswerCut) and not error.has_begun:
                    self._without_byte.add(name)
                stays_open = False
            else:
                call.status, call.body = answer.status, answer.body
                call.answered_id = answer.headers.get("eelgrassward-attempt-id")
                call.retry_after = answer.headers.get("retry-after")
                stays_open = answer.stays_open
            call.ended_at = loop.time()
            self._note_crossing(call)
            if not stays_open:
                writer.close()
                connection = None
        if connection is not None:
            connection[1].close()

    def _note_crossing(self, call: Call) -> None:
        at_once = call.ended_at - call.sent_at <= CROSSING_S
        stopping = not self._deployment.soak_nodes[call.node].undisturbed_since(
            call.sent_at
        )
        if at_once and stopping and call.request_id in self._without_byte:
            self.crossed.add(call.request_id)

    async def _silence(self) -> None:
        """Keep one, some or all servers of a service silent; then they go on."""
        engines = self.random.choice(list(self._deployment.engines_by_service.values()))
        some = self.random.sample(engines, self.random.randint(1, len(engines)))
        proxies = {self._deployment.engine_proxies[engine.address] for engine in some}
        proxies -= self._silent
        self._silent |= proxies
        for proxy in proxies:
            proxy.blocked = set(Direction)
        await self._random_pause(*SILENCE_S)
        for proxy in proxies:
            proxy.heal()
        await asyncio.sleep(BETWEEN_SILENCES_S)
        self._silent -= proxies

    def _put_version(self) -> None:
        """Store a version in which one to three parts of the configuration differ."""
        self.version += self.random.randint(1, 3)
        draw, value = self.random, self._value
        name = f"added-{self.version}"
        chosen = draw.choice(value["Routes"][:5])
        portal, clerks = value["Services"][2:4]
        stages = value["Routes"][4]["Stages"]

        def add_or_remove(rows: list, first: int, row: dict) -> None:
            if len(rows) > first and draw.random() < 0.5:
                rows.pop(draw.randrange(first, len(rows)))
            else:
                rows.append(row)

        changes = [
            lambda: add_or_remove(
                value["Routes"], 5, route(name, "idempotent", "desk")
            ),
            lambda: value["Services"].append({"Name": name}),
            lambda: add_or_remove(
                value["Tenants"], 1, {"Name": name, "ApiKeys": [f"key-{name}"]}
            ),
            lambda: chosen.update(TimeoutMs=draw.randint(9000, 12_000)),
            lambda: chosen.update(TargetLatencyMs=draw.randint(500, 3000)),
            # The requests that may run once only keep their one attempt.
            lambda: value["Routes"][0].update(MaxAttempts=draw.randint(2, 4)),
            lambda: value["Limits"].update(IdleTimeoutMs=draw.randint(5000, 15_000)),
            lambda: value["Limits"].update(MaxBodyBytes=draw.randint(20_000, 90_000)),
            lambda: draw.choice([portal, clerks])["Segments"].update(
                Batch=draw.randint(2, 8), ItemMs=draw.randint(1, 3)
            ),
            # The checks count the inputs, so what a stage comes after stays the same.
            lambda: draw.choice(stages).update(Bytes=draw.randint(4000, 3_000_000)),
        ]
        for change in draw.sample(changes, draw.randint(1, 3)):
            change()
        value["Version"] = self.version
        self._deployment.store.put("op", "config", value)


def _request(call: Call) -> bytes:
    return request_bytes(
        f"/{call.kind}/x",
        call.request_id,
        call.request_id.encode(),
        DEADLINE_S,
        SEGMENTS if call.kind == "stream/staged" else None,
    )
