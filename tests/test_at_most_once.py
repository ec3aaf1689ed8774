"""A non-idempotent request runs at most once, and a reported 'not run' is correct."""

import asyncio

import pytest
import pytest_asyncio

from eelgrass_standins.faults import Fault, FaultAction as Action
from support.history import History, violations
from support.local import LocalDeployment

pytestmark = pytest.mark.asyncio(loop_scope="module")

COMMIT = "/v1/transactions"
RUN = "/v1/run"
SERVICE_FAULTS = {
    "drop-answer": Fault(Action.DROP_ANSWER, RUN, times=1),
    "drop-call": Fault(Action.DROP_CALL, RUN, times=1),
    "refuse": Fault(Action.REFUSE, RUN, times=1),
    "silent": Fault(Action.SILENT, RUN, times=1),
    "wrong-id": Fault(Action.WRONG_ID, RUN, times=1),
    "leaving-once": Fault(Action.REFUSE, RUN, times=2),
    "slow": Fault(Action.DELAY, RUN, delay_s=0.3, times=2),
    "beyond-the-deadline": Fault(Action.DELAY, RUN, delay_s=1.0, times=2),
}
PLATFORM_FAULTS = {
    "answers-lost": Fault(Action.DROP_ANSWER, COMMIT, times=2),
    "calls-lost": Fault(Action.DROP_CALL, COMMIT, times=2),
    "late-effect": Fault(Action.LATE_EFFECT, COMMIT, delay_s=1.2, times=3),
    "short-late-effect": Fault(Action.LATE_EFFECT, COMMIT, delay_s=0.1, times=3),
    "refuses": Fault(Action.REFUSE, COMMIT, times=40),
    "slow": Fault(Action.DELAY, COMMIT, delay_s=0.7, times=4),
    "silent": Fault(Action.SILENT, COMMIT, times=3),
}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment():
    async with LocalDeployment(nodes=3) as running:
        yield running
        assert violations([], running.journal()) == []


@pytest_asyncio.fixture(loop_scope="module")
async def history(deployment):
    recorded = History()
    yield recorded
    deployment.fault("platform")
    deployment.fault("register-desk")
    assert violations(recorded.calls, deployment.journal()) == []


async def retry_until_answered(history, deployment, token, first_node=1, tries=12):
    """Retry a keyed request at each node in turn, as a caller would."""
    for number in range(tries):
        node = (first_node + number) % 3
        reply = await history.call(
            deployment, node, "transmittal", token, key=token, deadline_ms=800
        )
        if reply is not None and reply.status == 200:
            return reply
        await asyncio.sleep(0.2)
    return reply


class TestBackendFaults:
    @pytest.mark.parametrize("name", SERVICE_FAULTS)
    async def test_faulty_servers_run_a_request_at_most_once(
        self, deployment, history, name
    ):
        token = f"service-{name}"
        deployment.fault("register-desk", SERVICE_FAULTS[name])
        await history.call(
            deployment, 0, "transmittal", token, key=token, deadline_ms=800
        )
        deployment.fault("register-desk")
        reply = await retry_until_answered(history, deployment, token, tries=3)
        assert deployment.runs_of("register-desk", f"<{token}>") <= 1
        if name in ("refuse", "leaving-once", "slow"):
            assert reply.status == 200, reply
        else:
            assert reply.outcome == "unknown", reply

    async def test_a_request_without_a_key_is_not_retried(self, deployment, history):
        token = "without-key"
        deployment.fault("register-desk", SERVICE_FAULTS["drop-answer"])
        reply = await history.call(deployment, 0, "transmittal", token)
        assert reply.outcome == "unknown"
        assert deployment.runs_of("register-desk", f"<{token}>") == 1


class TestPlatformFaults:
    @pytest.mark.parametrize("name", PLATFORM_FAULTS)
    async def test_a_request_runs_once_if_the_platform_fails(
        self, deployment, history, name
    ):
        token = f"platform-{name}"
        deployment.fault("platform", PLATFORM_FAULTS[name])
        first = await history.call(
            deployment, 0, "transmittal", token, key=token, deadline_ms=800
        )
        assert first.status == 200 or "retry_after_ms" in first.body, first
        deployment.fault("platform")
        reply = await retry_until_answered(history, deployment, token)
        assert reply.status == 200, reply
        assert deployment.runs_of("register-desk", f"<{token}>") == 1

    async def test_an_outage_refuses_keyed_requests_only(self, deployment, history):
        deployment.fault("platform", Fault(Action.REFUSE))
        reply = await history.call(deployment, 0, "transmittal", "outage", key="outage")
        assert reply.body["type"].endswith("platform-down")
        assert reply.body["this_call"] == "not_run"
        assert int(reply.headers["Retry-After"]) >= 1
        assert deployment.runs_of("register-desk", "<outage>") == 0
        other = await history.call(deployment, 0, "revision-check", "outage-check")
        assert other.status == 200
        deployment.fault("platform")
        reply = await retry_until_answered(history, deployment, "outage")
        assert reply.status == 200


class TestRepeats:
    async def test_many_repeats_at_all_nodes_run_once(self, deployment, history):
        deployment.fault("register-desk", Fault(Action.DELAY, RUN, delay_s=0.2))
        calls = [
            history.call(deployment, n % 3, "transmittal", "many", key="many")
            for n in range(30)
        ]
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        assert len({str(reply.body["output"]) for reply in replies}) == 1
        assert deployment.runs_of("register-desk", "<many>") == 1

    async def test_a_key_with_another_request_is_refused(self, deployment, history):
        await history.call(deployment, 0, "transmittal", "first", key="reused")
        reply = await history.call(deployment, 1, "transmittal", "other", key="reused")
        assert reply.status == 422
        assert reply.outcome == "not_run"

    async def test_a_refused_repeat_is_not_reported_as_not_run(
        self, deployment, history
    ):
        first = await history.call(deployment, 0, "transmittal", "denied", key="denied")
        assert first.status == 200
        deployment.fault("platform", Fault(Action.REFUSE, COMMIT))
        repeat = await history.call(
            deployment, 1, "transmittal", "denied", key="denied"
        )
        assert repeat.outcome == "unknown"
        assert repeat.body["this_call"] == "not_run"

    async def test_a_stopping_node_does_not_report_a_repeat_as_not_run(
        self, deployment, history
    ):
        await history.call(deployment, 0, "transmittal", "stopping", key="stopping")
        deployment.nodes[1].stopping.refusing = True
        repeat = await history.call(
            deployment, 1, "transmittal", "stopping", key="stopping"
        )
        unkeyed = await history.call(deployment, 1, "current-issue", "unkeyed")
        deployment.nodes[1].stopping.refusing = False
        assert repeat.outcome == "unknown"
        assert repeat.body["this_call"] == "not_run"
        assert unkeyed.outcome == "not_run"

    async def test_not_run_is_not_reported_after_an_earlier_partial_run(
        self, deployment, history
    ):
        deployment.fault("register-desk", Fault(Action.REFUSE, RUN))
        first = await history.call(deployment, 0, "transmittal", "part", key="part")
        assert first.outcome == "no_effect"
        deployment.fault("encoders", Fault(Action.REFUSE, RUN))
        second = await history.call(deployment, 1, "transmittal", "part", key="part")
        deployment.fault("encoders")
        assert second.outcome == "no_effect"
