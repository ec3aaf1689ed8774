"""Nodes with failing servers, and by how much retries exceed their budget."""

import asyncio
from bisect import bisect_left, bisect_right

from eelgrass_node.entry_node import EntryNode
from eelgrass_standins.entry_engines import EngineFault

from .entry import EntryDeployment, until

__all__ = ["FailingServersDeployment", "worst_excess"]

SERVICE = "desk"
TARGET = "/safe/x"
# More than any test sends.
MANY_CALLS = 10_000


class FailingServersDeployment(EntryDeployment):
    """Nodes whose requests to one service all fail, and may be retried once each.

    ``sent_at`` are the times at which clients sent their requests, in seconds.
    """

    def __init__(self, nodes: int) -> None:
        super().__init__(nodes)
        self.sent_at: list[float] = []

    async def __aenter__(self) -> "FailingServersDeployment":
        """Start everything and wait until the nodes are ready."""
        await super().__aenter__()
        for engine in self.engines_by_service[SERVICE]:
            engine.faults = [EngineFault.ERROR] * MANY_CALLS
        return self

    async def send(self, node: int, count: int) -> None:
        """Send requests to a node, one after the other."""
        for _ in range(count):
            self.sent_at.append(asyncio.get_running_loop().time())
            await self.ask(TARGET, node)

    async def restart(self, number: int) -> None:
        """Kill a node and start it again; return once it is ready."""
        old = self.nodes[number]
        await old.close()
        node = self.nodes[number] = EntryNode(old.settings)
        await node.start()
        await until(lambda: node.ready)

    def excess(self) -> float:
        """Return by how much retries exceeded the budget in the worst window."""
        bounds = self.bounds
        runs = self.runs(SERVICE)
        first_at: dict[str, float] = {}
        for run in sorted(runs, key=lambda run: run.at):
            first_at.setdefault(run.request_id, run.at)
        retries_at = sorted(run.at for run in runs if run.at > first_at[run.request_id])
        return worst_excess(
            retries_at,
            self.sent_at,
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        )


def worst_excess(
    retries_at: list[float],
    sent_at: list[float],
    ratio: float,
    slack: float,
    window_s: float,
) -> float:
    """Return by how much retries exceed their budget in the worst window.

    Both lists of times are sorted and in seconds. In any window retries may make up
    ``ratio`` of the requests and ``slack`` more; the requests are those of that window,
    of the one half a window before or of the one before it, whichever has most.
    """
    return max(
        (
            _between(retries_at, since, since + window_s)
            - ratio
            * max(
                _between(sent_at, since - back_s, since - back_s + window_s)
                for back_s in (0.0, window_s / 2, window_s)
            )
            - slack
            for since in retries_at
        ),
        default=-slack,
    )


def _between(times: list[float], since: float, until_s: float) -> int:
    return bisect_right(times, until_s) - bisect_left(times, since)
