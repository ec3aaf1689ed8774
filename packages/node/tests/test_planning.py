"""Stage plans, the estimates behind them, and the refusal of infeasible requests."""

import random

import pytest

from eelgrass_node.process.queue_load import MAX_AGE_S, QueueLoad, QueueLoads
from eelgrass_node.request.final_call_latency import (
    INITIAL_ESTIMATE_S,
    FinalCallLatency,
)
from eelgrass_node.request.planning import (
    GIVE_UP_FRACTION,
    infeasible_retry_after_s,
    plan_stages,
)
from eelgrass_node.request.typical_deadline import TypicalDeadlines
from eelgrass_node.version.deployment import (
    RouteKind,
    ServiceName,
)
from support.batching import ARCHIVE, CHAIN, deployment, routed
from support.clock import Clock

FINAL_CALL_S = 0.35


class TestPlan:
    def test_earlier_stages_should_end_before_later_ones(self):
        plan = plan_stages(routed(), deployment(), "a", FINAL_CALL_S)
        targets = plan.target_by_stage
        assert targets[1] < targets[2] < targets[3] < 3.3
        assert targets[0] == targets[3]

    def test_large_results_are_made_just_before_they_are_needed(self):
        plan = plan_stages(routed(), deployment(), "a", FINAL_CALL_S)
        assert plan.begin_after[0] == (1, 2)
        assert plan.begin_after[3] == (2,)

    def test_a_stage_that_is_left_out_takes_no_time(self):
        full = plan_stages(routed(), deployment(), "a", FINAL_CALL_S)
        short = plan_stages(
            routed(counts=(2, 0, 8, 16)), deployment(), "a", FINAL_CALL_S
        )
        assert short.begin_after[0] == (2,)
        assert short.target_by_stage[3] == full.target_by_stage[3]


class TestCallerGivesUp:
    """Callers of a stream give up before their deadline if no event arrives."""

    def test_stages_are_given_up_before_the_caller_leaves(self):
        """Eight times the gap target of 0.8 s is more than four times the 1.3 s.

        Callers therefore give up after 6.4 s, not 5.2 s, of their 10 s.
        """
        request = routed(target_s=1.3, deadline_s=10.0)
        assert request.caller_leaves_at == 6.4
        plan = plan_stages(request, deployment(), "a", FINAL_CALL_S)
        assert max(plan.deadline_by_stage) < GIVE_UP_FRACTION * 6.4

    @pytest.mark.parametrize(
        ("target_s", "gap_s", "leaves_at"), [(0.1, 0.1, 2.0), (1.7, 0.5, 6.8)]
    )
    def test_they_wait_for_the_longest_of_three(self, target_s, gap_s, leaves_at):
        request = routed(target_s=target_s, inter_token_target_s=gap_s, deadline_s=10.0)
        assert request.caller_leaves_at == pytest.approx(leaves_at)

    def test_they_never_wait_beyond_the_deadline(self):
        assert routed(target_s=3.3, deadline_s=4.0).caller_leaves_at == 4.0

    def test_callers_of_other_routes_wait_until_their_deadline(self):
        request = routed(target_s=0.1, deadline_s=9.0, kind=RouteKind.IDEMPOTENT)
        assert request.caller_leaves_at == 9.0


class TestFinalCallLatency:
    """The reserved time follows the latency of the engines, which differ by account."""

    @pytest.mark.parametrize("took_s", [0.02, 0.2, 2.0])
    def test_it_adapts_to_engines_ten_times_faster_or_slower(self, took_s):
        latency = FinalCallLatency()
        for number in range(60):
            latency.record("r", took_s * (0.8 + 0.4 * (number % 2)))
        assert took_s <= latency.expected_s("r") <= 1.5 * took_s

    def test_three_of_four_responses_begin_within_the_estimate(self):
        latency = FinalCallLatency()
        draw = random.Random(1)
        taken = [draw.gammavariate(2.0, 0.06) for _ in range(800)]
        for took_s in taken:
            latency.record("r", took_s)
        within = sum(took_s <= latency.expected_s("r") for took_s in taken)
        assert within >= 0.65 * len(taken)

    def test_a_single_measurement_has_little_weight(self):
        latency = FinalCallLatency()
        latency.record("r", 5.0)
        assert latency.expected_s("r") < 2.0

    def test_each_route_has_its_own(self):
        latency = FinalCallLatency()
        for _ in range(50):
            latency.record("slow", 3.0)
        assert latency.expected_s("other") == INITIAL_ESTIMATE_S

    def test_engines_that_were_slow_once_do_not_block_a_route(self):
        """If all requests were refused, nothing would measure a recovered engine."""
        request = routed(target_s=1.3, deadline_s=10.0, stages=CHAIN[1:2], counts=(1,))
        plan = plan_stages(request, deployment(), "a", 60.0)
        assert plan.deadline_by_stage[0] >= 2.0
        loads = QueueLoads(Clock())
        assert infeasible_retry_after_s(request, deployment(), loads, 60.0) is None

    def test_stages_have_more_time_before_fast_engines(self):
        slow = plan_stages(routed(), deployment(), "a", 1.0)
        fast = plan_stages(routed(), deployment(), "a", 0.05)
        assert max(fast.target_by_stage) > max(slow.target_by_stage) + 0.9


class TestTypicalDeadlines:
    """Refused callers retry; their time counts from their first attempt."""

    def test_a_retry_has_waited_since_its_first_attempt(self):
        deadlines = TypicalDeadlines()
        assert [deadlines.record("r", 10.0) for _ in range(5)] == [0.0] * 5
        assert deadlines.record("r", 6.4) == pytest.approx(3.6)
        assert deadlines.record("r", 10.0) == 0.0

    def test_an_overload_with_more_retries_than_first_attempts(self):
        deadlines = TypicalDeadlines()
        waited = []
        for number in range(200):
            deadlines.record("r", 10.0)
            waited.append(deadlines.record("r", 7.0 - (number % 50) / 31))
        assert all(waited_s >= 3.0 for waited_s in waited[1:])

    def test_without_a_typical_deadline_no_wait_is_assumed(self):
        deadlines = TypicalDeadlines()
        assert not any(deadlines.record("r", 3.0 + n / 10) for n in range(100))

    def test_a_new_typical_deadline_is_adopted(self):
        """If the configuration or the callers change, earlier values are forgotten."""
        deadlines = TypicalDeadlines()
        for _ in range(100):
            deadlines.record("r", 10.0)
        waited = [deadlines.record("r", 5.0) for _ in range(64)]
        assert waited[-1] == 0.0 and deadlines.record("r", 4.0) == 1.0

    def test_each_route_has_its_own(self):
        deadlines = TypicalDeadlines()
        for _ in range(5):
            deadlines.record("r", 10.0)
        assert deadlines.record("other", 5.0) == 0.0


class TestInfeasible:
    def loads(self, **load_by_service):
        loads = QueueLoads(Clock())
        for service, load in load_by_service.items():
            loads.receive(ServiceName(service), load)
        return loads

    def test_a_request_with_idle_stages_is_admitted(self):
        assert (
            infeasible_retry_after_s(routed(), deployment(), self.loads(), FINAL_CALL_S)
            is None
        )

    def test_a_long_queue_of_a_last_stage_refuses_before_the_first(self):
        load = QueueLoad(((1, 3.0),), late_s=2.0)
        retry_after_s = infeasible_retry_after_s(
            routed(), deployment(), self.loads(archive=load), FINAL_CALL_S
        )
        assert retry_after_s is not None and retry_after_s >= 2.0

    def test_a_late_request_is_admitted_if_few_late_ones_wait(self):
        load = QueueLoad(((1, 3.0),), late_s=0.1)
        loads = self.loads(archive=load)
        assert (
            infeasible_retry_after_s(routed(), deployment(), loads, FINAL_CALL_S)
            is None
        )

    def test_waits_of_less_urgent_requests_do_not_count(self):
        load = QueueLoad(((2, 9.0),), late_s=9.0)
        loads = self.loads(archive=load)
        assert (
            infeasible_retry_after_s(routed(), deployment(), loads, FINAL_CALL_S)
            is None
        )

    def test_reported_loads_fade(self):
        clock = Clock()
        loads = QueueLoads(clock)
        loads.receive(ARCHIVE, QueueLoad(((1, 3.0),), 3.0))
        clock.now = MAX_AGE_S
        assert loads.wait_s(ARCHIVE, 1) == 0.0
