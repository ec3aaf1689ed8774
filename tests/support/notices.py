"""Servers that say that they leave or ask for rest: steady traffic, and the rules."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path

from eelgrass_standins.entry_engines import Arrival, CallKind, EngineStandIn

from .fault_proxy import FaultProxy
from .soak_deployment import Call, SoakDeployment

__all__ = [
    "REST_LEARNT_S",
    "NoticeDeployment",
    "calls_after_leaving",
    "calls_while_resting",
    "runs_since",
    "served_share",
]

HOSTS = SERVERS = 3
CALLS_PER_S = 50
# No request that was sent later than this after a host passed on the notice may reach
# the server. The answer passes the host some milliseconds after the server sent it.
LEAVING_S = 2.0 + 0.05
# A host has this long to learn that it is asked for rest, and may then try twice.
REST_LEARNT_S = 0.5
REST_TRIES = 2
SERVING_KINDS = (CallKind.REQUEST, CallKind.STAGE_CALL)


class NoticeDeployment(SoakDeployment):
    """Hosts as processes, each with an address of its own, under steady load.

    ``calls`` has all calls that were sent, in their order. ``control_s`` has how long a
    request to no route took at the same time, by the call's request id.
    """

    node_program = "support.bound_node"
    node_environment = {"PYTHONPATH": str(Path(__file__).parents[1])}

    def __init__(self, folder, seed: int, hosts: int = HOSTS) -> None:
        super().__init__(folder, seed, hosts, SERVERS)
        self.calls: list[Call] = []
        self.control_s: dict[str, float] = {}

    async def _advertised_address(self, address: str) -> str:
        proxy = FaultProxy(address, keeps_source=True)
        advertised = await proxy.start()
        self.engine_proxies[advertised] = proxy
        return advertised

    async def load(
        self,
        kind: str,
        for_s: float,
        hosts: Sequence[int] | None = None,
        calls_per_s: float = CALLS_PER_S,
        at_once: int = 1,
    ) -> list[Call]:
        """Send calls at a steady rate to hosts in turn; return them once ended.

        All hosts get calls unless ``hosts`` names some by their numbers.
        """
        loop = asyncio.get_running_loop()
        began, sending = loop.time(), []
        hosts = itertools.cycle(hosts or range(len(self.soak_nodes)))
        for number in range(int(for_s * calls_per_s)):
            due_s = number // at_once * at_once / calls_per_s
            await asyncio.sleep(began + due_s - loop.time())
            sending.append(asyncio.create_task(self._call_beside(next(hosts), kind)))
        calls = await asyncio.gather(*sending)
        self.calls += calls
        return calls

    async def _call_beside(self, host: int, kind: str) -> Call:
        """Send a call, and beside it one that the host refuses for lack of a route."""
        control, call = await asyncio.gather(
            self.call(host, "unrouted"), self.call(host, kind)
        )
        self.control_s[call.request_id] = control.ended_at - control.sent_at
        return call

    def share_ended_within(self, calls: list[Call], time_s: float) -> float:
        """Return the share of calls that took a time at most.

        What a request to no route took at the same time, which waits for no server,
        does not count: processes do not get their turn at once on a busy machine.
        """
        ended = sum(
            call.ended_at - call.sent_at <= time_s + self.control_s[call.request_id]
            for call in calls
        )
        return ended / len(calls)

    def rest_left_s(self, call: Call, service: str, until: float) -> float:
        """Return how long after a call the first server of a service ends its rest.

        Only answers to the call's host before ``until`` count. The result is negative
        if a server does not rest.
        """
        ip = self.soak_nodes[call.node].callers.rpartition(":")[0]
        ends = [
            max(
                (
                    a.at + a.rest_s
                    for a in engine.arrivals
                    if a.peer == ip and a.rest_s and a.at < until
                ),
                default=0.0,
            )
            for engine in self.engines_by_service[service]
        ]
        return min(ends) - call.sent_at


def sender(arrival: Arrival) -> str:
    """Return the address of the host that a call came from."""
    return arrival.peer


def calls_after_leaving(
    engines: list[EngineStandIn],
    calls: list[Call],
    host_of: Callable[[Arrival], str] = sender,
) -> dict[tuple[str, str], int]:
    """Return how many calls come to leaving servers too late, by server and host."""
    sent_at = {call.request_id: call.sent_at for call in calls}
    found: Counter[tuple[str, str]] = Counter()
    for engine in engines:
        told_at: dict[tuple[str, int], float] = {}
        for arrival in _serving(engine):
            key = (host_of(arrival), arrival.started)
            late = any(
                sent_at.get(request_id, 0.0) > told_at.get(key, arrival.at) + LEAVING_S
                for request_id in arrival.request_ids
            )
            found[engine.server_id, host_of(arrival)] += late
            if arrival.leaving:
                told_at.setdefault(key, arrival.at)
    return {key: count for key, count in found.items() if count}


def calls_while_resting(
    engines: list[EngineStandIn], host_of: Callable[[Arrival], str] = sender
) -> dict[tuple[str, str], int]:
    """Return the most calls in one rest, if too many, by server and host."""
    most: dict[tuple[str, str], int] = {}
    for engine in engines:
        arrivals = _serving(engine)
        for asked in arrivals:
            if asked.rest_s is None:
                continue
            count = sum(
                (host_of(a), a.started) == (host_of(asked), asked.started)
                and asked.at + REST_LEARNT_S < a.at < asked.at + asked.rest_s
                for a in arrivals
            )
            key = (engine.server_id, host_of(asked))
            if count > max(REST_TRIES, most.get(key, 0)):
                most[key] = count
    return most


def served_share(calls: list[Call]) -> float:
    """Return the share of calls that were served."""
    return sum(call.status == 200 for call in calls) / len(calls)


def runs_since(engine: EngineStandIn, since: float) -> int:
    """Return how many requests a server has run since a time."""
    return sum(run.at >= since for run in engine.runs)


def _serving(engine: EngineStandIn) -> list[Arrival]:
    return [a for a in engine.arrivals if a.kind in SERVING_KINDS]
