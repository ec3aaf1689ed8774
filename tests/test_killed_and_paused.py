"""Nodes that are killed or paused in the middle of a keyed request."""

import asyncio
import signal

import pytest
import pytest_asyncio

from eelgrass_standins.faults import Fault, FaultAction as Action
from eelgrass_standins.samples import sample_deployment
from support.history import History, violations
from support.processes import ProcessDeployment, until

pytestmark = [pytest.mark.processes, pytest.mark.asyncio(loop_scope="module")]

COMMIT = "/v1/transactions"
SLOW = Fault(Action.DELAY, "/v1/run", delay_s=0.6)
# Longer than it takes to pause a node on a shared host.
VERY_SLOW = Fault(Action.DELAY, "/v1/run", delay_s=2.0)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment(tmp_path_factory):
    folder = tmp_path_factory.mktemp("killed")
    spec = sample_deployment(engines=1, pool_size=1)
    timing = {"drain_notice_ms": 100, "heartbeat_ms": 200}
    async with ProcessDeployment(spec, folder, settings={"timing": timing}) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def history(deployment):
    recorded = History()
    yield recorded
    journal = await deployment.journal("register-desk")
    assert violations(recorded.calls, journal) == []


async def set_faults(deployment, where, *faults):
    address = deployment.spec.platform.address
    if where != "platform":
        (address,) = deployment.addresses(where)
    await deployment.client.control(address, "faults", list(faults))


async def runs(deployment, token):
    journal = await deployment.journal("register-desk")
    return sum(f"<{token}>" in entry.input_text for entry in journal)


async def until_claimed(deployment, key):
    """Wait until the claim is stored; the node sends the request right after that."""

    async def is_claimed():
        claims = await deployment.client.operate(deployment.internal(1), "claims")
        return key in [claim["key"] for claim in claims]

    await until(is_claimed)


async def restart(deployment, number):
    await deployment.nodes[number].kill()
    deployment.nodes[number].start()
    await deployment.until_ready(number)


class TestKilledNode:
    async def test_killed_while_the_service_runs(self, deployment, history):
        await set_faults(deployment, "register-desk", SLOW)
        call = asyncio.create_task(
            history.call(deployment, 0, "transmittal", "killed", key="killed")
        )
        await asyncio.sleep(0.3)
        await deployment.nodes[0].kill()
        assert await call is None
        reply = await history.call(deployment, 1, "transmittal", "killed", key="killed")
        assert reply.outcome == "unknown"
        await restart(deployment, 0)
        reply = await history.call(deployment, 0, "transmittal", "killed", key="killed")
        assert reply.outcome == "unknown"
        await set_faults(deployment, "register-desk")
        # The server starts the run only after its delay, possibly after the node has
        # restarted.
        await asyncio.sleep(SLOW.delay_s)
        assert await runs(deployment, "killed") == 1

    async def test_an_operator_finds_and_resolves_the_claim(self, deployment):
        claims = await deployment.client.operate(deployment.internal(1), "claims")
        assert [claim["key"] for claim in claims] == ["killed"]
        resolution = {
            "account": "permit-clerks",
            "key": "killed",
            "note": "lodged, seen in the register",
        }
        resolved = await deployment.client.operate(
            deployment.internal(2), "claims/resolve", resolution
        )
        assert resolved == {"resolved": True}
        assert await deployment.client.operate(deployment.internal(1), "claims") == []

    async def test_killed_before_the_claim_is_stored(self, deployment, history):
        await set_faults(
            deployment, "platform", Fault(Action.DELAY, COMMIT, delay_s=0.4, times=1)
        )
        call = asyncio.create_task(
            history.call(deployment, 0, "transmittal", "early", key="early")
        )
        await asyncio.sleep(0.15)
        await deployment.nodes[0].kill()
        assert await call is None
        await asyncio.sleep(0.5)
        reply = await history.call(deployment, 1, "transmittal", "early", key="early")
        assert reply.outcome == "unknown"
        assert await runs(deployment, "early") == 0
        await restart(deployment, 0)

    async def test_killed_before_the_outcome_is_stored(self, deployment, history):
        await set_faults(deployment, "register-desk", SLOW)
        call = asyncio.create_task(
            history.call(deployment, 0, "transmittal", "late", key="late")
        )
        await asyncio.sleep(0.3)
        await set_faults(deployment, "platform", Fault(Action.SILENT, COMMIT))
        reply = await call
        assert reply.status == 200
        await deployment.nodes[0].kill()
        await set_faults(deployment, "platform")
        await set_faults(deployment, "register-desk")
        reply = await history.call(deployment, 1, "transmittal", "late", key="late")
        assert reply.outcome == "unknown"
        assert await runs(deployment, "late") == 1
        await restart(deployment, 0)


class TestPausedNode:
    async def test_paused_past_the_deadline_dispatches_nothing(
        self, deployment, history
    ):
        await set_faults(
            deployment, "platform", Fault(Action.DELAY, COMMIT, delay_s=0.3, times=1)
        )
        call = asyncio.create_task(
            history.call(
                deployment, 0, "transmittal", "paused", key="paused", deadline_ms=900
            )
        )
        await asyncio.sleep(0.15)
        deployment.nodes[0].signal(signal.SIGSTOP)
        await asyncio.sleep(1.2)
        other = await history.call(
            deployment, 1, "transmittal", "paused", key="paused", deadline_ms=500
        )
        assert other.outcome == "unknown"
        deployment.nodes[0].signal(signal.SIGCONT)
        reply = await call
        assert reply.status != 200
        assert await runs(deployment, "paused") == 0

        async def is_answered():
            repeat = await history.call(
                deployment, 1, "transmittal", "paused", key="paused"
            )
            return repeat.status == 200

        await until(is_answered)
        assert await runs(deployment, "paused") == 1

    async def test_paused_while_the_service_runs(self, deployment, history):
        await set_faults(deployment, "register-desk", VERY_SLOW)
        call = asyncio.create_task(
            history.call(deployment, 0, "transmittal", "frozen", key="frozen")
        )
        await until_claimed(deployment, "frozen")
        deployment.nodes[0].signal(signal.SIGSTOP)
        other = await history.call(
            deployment, 1, "transmittal", "frozen", key="frozen", deadline_ms=600
        )
        assert other.outcome == "unknown"
        assert other.body["retry_after_ms"] > 0
        deployment.nodes[0].signal(signal.SIGCONT)
        assert (await call).status == 200
        other = await history.call(deployment, 1, "transmittal", "frozen", key="frozen")
        assert other.status == 200
        await set_faults(deployment, "register-desk")
        assert await runs(deployment, "frozen") == 1
