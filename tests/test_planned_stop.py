"""Planned stops of nodes, one by one, and of servers under load cut off no request."""

import asyncio
import signal

import aiohttp
import pytest
import pytest_asyncio

from eelgrass_standins.faults import Fault, FaultAction as Action
from eelgrass_standins.samples import sample_deployment
from support.history import History, violations
from support.processes import ProcessDeployment

pytestmark = [pytest.mark.processes, pytest.mark.asyncio(loop_scope="module")]

HEALTH_POLL_S = 0.1
# How long a stopping node still accepts requests; the balancer has to see its failing
# health check within this time.
NOTICE_MS = 2000


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment(tmp_path_factory):
    folder = tmp_path_factory.mktemp("stops")
    spec = sample_deployment(engines=2, pool_size=2)
    timing = {"drain_notice_ms": NOTICE_MS, "heartbeat_ms": 300}
    async with ProcessDeployment(
        spec, folder, grouped=False, settings={"timing": timing}
    ) as running:
        yield running


class Balancer:
    """Sends calls to the nodes that were healthy at their last check."""

    def __init__(self, deployment, history):
        self._deployment = deployment
        self._history = history
        self._ready = []
        self._stop = asyncio.Event()

    async def watch(self):
        while not self._stop.is_set():
            self._ready = [n for n in range(3) if await self._is_ready(n)]
            await asyncio.sleep(HEALTH_POLL_S)

    async def load(self, worker):
        number = 0
        while not self._stop.is_set():
            number += 1
            node = self._ready[(worker + number) % len(self._ready)]
            pipeline = ("revision-check", "transmittal", "current-issue")[number % 3]
            token = f"{worker}-{number}"
            key = token if pipeline == "transmittal" else None
            await self._history.call(self._deployment, node, pipeline, token, key=key)

    async def run(self, work):
        """Generate load while ``work`` runs, and for 0.5 s before and after it."""
        watching = asyncio.create_task(self.watch())
        await asyncio.sleep(2 * HEALTH_POLL_S)
        loads = [asyncio.create_task(self.load(worker)) for worker in range(6)]
        await asyncio.sleep(0.5)
        await work()
        await asyncio.sleep(0.5)
        self._stop.set()
        await asyncio.gather(watching, *loads)

    async def _is_ready(self, node):
        try:
            return (
                await self._deployment.client.health(self._deployment.callers(node))
                == 200
            )
        except aiohttp.ClientError:
            return False


async def run_under_load(deployment, work):
    history = History()
    await Balancer(deployment, history).run(work)
    journal = []
    for backend in deployment.spec.backends:
        try:
            journal += await deployment.client.journal(backend.address)
        except aiohttp.ClientError:
            pass
    return history, journal


class TestPlannedStop:
    async def test_all_nodes_are_replaced_in_turn(self, deployment):
        async def replace_all():
            for number in range(3):
                node = deployment.nodes[number]
                node.signal(signal.SIGTERM)
                assert await node.wait() == 0
                node.start()
                await deployment.until_ready(number)
                await asyncio.sleep(1.0)

        history, journal = await run_under_load(deployment, replace_all)
        bad = [c for c in history.calls if c.reply is None or c.reply.status != 200]
        assert len(history.calls) > 100
        assert bad == []
        assert violations(history.calls, journal) == []

    async def test_a_request_longer_than_the_notice_is_finished(self, deployment):
        slow = Fault(Action.DELAY, "/v1/run", delay_s=3.5, times=1)
        for address in deployment.addresses("register-desk"):
            await deployment.client.control(address, "faults", [slow])
        history = History()
        call = asyncio.create_task(
            history.call(deployment, 0, "transmittal", "long", key="long")
        )
        await asyncio.sleep(0.2)
        deployment.nodes[0].signal(signal.SIGTERM)
        assert (await call).status == 200
        assert await deployment.nodes[0].wait() == 0
        deployment.nodes[0].start()
        await deployment.until_ready(0)
        for address in deployment.addresses("register-desk"):
            await deployment.client.control(address, "faults", [])

    @pytest.mark.parametrize("name", ["retrievers-1", "model-readers", "register"])
    async def test_a_backend_server_leaves(self, deployment, name):
        backend_id = {"model-readers": "reader-1", "register": "register-desk-1"}
        process = deployment.backends[backend_id.get(name, name)]

        async def leave():
            process.signal(signal.SIGTERM)
            assert await process.wait() == 0

        history, _ = await run_under_load(deployment, leave)
        bad = [c for c in history.calls if c.reply is None or c.reply.status != 200]
        assert bad == []
