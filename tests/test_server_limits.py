"""Servers that name in their answers how many requests a second they take from all.

Hosts as processes, three servers of each service, a steady load at all hosts.
"""

import asyncio
import signal

import pytest

from eelgrass_standins.entry_engines import EngineFault
from support.fault_proxy import Direction
from support.notices import runs_since, served_share
from support.request_limits import (
    LimitDeployment,
    allowed_calls,
    calls_per_s,
    most_calls,
    name_limit,
)

pytestmark = pytest.mark.processes

# From the first answer that names a limit until the rule holds, and one window.
LOAD_S = 7.5
# Calls before this time are not counted as use of a limit.
SETTLED_S = 3.0
SHARE_SERVED = 0.97
# Refusals without a call to a server end within this time.
AT_ONCE_S = 0.1
SHARE_AT_ONCE = 0.95
# A third of the requests, with four standard deviations of 125.
LEAST_SHARE, MOST_SHARE = 1 / 6, 1 / 2
HOST_IS_FROZEN_S = 8.0


def now():
    return asyncio.get_running_loop().time()


def used_share(engines, limit, since, until):
    """Return the smallest share of their limit that servers were used for."""
    return min(calls_per_s(engine, since, until) for engine in engines) / limit


async def share_of(deployment, engine):
    """Return the share of the plain requests of some seconds that a server runs."""
    since = now()
    calls = await deployment.load("safe", for_s=2.5)
    assert served_share(calls) >= SHARE_SERVED
    return runs_since(engine, since) / len(calls)


class TestOneServerOfThreeNamesALimit:
    # Guards against hosts that do not read the limit, or keep it each for itself: what
    # they send adds up at the server.
    @pytest.mark.parametrize(
        ("kind", "service", "limit"),
        [
            ("safe", "desk", 1),
            ("stream/resumed", "readers", 2.5),
            ("once", "desk", 2),
            ("safe", "desk", 0.1),
            ("safe", "desk", 0),
        ],
    )
    async def test_all_hosts_together_keep_it(self, tmp_path, kind, service, limit):
        async with LimitDeployment(tmp_path, seed=71) as deployment:
            engines = deployment.engines_by_service[service]
            name_limit(engines[:1], str(limit))
            calls = await deployment.load(kind, LOAD_S)
            most, served = most_calls(engines[0]), served_share(calls)
            assert most <= allowed_calls(limit) and served >= SHARE_SERVED, served

    # Guards against the same for the calls that queues of stages make.
    async def test_stage_calls_keep_it(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=71) as deployment:
            engines = deployment.engines_by_service["portal"]
            name_limit(engines[:1], "1")
            calls = await deployment.load_stages(LOAD_S)
            most, served = most_calls(engines[0]), served_share(calls)
            assert most <= allowed_calls(1) and served >= SHARE_SERVED, served

    # Guards against the same where the server names it only as it turns requests away:
    # it answers fastest, and so draws first tries and retries.
    async def test_it_names_it_in_refusals(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=72) as deployment:
            engines = deployment.engines_by_service["desk"]
            name_limit(engines[:1], "1")
            engines[0].faults = [EngineFault.REFUSE] * 10_000
            calls = await deployment.load("safe", LOAD_S)
            most, served = most_calls(engines[0]), served_share(calls)
            assert most <= allowed_calls(1) and served >= SHARE_SERVED, served

    # Guards against limits that are kept by way of the store.
    async def test_ten_hosts_and_the_store_is_silent(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=73, hosts=10) as deployment:
            for node in deployment.soak_nodes:
                node.store.blocked.update(Direction)
            engine = deployment.engines_by_service["desk"][0]
            name_limit([engine], "1")
            calls = await deployment.load("safe", LOAD_S)
            most, served = most_calls(engine), served_share(calls)
            assert most <= allowed_calls(1) and served >= SHARE_SERVED, served

    # Guards against tokens that are saved up while there are no requests.
    async def test_many_requests_at_once_after_a_pause(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=74) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            name_limit([engine], "1")
            await deployment.load("safe", for_s=1.0)
            await asyncio.sleep(4.0)
            burst = [deployment.call(number % 3, "safe") for number in range(150)]
            calls = await asyncio.gather(*burst)
            assert most_calls(engine) <= allowed_calls(1)
            assert served_share(calls) >= SHARE_SERVED


class TestAllServersNameALimit:
    def check_use(self, deployment, engines, limit, since):
        for engine in engines:
            assert most_calls(engine) <= allowed_calls(limit)
        assert used_share(engines, limit, since, now()) >= 0.5

    def check_refusals(self, deployment, calls):
        refused = [call for call in calls if call.status != 200]
        assert {call.status for call in refused} == {503}
        assert all(float(call.retry_after) > 0 for call in refused)
        assert deployment.share_ended_within(refused, AT_ONCE_S) >= SHARE_AT_ONCE

    # Guards against servers that are left unused, and against callers who wait for one.
    @pytest.mark.parametrize(("hosts", "limit"), [(3, 4), (10, 6)])
    async def test_each_is_used_and_the_others_are_refused(
        self, tmp_path, hosts, limit
    ):
        async with LimitDeployment(tmp_path, seed=75, hosts=hosts) as deployment:
            engines = deployment.engines_by_service["desk"]
            name_limit(engines, str(limit))
            began = now()
            calls = await deployment.load("safe", LOAD_S)
            self.check_use(deployment, engines, limit, began + SETTLED_S)
            settled = [c for c in calls if c.sent_at > began + SETTLED_S]
            self.check_refusals(deployment, settled)

    # Guards against queues of stages that count with the usual speed of their servers,
    # and against results that are never freed.
    async def test_stage_calls(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=81) as deployment:
            engines = deployment.engines_by_service["portal"]
            name_limit(engines, "4")
            began = now()
            await deployment.load_stages(LOAD_S)
            self.check_use(deployment, engines, 4, began + SETTLED_S)
            await asyncio.sleep(2.0)
            assert sum(len(engine.results) for engine in engines) <= 12

    # Guards against a server that nobody may use while the host that counts for it
    # stands still.
    async def test_a_host_stands_still(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=76) as deployment:
            engines = deployment.engines_by_service["desk"]
            name_limit(engines, "4")
            await deployment.load("safe", SETTLED_S)
            frozen = deployment.soak_nodes[0]
            frozen.process.signal(signal.SIGSTOP)
            since = now()
            calls = await deployment.load("safe", HOST_IS_FROZEN_S, hosts=[1, 2])
            frozen.process.signal(signal.SIGCONT)
            self.check_use(deployment, engines, 4, since)
            self.check_refusals(deployment, calls)
            await deployment.load("safe", for_s=2.0, hosts=[1, 2])
            for engine in engines:
                assert most_calls(engine) <= allowed_calls(4)


class TestHostsEndInTurn:
    # Guards against a limit that is granted anew whenever the host ends that counts.
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
    async def test_the_others_keep_it(self, tmp_path, number):
        async with LimitDeployment(tmp_path, seed=77) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            name_limit([engine], "2")
            await deployment.load("safe", SETTLED_S)
            excuses, _ = await asyncio.gather(
                deployment.restart_in_turn(number, range(3), gap_s=1.5),
                deployment.load("safe", for_s=10.0),
            )
            assert most_calls(engine, excuses) <= allowed_calls(2)


class TestLimitsEnd:
    # Guards against limits that outlive what the server says, also where nothing may be
    # sent that could tell.
    @pytest.mark.parametrize(("limit", "within_s"), [("1", 4.0), ("0", 6.0)])
    async def test_answers_stop_naming_it(self, tmp_path, limit, within_s):
        async with LimitDeployment(tmp_path, seed=78) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            name_limit([engine], limit)
            await deployment.load("safe", for_s=2.0)
            name_limit([engine], None)
            await deployment.load("safe", within_s)
            assert LEAST_SHARE < await share_of(deployment, engine) < MOST_SHARE

    # Guards against a limit that outlives the incarnation which named it.
    async def test_another_incarnation_has_none(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=79) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            name_limit([engine], "0.1")
            await deployment.load("safe", for_s=1.0)
            name_limit([engine], None)
            engine.restart()
            deployment.list_engine("desk", engine)
            await asyncio.sleep(0.5)
            assert LEAST_SHARE < await share_of(deployment, engine) < MOST_SHARE

    # Guards against values that are taken for a limit of nothing, or for none.
    async def test_what_is_no_number_changes_nothing(self, tmp_path):
        async with LimitDeployment(tmp_path, seed=80) as deployment:
            engine = deployment.engines_by_service["desk"][0]
            for value in ("x", "-1", "nan", "inf", ""):
                name_limit([engine], value)
                assert LEAST_SHARE < await share_of(deployment, engine) < MOST_SHARE
