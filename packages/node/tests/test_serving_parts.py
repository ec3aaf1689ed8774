"""Parts of serving that need no network: plans, placement, budgets, reach."""

import random

import pytest

from eelgrass_coordination import ranked
from eelgrass_coordination.ids import BackendId, DataCentre, NodeId
from eelgrass_node.process.backends import Backend, HostEntry
from eelgrass_node.process.piece_owners import DISTRUST_S, PieceOwners
from eelgrass_node.process.pieces import PieceOutcome, PieceTrouble
from eelgrass_node.process.queue_load import FADE_S, QueueLoad, QueueLoads
from eelgrass_node.process.reach import FIRST_DOUBT_S, DataCentreReach
from eelgrass_node.process.retry_window import OWNER_SHARE, USED_FRACTION, RetryWindows
from eelgrass_node.request.events import EventSplitter
from eelgrass_node.request.final_times import UNKNOWN_S, FinalTimes
from eelgrass_node.request.graph import StageGraph
from eelgrass_node.request.planning import (
    GIVE_UP_FRACTION,
    plan_stages,
    refuse_hopeless,
)
from eelgrass_node.request.usual_deadline import UsualDeadlines
from eelgrass_node.version.deployment import (
    RouteKind,
    ServiceName,
)
from support.members import member
from support.pieces import ARCHIVE, CHAIN, CLERKS, deployment, routed

FINAL_S = 0.35


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


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
        times = FinalTimes()
        for number in range(60):
            times.note("r", took_s * (0.8 + 0.4 * (number % 2)))
        assert took_s <= times.expected_s("r") <= 1.5 * took_s

    def test_three_of_four_answers_begin_within_it(self):
        times = FinalTimes()
        draw = random.Random(1)
        taken = [draw.gammavariate(2.0, 0.06) for _ in range(800)]
        for took_s in taken:
            times.note("r", took_s)
        within = sum(took_s <= times.expected_s("r") for took_s in taken)
        assert within >= 0.65 * len(taken)

    def test_a_single_answer_says_little(self):
        times = FinalTimes()
        times.note("r", 5.0)
        assert times.expected_s("r") < 2.0

    def test_routes_do_not_share_it(self):
        times = FinalTimes()
        for _ in range(50):
            times.note("slow", 3.0)
        assert times.expected_s("other") == UNKNOWN_S

    def test_engines_that_were_slow_once_do_not_shut_a_route_for_good(self):
        """Where all requests are refused, no answer tells of better times."""
        request = routed(target_s=1.3, deadline_s=10.0, stages=CHAIN[1:2], counts=(1,))
        plan = plan_stages(request, deployment(), "a", 60.0)
        assert plan.deadline_by_stage[0] >= 2.0
        loads = QueueLoads(Clock())
        assert refuse_hopeless(request, deployment(), loads, 60.0) is None

    def test_stages_have_more_time_before_fast_engines(self):
        slow = plan_stages(routed(), deployment(), "a", 1.0)
        fast = plan_stages(routed(), deployment(), "a", 0.05)
        assert max(fast.due_by_stage) > max(slow.due_by_stage) + 0.9


class TestUsualDeadlines:
    """Refused callers come back; their time counts from their first try."""

    def test_one_that_comes_back_has_waited_for_what_it_states_less(self):
        usual = UsualDeadlines()
        assert [usual.note("r", 10.0) for _ in range(5)] == [0.0] * 5
        assert usual.note("r", 6.4) == pytest.approx(3.6)
        assert usual.note("r", 10.0) == 0.0

    def test_an_overload_in_which_more_come_back_than_come_first(self):
        usual = UsualDeadlines()
        waited = []
        for number in range(200):
            usual.note("r", 10.0)
            waited.append(usual.note("r", 7.0 - (number % 50) / 31))
        assert all(waited_s >= 3.0 for waited_s in waited[1:])

    def test_callers_without_a_usual_figure_have_waited_for_nothing(self):
        usual = UsualDeadlines()
        assert not any(usual.note("r", 3.0 + n / 10) for n in range(100))

    def test_a_new_usual_figure_is_taken_up(self):
        """A configuration or its callers change; nothing is kept of before."""
        usual = UsualDeadlines()
        for _ in range(100):
            usual.note("r", 10.0)
        waited = [usual.note("r", 5.0) for _ in range(64)]
        assert waited[-1] == 0.0 and usual.note("r", 4.0) == 1.0

    def test_routes_do_not_share_it(self):
        usual = UsualDeadlines()
        for _ in range(5):
            usual.note("r", 10.0)
        assert usual.note("other", 5.0) == 0.0


class TestHopeless:
    def loads(self, **load_by_service):
        loads = QueueLoads(Clock())
        for service, load in load_by_service.items():
            loads.hear(ServiceName(service), load)
        return loads

    def test_a_request_with_idle_stages_is_let_in(self):
        assert refuse_hopeless(routed(), deployment(), self.loads(), FINAL_S) is None

    def test_a_long_queue_before_a_late_stage_refuses_at_the_door(self):
        load = QueueLoad(((1, 3.0),), late_s=2.0)
        again_s = refuse_hopeless(
            routed(), deployment(), self.loads(archive=load), FINAL_S
        )
        assert again_s is not None and again_s >= 2.0

    def test_a_late_one_is_let_in_where_few_late_ones_wait(self):
        load = QueueLoad(((1, 3.0),), late_s=0.1)
        loads = self.loads(archive=load)
        assert refuse_hopeless(routed(), deployment(), loads, FINAL_S) is None

    def test_waits_of_less_urgent_requests_do_not_count(self):
        load = QueueLoad(((2, 9.0),), late_s=9.0)
        loads = self.loads(archive=load)
        assert refuse_hopeless(routed(), deployment(), loads, FINAL_S) is None

    def test_what_was_heard_fades(self):
        clock = Clock()
        loads = QueueLoads(clock)
        loads.hear(ARCHIVE, QueueLoad(((1, 3.0),), 3.0))
        clock.now = FADE_S
        assert loads.wait_s(ARCHIVE, 1) == 0.0


class TestGraph:
    async def run_graph(self, answer, given=None):
        calls = []
        freed = []

        async def run_pieces(service, pieces):
            calls.append((service, pieces))
            return answer(service, pieces, len(calls))

        request = given or routed()
        graph = StageGraph(
            request,
            plan_stages(request, deployment(), "a", FINAL_S),
            run_pieces,
            lambda service, handles: freed.extend(handles),
            lambda handle: "a",
            lambda life: False,
        )
        return graph, await graph.run(), calls, freed

    @staticmethod
    def handles(service, pieces, number):
        return [PieceOutcome(handle=f"{p.stage}/{p.number}") for p in pieces]

    async def test_each_piece_gets_all_results_before_it(self):
        graph, inputs, calls, freed = await self.run_graph(self.handles)
        archive = next(p for service, p in calls if service == ARCHIVE)
        assert len(archive) == 16
        assert archive[0].inputs == tuple(f"2/{n}" for n in range(8))
        assert archive[0].key is None
        assert inputs == ("0/0", "0/1", *(f"3/{n}" for n in range(16)))

    async def test_results_are_freed_once_their_followers_have_run(self):
        graph, inputs, calls, freed = await self.run_graph(self.handles)
        assert set(freed) == {"1/0", *(f"2/{n}" for n in range(8))}
        graph.release()
        assert set(inputs) <= set(freed)

    async def test_lost_results_are_made_again(self):
        def lose_once(service, pieces, number):
            if service == ARCHIVE and number < 5:
                return [PieceOutcome(trouble=PieceTrouble.INPUT_GONE)] * len(pieces)
            return self.handles(service, pieces, number)

        graph, inputs, calls, freed = await self.run_graph(lose_once)
        assert len(inputs) == 18
        assert [service for service, _ in calls].count(CLERKS) == 2


class TestRetryWindows:
    def budget(self, nodes=8):
        clock = Clock()
        budget = RetryWindows(0.2, 56, 10.0, clock)
        budget.live_nodes = nodes
        return budget, clock

    def spend_all(self, budget, **options):
        spent = 0
        while budget.try_spend("s", **options):
            spent += 1
        return spent

    def test_all_nodes_together_keep_the_limit(self):
        total = 0
        for _ in range(8):
            budget, _ = self.budget()
            for _ in range(100):
                budget.note_request("s")
            total += self.spend_all(budget)
        assert 0 < total <= 0.2 * 800 + 56

    def test_three_owners_together_keep_the_slack(self):
        budget, _ = self.budget()
        assert 3 * self.spend_all(budget, owner=True) <= 56
        assert self.spend_all(self.budget()[0], owner=True) == int(
            56 * OWNER_SHARE * USED_FRACTION
        )

    def test_it_comes_back_as_the_window_slides(self):
        budget, clock = self.budget()
        self.spend_all(budget)
        clock.now = 10.1
        assert budget.try_spend("s")


class TestReach:
    def reach(self):
        clock = Clock()
        return DataCentreReach(DataCentre("a"), clock), clock

    def test_one_silence_is_not_enough_at_first(self):
        reach, clock = self.reach()
        reach.note_silent("b", "x")
        reach.note_silent("b", "x")
        assert not reach.in_doubt("b")
        reach.note_silent("b", "y")
        assert reach.in_doubt("b")

    def test_an_answer_ends_the_doubt(self):
        reach, clock = self.reach()
        for name in "xy":
            reach.note_silent("b", name)
        reach.note_answer("b")
        assert not reach.in_doubt("b")

    def test_a_doubt_without_answer_returns_at_the_first_silence(self):
        reach, clock = self.reach()
        for name in "xy":
            reach.note_silent("b", name)
        clock.now = FIRST_DOUBT_S + 2.0
        assert not reach.in_doubt("b")
        reach.note_silent("b", "z")
        assert reach.in_doubt("b")

    def test_the_own_data_centre_is_never_in_doubt(self):
        reach, _ = self.reach()
        for name in "xyz":
            reach.note_silent("a", name)
        assert not reach.in_doubt("a")

    def test_a_suspect_within_reach_is_better_than_one_beyond_a_cut(self):
        reach, clock = self.reach()
        near, far = (
            Backend(HostEntry(BackendId(n), "s", f"{n}:1", DataCentre(n))) for n in "ab"
        )
        near.suspect_until = clock.now + 1.0
        assert reach.sound([near, far]) == [far]
        for name in "xy":
            reach.note_silent("b", name)
        assert reach.sound([near, far]) == [near]


class TestOwners:
    def setup_method(self):
        self.clock = Clock()
        self.members = [member(f"n{n}", dc) for n, dc in enumerate("aabbcc")]

    def owners(self, own, data_centre):
        others = [m for m in self.members if m.id != own]
        reach = DataCentreReach(DataCentre(data_centre), self.clock)
        return PieceOwners(
            NodeId(own),
            DataCentre(data_centre),
            next((m.capacity for m in self.members if m.id == own), 1.0),
            lambda: others,
            reach,
            self.clock,
        )

    def first(self, own, data_centre):
        owner = self.owners(own, data_centre).candidates("portal")[0]
        return own if owner is None else owner.id

    def test_all_nodes_agree(self):
        firsts = {self.first(m.id, m.data_centre) for m in self.members}
        assert len(firsts) == 1

    def test_small_hosts_own_nothing_beside_strong_ones(self):
        """6 hosts of 2 cores beside 70 with a tenth of that, grown deployments."""
        self.members += [member(f"s{n}", "abc"[n % 3], 0.1) for n in range(70)]
        for service in map(str, range(50)):
            for own in (self.members[0], self.members[-1]):
                owners = self.owners(own.id, own.data_centre)
                owner = owners.candidates(service)[0]
                assert (owner or own).capacity == 1.0

    def test_small_hosts_own_queues_where_no_strong_one_is_left(self):
        self.members = [member(f"s{n}", "a", 0.1) for n in range(5)]
        assert self.owners("s0", "a").candidates("portal")[0] in [None, *self.members]

    def test_one_that_does_not_answer_is_passed_over_for_a_while(self):
        owner = ranked(self.members, "portal", lambda m: m.id)[0]
        own = next(m for m in self.members if m.data_centre != owner.data_centre)
        owners = self.owners(own.id, own.data_centre)
        owners.note_failure(owner)
        assert owner not in owners.candidates("portal")
        self.clock.now = DISTRUST_S
        assert owners.candidates("portal")[0] == owner

    def test_in_a_cut_the_nodes_of_a_data_centre_agree_on_one_of_theirs(self):
        found = set()
        for own in ("n0", "n1"):
            owners = self.owners(own, "a")
            for other in self.members[2:]:
                owners.note_failure(other)
            first = owners.candidates("portal")[0]
            found.add(own if first is None else first.id)
        assert len(found) == 1 and found <= {"n0", "n1"}


class TestEvents:
    def test_only_whole_events_are_passed_on(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert splitter.partial
        assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
        assert splitter.last_id == "2"

    def test_a_second_run_repeats_nothing(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        splitter.restart()
        assert splitter.feed(b"id: 1\ndata: a\n\n") == b""
        assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"

    @pytest.mark.parametrize("size", [1, 2, 3, 7])
    def test_any_split_of_the_bytes_gives_the_same(self, size):
        whole = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
        splitter = EventSplitter()
        parts = [whole[n : n + size] for n in range(0, len(whole), size)]
        assert b"".join(splitter.feed(part) for part in parts) == whole
