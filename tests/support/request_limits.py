"""Servers that name a request limit: what reaches them, against the users' rule."""

import asyncio
import signal
from collections.abc import Iterable

import msgspec

from eelgrass_standins.entry_engines import Arrival, EngineStandIn

from .notices import NoticeDeployment
from .soak_deployment import Call

__all__ = [
    "Excuse",
    "LimitDeployment",
    "allowed_calls",
    "calls_per_s",
    "most_calls",
    "name_limit",
]

# The rule begins this long after a server has first named a limit.
CONTACT_S = 3.0
WINDOW_S = 4.0
# Only calls of hosts count that were told of the limit this long before.
TOLD_S = 0.5
RATIO, SLACK = 1.5, 5
# All stage calls, eight a request, are made by one host; at 50/s they take over half of
# a core. Several requests at once, so that its queue uses all servers.
STAGED_CALLS_PER_S, STAGED_AT_ONCE = 10, 5


class Excuse(msgspec.Struct, frozen=True):
    """A host that was disturbed between two times, and whose calls do not count."""

    host: str
    since: float
    until: float


def name_limit(engines: Iterable[EngineStandIn], limit: str | None) -> None:
    """Let servers name a limit in all answers from now on; None for none."""
    for engine in engines:
        engine.limit = limit


def allowed_calls(limit: float) -> float:
    """Return how many calls may reach a server within the window."""
    return RATIO * limit * WINDOW_S + SLACK


def most_calls(engine: EngineStandIn, excuses: Iterable[Excuse] = ()) -> int:
    """Return the most calls of any kind that reach a server within the window.

    Counted are those of hosts that were told of its limit, from some seconds after it
    first named one.
    """
    told_at: dict[str, float] = {}
    counted: list[float] = []
    named = [a for a in engine.arrivals if a.limit is not None]
    for arrival in named:
        told = told_at.setdefault(arrival.peer, arrival.at) + TOLD_S
        begun = named[0].at + CONTACT_S
        if arrival.at >= max(told, begun) and not _is_excused(arrival, excuses):
            counted.append(arrival.at)
    return max(
        (sum(at <= other < at + WINDOW_S for other in counted) for at in counted),
        default=0,
    )


def calls_per_s(engine: EngineStandIn, since: float, until: float) -> float:
    """Return the rate of the calls that reach a server between two times."""
    return sum(since <= a.at < until for a in engine.arrivals) / (until - since)


def _is_excused(arrival: Arrival, excuses: Iterable[Excuse]) -> bool:
    return any(
        excuse.host == arrival.peer and excuse.since <= arrival.at <= excuse.until
        for excuse in excuses
    )


class LimitDeployment(NoticeDeployment):
    """Hosts as processes under load, and excuses of those that were disturbed."""

    def address_of(self, host: int) -> str:
        """Return the IP address that a host's calls come from."""
        return self.soak_nodes[host].callers.rpartition(":")[0]

    async def load_stages(self, for_s: float) -> list[Call]:
        """Send staged requests to hosts in turn; return them once ended."""
        return await self.load(
            "stream/staged",
            for_s,
            calls_per_s=STAGED_CALLS_PER_S,
            at_once=STAGED_AT_ONCE,
        )

    async def restart_in_turn(
        self, number: signal.Signals, hosts: Iterable[int], gap_s: float
    ) -> list[Excuse]:
        """Send a signal to one host after the other, and start each again."""
        loop = asyncio.get_running_loop()
        excuses = []
        for host in hosts:
            since = loop.time()
            await self.soak_nodes[host].stop_and_restart(number)
            until = loop.time() + CONTACT_S
            excuses.append(Excuse(self.address_of(host), since, until))
            await asyncio.sleep(gap_s)
        return excuses
