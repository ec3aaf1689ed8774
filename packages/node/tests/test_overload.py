"""The length of overloads, and the retry delay that refused callers get."""

import asyncio

import pytest

from eelgrass_node.process.batch_items import ItemFailure
from eelgrass_node.process.overload import QUIET_PERIOD_S, Overload
from eelgrass_node.process.queue_load import MAX_AGE_S, QueueLoad, QueueLoads
from eelgrass_node.request.planning import infeasible_retry_after_s
from eelgrass_node.version.deployment import ServiceName
from support.batching import Service, deployment, items, routed, server


class TestOverload:
    def test_an_overload_starts_with_the_first_of_a_series_of_refusals(self):
        overload = Overload()
        for n in range(13):
            overload.record_refusal(10.0 + n / 2)
        assert overload.duration_s(16.0) == 6.0

    def test_an_overload_ends_after_a_quiet_period(self):
        overload = Overload()
        overload.record_refusal(10.0)
        overload.record_refusal(10.9)
        assert overload.duration_s(10.9 + QUIET_PERIOD_S + 0.1) == 0.0
        overload.record_refusal(20.0)
        assert overload.duration_s(20.5) == 0.5

    def test_there_is_no_overload_at_first(self):
        assert Overload().duration_s(0.0) == 0.0

    @pytest.mark.parametrize("burst_s", [2.0, 6.0, 20.0])
    def test_callers_refused_in_a_burst_mostly_retry_after_it(self, burst_s):
        """With a fixed delay of 0.4 s nearly all retries fell into the same burst."""
        overload = Overload()
        late = 0
        for n in range(100):
            now = burst_s * n / 100
            overload.record_refusal(now)
            late += now + overload.duration_s(now) >= burst_s
        assert late >= 45


class TestQueue:
    async def test_the_retry_delay_grows_with_the_length_of_the_overload(self):
        service = Service(server("s1"))
        waiting = asyncio.create_task(service.queue.run(items("w", 200)))
        await asyncio.sleep(0.001)
        asked = []
        for _ in range(2):
            for _ in range(6):
                [refused] = await service.queue.run(
                    items("r", in_s=0.02, deadline_s=0.03, priority=1)
                )
                assert refused.failure is ItemFailure.OVERLOADED
                await asyncio.sleep(0.05)
            asked.append(refused.retry_after_s)
        assert asked[0] == pytest.approx(0.25, abs=0.1)
        assert asked[1] == pytest.approx(0.55, abs=0.15)
        waiting.cancel()


class TestAdmission:
    def test_other_nodes_learn_how_long_a_queue_has_been_overloaded(self):
        now = [0.0]
        loads = QueueLoads(lambda: now[0])
        load = QueueLoad(((1, 9.0),), late_s=2.0, overload_s=8.0)
        loads.receive(ServiceName("archive"), load)
        # The wait at the queue makes the request late by about 7 s, but the overload
        # has lasted for 8 s.
        assert infeasible_retry_after_s(routed(), deployment(), loads, 0.35) == 8.0
        now[0] = MAX_AGE_S
        assert loads.overload_s([ServiceName("archive")]) == 0.0
