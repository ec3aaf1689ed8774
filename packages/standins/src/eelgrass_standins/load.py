"""Open-loop load generator: sends requests on schedule and summarises the results.

The arrivals are drawn from a seed before the run, so that several policies can be
compared on the same arrivals.
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

CLIENT_TIMEOUT_MARGIN_S = 2.0


class CallerClass(msgspec.Struct, frozen=True):
    """Callers of one client account; ``weight`` is their relative share of the load."""

    account: str
    pipeline: str
    weight: float
    deadline_ms: int
    priority: int = 0


class Arrival(msgspec.Struct, frozen=True):
    """One scheduled request; ``at`` is in seconds from the start of the run."""

    at: float
    caller: CallerClass
    number: int


class Sample(msgspec.Struct, frozen=True):
    """The result of one request; ``latency_s`` is None if no answer came."""

    account: str
    attained: bool
    latency_s: float | None
    reason: str


class Summary(msgspec.Struct, frozen=True):
    """Aggregated samples of one client account, or of all accounts."""

    sent: int
    attained: int
    p50_ms: float
    p95_ms: float
    refused_p95_ms: float
    reasons: dict[str, int]

    @property
    def attainment(self) -> float:
        """The share of requests answered completely within their deadline."""
        return self.attained / self.sent if self.sent else 1.0


def arrivals(
    callers: Sequence[CallerClass],
    rate: float,
    seconds: float,
    seed: int,
    bursts: Sequence[tuple[float, float, float]] = (),
) -> list[Arrival]:
    """Return Poisson arrivals at ``rate`` per second.

    Each burst is a tuple of start, duration (both in seconds) and rate factor.
    """
    randomness = random.Random(seed)
    weights = [caller.weight for caller in callers]
    planned_arrivals: list[Arrival] = []
    at = 0.0
    while True:
        factor = max(
            (f for start, length, f in bursts if start <= at < start + length),
            default=1.0,
        )
        at += randomness.expovariate(rate * factor)
        if at >= seconds:
            return planned_arrivals
        (caller,) = randomness.choices(callers, weights)
        planned_arrivals.append(Arrival(at, caller, len(planned_arrivals)))


async def drive(
    client: Client, nodes: Sequence[str], planned: Sequence[Arrival]
) -> list[Sample]:
    """Send each request at its time, to the nodes in round-robin order."""
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
        async with asyncio.timeout(limit_s + CLIENT_TIMEOUT_MARGIN_S):
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
    """Aggregate samples."""
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
    """Return the value below which ``fraction`` of the values lie; 0 if empty."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
