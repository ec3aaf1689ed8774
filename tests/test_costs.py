"""The costs by stage add up to the busy time in the backend servers' journals."""

import asyncio
import random

import pytest

from eelgrass_standins.faults import Fault, FaultAction as Action
from eelgrass_standins.samples import sample_deployment
from support.entry import until
from support.local import LocalDeployment

GENERATE = "/v1/generate"
FAULTS = [
    ("model-readers", Fault(Action.CUT_STREAM, GENERATE, times=1, after=5)),
    ("model-readers", Fault(Action.SILENT_STREAM, GENERATE, times=1, after=5)),
    ("model-readers", Fault(Action.WRONG_ID, GENERATE, times=1, after=2)),
    ("encoders", Fault(Action.REFUSE, "/v1/run", times=2)),
    ("rerankers", Fault(Action.REFUSE, "/v1/run", times=2)),
]
MAX_RELATIVE_ERROR = 0.02


async def call_many(deployment, count, disturb):
    randomness = random.Random(7)

    async def one(number):
        await asyncio.sleep(randomness.random() * 1.5)
        pipeline = ("revision-check", "transmittal")[number % 2]
        node = number % len(deployment.nodes)
        await deployment.client.call(
            deployment.callers(node), pipeline, f"{number}", key=f"k-{number}"
        )

    async def faults():
        while disturb:
            service, fault = randomness.choice(FAULTS)
            deployment.fault(service, fault)
            await asyncio.sleep(0.1)

    disturbing = asyncio.create_task(faults())
    await asyncio.gather(*(one(number) for number in range(count)))
    disturbing.cancel()
    await asyncio.sleep(0.5)


def cost_totals(deployment):
    """Return the nodes' totals: useful ms, wasted ms and unreported attempts."""
    rows = [row for node in deployment.nodes for row in node.ledger.rows()]
    return (
        sum(row.useful_ms for row in rows),
        sum(row.wasted_ms for row in rows),
        sum(row.unreported for row in rows),
    )


class TestCosts:
    @pytest.mark.parametrize("disturb", [False, True])
    async def test_costs_add_up_to_the_journals(self, disturb):
        spec = sample_deployment(engines=2, pool_size=2, work=1.0, step_ms=2.0)
        policy = {"retry_budget_ratio": 1.0}
        async with LocalDeployment(spec, nodes=2, policy=policy) as deployment:
            await call_many(deployment, 80, disturb)
            busy = sum(entry.busy_ms for entry in deployment.journal())
            useful, wasted, unreported = cost_totals(deployment)
        assert unreported == 0
        assert useful + wasted == pytest.approx(busy, rel=MAX_RELATIVE_ERROR)
        assert (wasted > 0) == disturb


class TestCostsReportedLate:
    # Guards against totals without the work that servers did for attempts which the
    # node gave up early.
    async def test_an_attempt_given_up_before_its_first_chunk_is_counted(self):
        silent = Fault(Action.SILENT_STREAM, GENERATE, times=1, after=0)
        slow = Fault(Action.DELAY, "/v1/cancel", delay_s=0.3, times=1)
        spec = sample_deployment(engines=2, pool_size=2, work=1.0, step_ms=2.0)
        async with LocalDeployment(spec, nodes=1) as deployment:
            deployment.fault("model-readers", silent, slow)
            reply = await deployment.client.call(
                deployment.callers(0), "revision-check", "late"
            )
            assert reply.status == 200
            await until(lambda: cost_totals(deployment)[2] == 0)
            busy = sum(entry.busy_ms for entry in deployment.journal())
            useful, wasted, _ = cost_totals(deployment)
        assert wasted > 0
        assert useful + wasted == pytest.approx(busy, rel=MAX_RELATIVE_ERROR)


class TestStoredCosts:
    async def test_costs_survive_a_planned_stop_and_add_up(self):
        async with LocalDeployment(nodes=2, timing={"cost_store_ms": 100}) as running:
            await call_many(running, 20, disturb=False)
            before = cost_totals(running)
            stopped = running.nodes.pop(0)
            stopped.stopping.request()
            assert await stopped.run_until_stopped()
            await asyncio.sleep(0.3)
            rows = await running.client.operate(running.internal(1), "costs?of=all")
        assert sum(row["useful_ms"] for row in rows) == pytest.approx(before[0])
        assert sum(row["requests"] for row in rows) == 20 / 2 * 4 + 20 / 2 * 2

    async def test_costs_of_an_outage_are_stored_afterwards(self):
        async with LocalDeployment(nodes=1) as running:
            await call_many(running, 4, disturb=False)
            running.fault("platform", Fault(Action.REFUSE))
            assert not await running.nodes[0].cost_store.store()
            running.fault("platform")
            assert await running.nodes[0].cost_store.store()
            rows = await running.client.operate(running.internal(0), "costs?of=all")
        assert sum(row["requests"] for row in rows) == 12
