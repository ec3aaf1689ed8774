"""Open-loop load: arrivals that do not wait for answers, and what became of them.

The arrivals are made from a seed before the run, so that several policies can
be measured on the same ones.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

import aiohttp
import msgspec

from .client import Client

__all__ = [
    "Arrival",
    "CallerClass",
    "Sample",
    "Summary",
    "arrivals",
    "drive",
    "percentile",
    "summarise",
]

CLIENT_MARGIN_S = 2.0


class CallerClass(msgspec.Struct, frozen=True):
    """A client account's part of the load; ``weight`` is its relative share."""

    account: str
    pipeline: str
    weight: float
    deadline_ms: int
    priority: int = 0


class Arrival(msgspec.Struct, frozen=True):
    """One request: ``at`` is in seconds from the start of the run."""

    at: float
    caller: CallerClass
    number: int


class Sample(msgspec.Struct, frozen=True):
    """What became of an arrival; ``latency_s`` is None where no answer came."""

    account: str
    attained: bool
    latency_s: float | None
    reason: str


class Summary(msgspec.Struct, frozen=True):
    """Samples of one client account, or of all, added up."""

    sent: int
    attained: int
    p50_ms: float
    p95_ms: float
    refused_p95_ms: float
    reasons: dict[str, int]

    @property
    def attainment(self) -> float:
        """The share of requests answered whole within their deadline."""
        return self.attained / self.sent if self.sent else 1.0


def arrivals(
    callers: Sequence[CallerClass],
    rate: float,
    seconds: float,
    seed: int,
    bursts: Sequence[tuple[float, float, float]] = (),
) -> list[Arrival]:
    """Return Poisson arrivals at ``rate`` a second.

    Each burst is its start, its length in seconds, and the factor of the rate.
    """
    randomness = random.Random(seed)
    weights = [caller.weight for caller in callers]
    made: list[Arrival] = []
    at = 0.0
    while True:
        factor = max(
            (f for start, length, f in bursts if start <= at < start + length),
            default=1.0,
        )
        at += randomness.expovariate(rate * factor)
        if at >= seconds:
            return made
        (caller,) = randomness.choices(callers, weights)
        made.append(Arrival(at, caller, len(made)))


async def drive(
    client: Client, nodes: Sequence[str], planned: Sequence[Arrival]
) -> list[Sample]:
    """Send the arrivals at their times to the nodes in turn."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks: list[asyncio.Task[Sample]] = []
    for arrival in planned:
        await asyncio.sleep(max(0.0, began + arrival.at - loop.time()))
        node = nodes[arrival.number % len(nodes)]
        tasks.append(asyncio.create_task(_send(client, node, arrival)))
    return list(await asyncio.gather(*tasks))


async def _send(client: Client, node: str, arrival: Arrival) -> Sample:
    caller = arrival.caller
    loop = asyncio.get_running_loop()
    began = loop.time()
    limit_s = caller.deadline_ms / 1000
    try:
        async with asyncio.timeout(limit_s + CLIENT_MARGIN_S):
            reply = await client.call(
                node,
                caller.pipeline,
                f"request {arrival.number} of {caller.account}",
                account=caller.account,
                deadline_ms=caller.deadline_ms,
            )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Sample(caller.account, False, None, type(error).__name__)
    latency_s = loop.time() - began
    if reply.status == 200:  # noqa: PLR2004
        attained = latency_s <= limit_s
        return Sample(
            caller.account, attained, latency_s, "answered" if attained else "late"
        )
    reason = reply.body["type"].rpartition(":")[2]
    return Sample(caller.account, False, latency_s, reason)


def summarise(samples: Sequence[Sample]) -> Summary:
    """Add up samples."""
    answered = [s.latency_s for s in samples if s.reason in ("answered", "late")]
    refused = [
        s.latency_s
        for s in samples
        if s.latency_s is not None and s.reason not in ("answered", "late")
    ]
    return Summary(
        sent=len(samples),
        attained=sum(s.attained for s in samples),
        p50_ms=percentile(answered, 0.50) * 1000,
        p95_ms=percentile(answered, 0.95) * 1000,
        refused_p95_ms=percentile(refused, 0.95) * 1000,
        reasons=dict(Counter(s.reason for s in samples)),
    )


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which that fraction lies, 0 where there is none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
