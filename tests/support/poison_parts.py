"""Requests whose prompts share a part that crashes servers, among sound ones."""

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence

import aiohttp
import msgspec

from eelgrass_standins.entry_engines import EngineStandIn

from .entry import COMPLETE_STREAM
from .poison import CrashingServers

__all__ = ["FATAL_PART", "PartTraffic", "PoisonPartDeployment"]

FATAL_PART = "dead"
TARGET = "/stream/single/x"
SHARED_PART = "a0"
SECOND_PARTS = 12
# The time within which a host that is in touch with the others learns of an event.
CONTACT_S = 3.0
MANY_CRASHES = 5
ALLOWED_LATE_REQUESTS = 3


class Attempt(msgspec.Struct):
    """One request, with whether its prompt has a fatal part and how it ended.

    ``status`` is 0 if the answer broke off.
    """

    id: str
    fatal: bool
    sent_at: float
    status: int = 0
    complete: bool = False
    took_s: float = 0.0


class PoisonPartDeployment(CrashingServers):
    """Four nodes and ten model servers, which crash on ``fatal_parts``."""

    def __init__(self, nodes: int = 4, servers: int = 10, event_s: float = 0.03):
        super().__init__(nodes, servers=servers, event_s=event_s)
        self.fatal_parts = {FATAL_PART}
        self.writes_before_crash: float | None = None

    async def start_engine(self, service: str, server_id: str) -> EngineStandIn:
        """Start a server that crashes on the fatal parts."""
        engine = await super().start_engine(service, server_id)
        engine.fatal_parts = self.fatal_parts
        engine.crash_delay_s = 0.02
        engine.writes_before_crash = self.writes_before_crash
        return engine

    def running_servers(self) -> list[EngineStandIn]:
        """Return the model servers that have not crashed."""
        servers = self.engines_by_service["readers"]
        return [server for server in servers if server not in self.crashed]

    def held_parts(self) -> set[str]:
        """Return the parts that any node holds."""
        return {
            part
            for node in self.nodes
            for part in node.poison_requests.parts.held_parts()
        }


class PartTraffic:
    """Sends requests, no two alike, at random nodes and records how they end.

    Each prompt has a part that all share, one of twelve second parts and a last part of
    its own. ``attempts`` lists all requests.
    """

    def __init__(self, deployment: PoisonPartDeployment, seed: int = 1) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._sending: set[asyncio.Task] = set()
        self.attempts: list[Attempt] = []

    async def run(
        self,
        for_s: float,
        sound_per_s: float = 20.0,
        fatal_per_s: float = 0.0,
        fatal_parts: Callable[[], Sequence[str]] = lambda: (
            SHARED_PART,
            FATAL_PART,
            "b1",
        ),
    ) -> None:
        """Send both kinds of requests at regular intervals for a time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + for_s
        sound_at, fatal_at = loop.time(), loop.time() + 0.01
        while loop.time() < end:
            if sound_at <= loop.time():
                sound_at += 1 / sound_per_s
                self._start(self.sound_parts(), fatal=False)
            if fatal_per_s and fatal_at <= loop.time():
                fatal_at += 1 / fatal_per_s
                self._start(fatal_parts(), fatal=True)
            await asyncio.sleep(0.005)

    async def finish(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._sending)

    def sound_parts(self) -> tuple[str, ...]:
        """Return the shared parts of a sound prompt."""
        return (SHARED_PART, f"b{self._random.randrange(SECOND_PARTS)}")

    async def send(self, parts: Sequence[str], fatal: bool, node: int) -> Attempt:
        """Send one request with a body and a last part of its own."""
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        attempt = Attempt(f"part-{number}", fatal, loop.time())
        self.attempts.append(attempt)
        prompt = ",".join(f"{part}:100" for part in (*parts, f"f{number:x}"))
        try:
            attempt.status, _, body = await self._deployment.ask(
                TARGET,
                node,
                request_id=attempt.id,
                body=b"request %d" % number,
                Eelgrassward_Prompt_Prefix=prompt,
            )
            attempt.complete = body == COMPLETE_STREAM
        except (aiohttp.ClientError, OSError):
            attempt.status = 0
        attempt.took_s = loop.time() - attempt.sent_at
        return attempt

    def fatal_requests_after_crashes(self) -> int:
        """Return the number of fatal requests that servers got late.

        Late is more than :data:`CONTACT_S` after the fifth crash.
        """
        crashed_at = self._deployment.crashed_at
        if len(crashed_at) < MANY_CRASHES:
            return 0
        bound = crashed_at[MANY_CRASHES - 1] + CONTACT_S
        fatal = {attempt.id for attempt in self.attempts if attempt.fatal}
        return sum(
            run.request_id in fatal and run.at > bound
            for run in self._deployment.runs("readers")
        )

    def served_share(self, since: float, until: float = float("inf")) -> float:
        """Return the share of the sound requests of a time that were served."""
        sent = [
            attempt
            for attempt in self.attempts
            if not attempt.fatal and since <= attempt.sent_at < until
        ]
        return sum(attempt.complete for attempt in sent) / max(1, len(sent))

    def _start(self, parts: Sequence[str], *, fatal: bool) -> None:
        node = self._random.randrange(len(self._deployment.nodes))
        task = asyncio.create_task(self.send(parts, fatal, node))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)
