"""When stages are due, and which requests cannot be in time at all."""

import random

import pytest

from eelgrass_node.process.queue_load import MAX_AGE_S, QueueLoad, QueueLoads
from eelgrass_node.request.final_call_latency import UNKNOWN_S, FinalCallLatency
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

FINAL_S = 0.35


class TestPlan:
    def test_earlier_stages_are_due_before_later_ones(self):
        plan = plan_stages(routed(), deployment(), "a", FINAL_S)
        due = plan.due_by_stage
        assert due[1] < due[2] < due[3] < 3.3
        assert due[0] == due[3]

    def test_large_results_are_made_just_before_they_are_needed(self):
        plan = plan_stages(routed(), deployment(), "a", FINAL_S)
        assert plan.begin_after[0] == (1, 2)
        assert plan.begin_after[3] == (2,)

    def test_a_stage_that_is_left_out_takes_no_time(self):
        whole = plan_stages(routed(), deployment(), "a", FINAL_S)
        short = plan_stages(routed(counts=(2, 0, 8, 16)), deployment(), "a", FINAL_S)
        assert short.begin_after[0] == (2,)
        assert short.due_by_stage[3] == whole.due_by_stage[3]


class TestPatience:
    """Callers of a stream leave before their deadline if nothing comes."""

    def test_stages_are_given_up_before_the_caller_leaves(self):
        """With a target of 1.3 s callers leave after 5.2 s of their 10 s."""
        request = routed(target_s=1.3, deadline_s=10.0)
        assert request.caller_leaves_at == 6.4
        plan = plan_stages(request, deployment(), "a", FINAL_S)
        assert max(plan.deadline_by_stage) < GIVE_UP_FRACTION * 6.4

    @pytest.mark.parametrize(
        ("target_s", "gap_s", "leaves_at"), [(0.1, 0.1, 2.0), (1.7, 0.5, 6.8)]
    )
    def test_it_is_the_longest_of_three(self, target_s, gap_s, leaves_at):
        request = routed(target_s=target_s, gap_target_s=gap_s, deadline_s=10.0)
        assert request.caller_leaves_at == pytest.approx(leaves_at)

    def test_but_never_after_the_deadline(self):
        assert routed(target_s=3.3, deadline_s=4.0).caller_leaves_at == 4.0

    def test_callers_of_other_kinds_wait_until_their_deadline(self):
        request = routed(target_s=0.1, deadline_s=9.0, kind=RouteKind.IDEMPOTENT)
        assert request.caller_leaves_at == 9.0


class TestFinalTimes:
    """Engines differ by customer; the time kept for them is what they take."""

    @pytest.mark.parametrize("took_s", [0.02, 0.2, 2.0])
    def test_it_adapts_to_engines_ten_times_faster_or_slower(self, took_s):
        times = FinalCallLatency()
        for number in range(60):
            times.note("r", took_s * (0.8 + 0.4 * (number % 2)))
        assert took_s <= times.expected_s("r") <= 1.5 * took_s

    def test_three_of_four_answers_begin_within_it(self):
        times = FinalCallLatency()
        draw = random.Random(1)
        taken = [draw.gammavariate(2.0, 0.06) for _ in range(800)]
        for took_s in taken:
            times.note("r", took_s)
        within = sum(took_s <= times.expected_s("r") for took_s in taken)
        assert within >= 0.65 * len(taken)

    def test_a_single_answer_says_little(self):
        times = FinalCallLatency()
        times.note("r", 5.0)
        assert times.expected_s("r") < 2.0

    def test_routes_do_not_share_it(self):
        times = FinalCallLatency()
        for _ in range(50):
            times.note("slow", 3.0)
        assert times.expected_s("other") == UNKNOWN_S

    def test_engines_that_were_slow_once_do_not_shut_a_route_for_good(self):
        """Where all requests are refused, no answer tells of better times."""
        request = routed(target_s=1.3, deadline_s=10.0, stages=CHAIN[1:2], counts=(1,))
        plan = plan_stages(request, deployment(), "a", 60.0)
        assert plan.deadline_by_stage[0] >= 2.0
        loads = QueueLoads(Clock())
        assert infeasible_retry_after_s(request, deployment(), loads, 60.0) is None

    def test_stages_have_more_time_before_fast_engines(self):
        slow = plan_stages(routed(), deployment(), "a", 1.0)
        fast = plan_stages(routed(), deployment(), "a", 0.05)
        assert max(fast.due_by_stage) > max(slow.due_by_stage) + 0.9


class TestUsualDeadlines:
    """Refused callers come back; their time counts from their first try."""

    def test_one_that_comes_back_has_waited_for_what_it_states_less(self):
        usual = TypicalDeadlines()
        assert [usual.note("r", 10.0) for _ in range(5)] == [0.0] * 5
        assert usual.note("r", 6.4) == pytest.approx(3.6)
        assert usual.note("r", 10.0) == 0.0

    def test_an_overload_in_which_more_come_back_than_come_first(self):
        usual = TypicalDeadlines()
        waited = []
        for number in range(200):
            usual.note("r", 10.0)
            waited.append(usual.note("r", 7.0 - (number % 50) / 31))
        assert all(waited_s >= 3.0 for waited_s in waited[1:])

    def test_callers_without_a_usual_figure_have_waited_for_nothing(self):
        usual = TypicalDeadlines()
        assert not any(usual.note("r", 3.0 + n / 10) for n in range(100))

    def test_a_new_usual_figure_is_taken_up(self):
        """A configuration or its callers change; nothing is kept of before."""
        usual = TypicalDeadlines()
        for _ in range(100):
            usual.note("r", 10.0)
        waited = [usual.note("r", 5.0) for _ in range(64)]
        assert waited[-1] == 0.0 and usual.note("r", 4.0) == 1.0

    def test_routes_do_not_share_it(self):
        usual = TypicalDeadlines()
        for _ in range(5):
            usual.note("r", 10.0)
        assert usual.note("other", 5.0) == 0.0


class TestHopeless:
    def loads(self, **load_by_service):
        loads = QueueLoads(Clock())
        for service, load in load_by_service.items():
            loads.receive(ServiceName(service), load)
        return loads

    def test_a_request_with_idle_stages_is_let_in(self):
        assert (
            infeasible_retry_after_s(routed(), deployment(), self.loads(), FINAL_S)
            is None
        )

    def test_a_long_queue_before_a_late_stage_refuses_at_the_door(self):
        load = QueueLoad(((1, 3.0),), late_s=2.0)
        again_s = infeasible_retry_after_s(
            routed(), deployment(), self.loads(archive=load), FINAL_S
        )
        assert again_s is not None and again_s >= 2.0

    def test_a_late_one_is_let_in_where_few_late_ones_wait(self):
        load = QueueLoad(((1, 3.0),), late_s=0.1)
        loads = self.loads(archive=load)
        assert infeasible_retry_after_s(routed(), deployment(), loads, FINAL_S) is None

    def test_waits_of_less_urgent_requests_do_not_count(self):
        load = QueueLoad(((2, 9.0),), late_s=9.0)
        loads = self.loads(archive=load)
        assert infeasible_retry_after_s(routed(), deployment(), loads, FINAL_S) is None

    def test_what_was_heard_fades(self):
        clock = Clock()
        loads = QueueLoads(clock)
        loads.receive(ARCHIVE, QueueLoad(((1, 3.0),), 3.0))
        clock.now = MAX_AGE_S
        assert loads.wait_s(ARCHIVE, 1) == 0.0
