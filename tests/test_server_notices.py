"""What servers say of themselves in their answers: that they leave, or want rest.

Three hosts as processes, three servers of each service, a steady load at all hosts.
"""

import asyncio

import pytest

from eelgrass_standins.entry_engines import EngineFault
from support.fault_proxy import Direction
from support.notices import (
    REST_LEARNT_S,
    NoticeDeployment,
    calls_after_leaving,
    calls_while_resting,
    runs_since,
    served_share,
)

pytestmark = pytest.mark.processes

# The kind of call and the service whose servers take it.
PLAIN = ("safe", "desk")
STREAMS = ("stream/resumed", "readers")
STAGE_CALLS = ("stream/staged", "portal")
# Refusals without a call to a server end within this time.
AT_ONCE_S = 0.1
# The rest allows for a host that does not get its turn on a busy machine.
SHARE_AT_ONCE = 0.95
# Of three servers under a load that one of them bears.
SHARE_SERVED_BY_TWO = 0.9
SHARE_SERVED_BY_ONE = 0.5
# About a third: servers with equal load are chosen at random, and the share of 125
# requests has a standard deviation of 0.04.
LEAST_SHARE, MOST_SHARE = 1 / 6, 1 / 2
# Callers repeat after at most a third of the time that they have left.
LONGEST_RETRY_AFTER_S = 1.0


def now():
    return asyncio.get_running_loop().time()


def ask_for_rest(engines, rest_s, for_s=float("inf")):
    """Let servers refuse for a time, and ask each caller for a rest."""
    for engine in engines:
        engine.rest_s = rest_s
        engine.rests_until = now() + for_s


async def share_of(deployment, engine):
    """Return the share of the plain requests of some seconds that a server runs."""
    since = now()
    calls = await deployment.load("safe", for_s=2.5)
    assert served_share(calls) == 1.0
    return runs_since(engine, since) / len(calls)


class TestServersThatSayThatTheyLeave:
    async def late_calls(self, deployment, kind, services):
        """Let one server of each service leave; return the calls that it gets late."""
        leaving = [deployment.engines_by_service[service][0] for service in services]
        for engine in leaving:
            engine.says_leaving = True
        calls = await deployment.load(kind, for_s=4.0)
        assert served_share(calls) == 1.0
        assert all(any(a.leaving for a in engine.arrivals) for engine in leaving)
        return calls_after_leaving(leaving, deployment.calls)

    # Guards against hosts that send requests to a server until the list of servers
    # says what its answers have told them.
    @pytest.mark.parametrize(
        ("kind", "services"),
        [
            ("safe", ["desk"]),
            ("stream/resumed", ["readers"]),
            ("stream/staged", ["portal", "clerks"]),
        ],
        ids=["plain", "streams", "stage calls"],
    )
    async def test_they_get_no_further_requests(self, tmp_path, kind, services):
        async with NoticeDeployment(tmp_path, seed=61) as deployment:
            assert await self.late_calls(deployment, kind, services) == {}

    # Guards against the same while the list of servers cannot change.
    async def test_the_store_is_silent(self, tmp_path):
        async with NoticeDeployment(tmp_path, seed=62) as deployment:
            for node in deployment.soak_nodes:
                node.store.blocked.update(Direction)
            assert await self.late_calls(deployment, "safe", ["desk"]) == {}

    # Guards against a notice that outlives the incarnation which gave it.
    async def test_another_incarnation_gets_its_share_at_once(self, tmp_path):
        async with NoticeDeployment(tmp_path, seed=63) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            engine.says_leaving = True
            await deployment.load("safe", for_s=0.5)
            engine.says_leaving = False
            engine.restart()
            deployment.list_engine("desk", engine)
            await asyncio.sleep(0.5)
            assert LEAST_SHARE < await share_of(deployment, engine) < MOST_SHARE


class TestServersThatAskForRest:
    # Guards against hosts that take a server that wants rest for one that is full for a
    # moment: it answers fastest, and so draws their requests and retries.
    @pytest.mark.parametrize(
        ("kind", "service", "rest_s"),
        [(*PLAIN, 3.0), (*PLAIN, 0.9), (*STREAMS, 3.0), (*STAGE_CALLS, 3.0)],
    )
    async def test_one_of_three(self, tmp_path, kind, service, rest_s):
        async with NoticeDeployment(tmp_path, seed=64) as deployment:
            engines = deployment.engines_by_service[service]
            ask_for_rest(engines[:1], rest_s)
            calls = await deployment.load(kind, for_s=3.2)
            beyond, served = calls_while_resting(engines), served_share(calls)
            assert beyond == {} and served >= SHARE_SERVED_BY_TWO, (beyond, served)

    # Guards against the same where retries go from one such server to another.
    @pytest.mark.parametrize(("kind", "service"), [PLAIN, STREAMS], ids=lambda v: v)
    async def test_two_of_three(self, tmp_path, kind, service):
        async with NoticeDeployment(tmp_path, seed=65) as deployment:
            engines = deployment.engines_by_service[service]
            ask_for_rest(engines[:2], 3.0)
            calls = await deployment.load(kind, for_s=3.2)
            beyond, served = calls_while_resting(engines), served_share(calls)
            assert beyond == {} and served >= SHARE_SERVED_BY_ONE, (beyond, served)

    # Guards against a rest that lasts longer than was asked for.
    async def test_a_server_has_its_share_again_after_a_rest(self, tmp_path):
        async with NoticeDeployment(tmp_path, seed=66) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            ask_for_rest([engine], 0.9, for_s=0.3)
            await deployment.load("safe", for_s=0.3 + 0.9 + 4.0)
            assert LEAST_SHARE < await share_of(deployment, engine) < MOST_SHARE

    # Guards against a rest that outlives the incarnation which asked for it.
    async def test_another_incarnation_gets_its_share_at_once(self, tmp_path):
        async with NoticeDeployment(tmp_path, seed=67) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            ask_for_rest([engine], 30.0)
            await deployment.load("safe", for_s=0.5)
            engine.rest_s = None
            engine.restart()
            deployment.list_engine("desk", engine)
            await asyncio.sleep(0.5)
            assert LEAST_SHARE < await share_of(deployment, engine) < MOST_SHARE


class TestAllServersOfAServiceAskForRest:
    # Guards against requests that wait or are sent although no server wants them, and
    # against callers who are told to come back while all servers still rest.
    @pytest.mark.parametrize(
        ("kind", "rest_s"), [("safe", 3.0), ("safe", 0.9), ("once", 0.9)]
    )
    async def test_callers_are_refused_until_one_wants_requests(
        self, tmp_path, kind, rest_s
    ):
        async with NoticeDeployment(tmp_path, seed=68) as deployment:
            engines = deployment.engines_by_service["desk"]
            ask_for_rest(engines, rest_s)
            calls = await deployment.load(kind, for_s=2.5)
            assert {call.status for call in calls} == {503}
            assert calls_while_resting(engines) == {}
            assert deployment.share_ended_within(calls, AT_ONCE_S) >= SHARE_AT_ONCE
            told = 0
            for call in calls:
                told_s = float(call.retry_after)
                learnt_at = call.sent_at - REST_LEARNT_S
                known_s = deployment.rest_left_s(call, "desk", learnt_at)
                if known_s <= 0:
                    continue
                told += 1
                assert told_s >= 0.7 * min(known_s, LONGEST_RETRY_AFTER_S) - 0.05
                longest_s = deployment.rest_left_s(call, "desk", call.ended_at)
                assert told_s <= 1.4 * longest_s + 0.15
            assert told >= 0.1 * len(calls)


class TestServersThatRefuseWithoutATime:
    # Guards against hosts that spare servers which are full for a moment.
    async def test_callers_are_refused_at_once_and_told_to_come_back(self, tmp_path):
        async with NoticeDeployment(tmp_path, seed=69) as deployment:
            engines = deployment.engines_by_service["desk"]
            for engine in engines:
                engine.faults = [EngineFault.REFUSE] * 1000
            calls = await deployment.load("safe", for_s=1.5)
            assert {call.status for call in calls} == {503}
            assert deployment.share_ended_within(calls, AT_ONCE_S) >= SHARE_AT_ONCE
            for call in calls:
                assert 0.0 < float(call.retry_after) <= LONGEST_RETRY_AFTER_S
            for engine in engines:
                engine.faults = []
            assert served_share(await deployment.load("safe", for_s=0.5)) == 1.0
