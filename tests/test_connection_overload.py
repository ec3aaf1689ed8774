"""A host that gets most new connections closes those that it cannot serve, unread."""

import asyncio
import random
from pathlib import Path
from typing import ClassVar

import msgspec
import pytest

from support.raw_calls import AnswerCut, read_answer, request_bytes
from support.soak_deployment import SoakDeployment

# A host serves at most some 80 requests a second.
REQUEST_COST_S = 0.012
HOSTS = 4
CALM_PER_S = 40.0
RUSH_PER_S = 160.0
RUSH_SHARE = 0.9
RUSH_S = 8.0
CONTACT_S = 3.0
DEADLINE_S = 3.0
# A host ends its answers this long before the deadline at most.
DEADLINE_MARGIN_S = 0.05
# Of the calm share, that must be served of the requests that a host reads.
REQUIRED = 0.75


class Outcome(msgspec.Struct):
    """How one request on a connection of its own ended.

    ``status`` is 0 if the connection was closed without a byte of an answer, and None
    if no whole answer came until the deadline or until the connection ended.
    """

    request_id: str
    node: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None

    def is_cut_early(self) -> bool:
        """Return whether an answer was broken off before its deadline."""
        took_s = self.ended_at - self.sent_at
        return self.status is None and took_s < DEADLINE_S - DEADLINE_MARGIN_S


class WeakHosts(SoakDeployment):
    """Hosts whose processors take their time for each request."""

    node_program = "support.slow_node"
    node_environment: ClassVar = {
        "EELGRASS_REQUEST_COST_S": str(REQUEST_COST_S),
        "PYTHONPATH": str(Path(__file__).parent),
    }

    def log_lines(self, request_ids):
        """Return what the hosts wrote of some requests."""
        texts = (node.process.log_text() for node in self.soak_nodes)
        lines = [line for text in texts for line in text.splitlines()]
        return [line for line in lines if any(f'"{i}"' in line for i in request_ids)]


class Rush:
    """Callers that open a connection for each request."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._random = random.Random(1)
        self.outcomes = []
        self._tasks = set()

    async def run(self, for_s, per_s, share):
        """Send requests, a share of them to the first host and the rest to others."""
        loop = asyncio.get_running_loop()
        end, next_at = loop.time() + for_s, loop.time()
        while loop.time() < end:
            while next_at <= loop.time():
                next_at += 1 / per_s
                first = self._random.random() < share
                node = 0 if first else self._random.randrange(1, HOSTS)
                task = asyncio.create_task(self._call(node))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(0.002)

    async def finish(self):
        await asyncio.gather(*self._tasks)

    def since(self, at):
        return [outcome for outcome in self.outcomes if outcome.sent_at >= at]

    async def _call(self, node):
        kind = ("safe", "stream/resumed")[len(self.outcomes) % 2]
        outcome = Outcome(
            f"rush-{len(self.outcomes)}", node, asyncio.get_running_loop().time()
        )
        self.outcomes.append(outcome)
        address = self._deployment.soak_nodes[node].callers
        request = request_bytes(
            f"/{kind}/x",
            outcome.request_id,
            b"body",
            DEADLINE_S,
            {"Connection": "close"},
        )
        try:
            async with asyncio.timeout(DEADLINE_S + 0.5):
                outcome.status = await self._send(address, request)
        except AnswerCut as cut:
            outcome.status = None if cut.has_begun else 0
        except OSError:
            # The connection was closed before the request was written.
            outcome.status = 0
        except TimeoutError:
            outcome.status = None
        outcome.ended_at = asyncio.get_running_loop().time()

    async def _send(self, address, request):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            return (await read_answer(reader)).status
        finally:
            writer.close()


def served_share(outcomes):
    """Return the share that was served of the requests that hosts have read."""
    read = [o for o in outcomes if o.status != 0]
    return sum(o.status == 200 for o in read) / max(1, len(read))


@pytest.mark.processes
class TestMostConnectionsAtOneHost:
    # Guards against a host that reads more requests than its processor can serve, so
    # that most of their callers get no answer.
    async def test_what_it_reads_is_served_and_the_rest_is_closed_unread(
        self, tmp_path
    ):
        async with WeakHosts(tmp_path, 1, nodes=HOSTS, servers=4) as deployment:
            rush = Rush(deployment)
            await rush.run(2.0, CALM_PER_S, 1 / HOSTS)
            calm = served_share(rush.outcomes)
            began = asyncio.get_running_loop().time()
            await rush.run(RUSH_S, RUSH_PER_S, RUSH_SHARE)
            await rush.finish()
            late = rush.since(began + CONTACT_S)
            closed = {o.request_id for o in rush.outcomes if o.status == 0}
            assert served_share(late) >= REQUIRED * calm > REQUIRED * REQUIRED
            # A host that closes all connections serves nobody.
            served = sum(o.node == 0 and o.status == 200 for o in late)
            calm_at_one_host = CALM_PER_S / HOSTS * (RUSH_S - CONTACT_S)
            assert served >= REQUIRED * calm_at_one_host
            ran = {
                run.request_id
                for service in ("desk", "readers")
                for run in deployment.runs(service)
            }
            assert not closed & ran, deployment.log_lines(closed & ran)
            cut = {o.request_id for o in rush.outcomes if o.is_cut_early()}
            assert not cut, deployment.log_lines(cut)
            await asyncio.sleep(1.0)
            after = Rush(deployment)
            await after.run(2.0, CALM_PER_S, 1 / HOSTS)
            await after.finish()
            assert served_share(after.outcomes) >= REQUIRED * calm
            # The limit on new connections has ended by now.
            later = Rush(deployment)
            await later.run(1.0, CALM_PER_S, 1 / HOSTS)
            await later.finish()
            assert not any(o.status == 0 for o in later.outcomes)
