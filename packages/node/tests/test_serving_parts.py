"""Stage graph, reachability, queue owners and event splitting, without a network."""

import pytest

from eelgrass_coordination import ranked
from eelgrass_coordination.ids import BackendId, DataCentre, NodeId
from eelgrass_node.process.backends import Backend, HostEntry
from eelgrass_node.process.batch_items import ItemFailure, ItemOutcome
from eelgrass_node.process.crash_detector import Fingerprint
from eelgrass_node.process.queue_owners import BACKOFF_S, QueueOwners
from eelgrass_node.process.reachability import FIRST_SUSPICION_S, DataCentreReachability
from eelgrass_node.request.events import EventSplitter
from eelgrass_node.request.graph import StageGraph
from eelgrass_node.request.planning import (
    plan_stages,
)
from support.batching import ARCHIVE, CLERKS, deployment, routed
from support.clock import Clock
from support.members import member

FINAL_CALL_S = 0.35


class TestGraph:
    async def run_graph(self, answer, given=None):
        calls = []
        freed = []

        async def run_items(service, items):
            calls.append((service, items))
            return answer(service, items, len(calls))

        request = given or routed()
        graph = StageGraph(
            request,
            plan_stages(request, deployment(), "a", FINAL_CALL_S),
            run_items,
            lambda service, handles, owner: freed.extend(handles),
            lambda handle: "a",
            lambda incarnation: False,
            Fingerprint("a request"),
        )
        return graph, await graph.run(), calls, freed

    @staticmethod
    def handles(service, items, number):
        return [ItemOutcome(handle=f"{i.stage}/{i.number}") for i in items]

    async def test_each_item_gets_all_results_of_the_stage_before(self):
        graph, inputs, calls, freed = await self.run_graph(self.handles)
        archive = next(items for service, items in calls if service == ARCHIVE)
        assert len(archive) == 16
        assert archive[0].inputs == tuple(f"2/{n}" for n in range(8))
        assert archive[0].key is None
        assert inputs == ("0/0", "0/1", *(f"3/{n}" for n in range(16)))

    async def test_results_are_freed_once_their_successors_have_run(self):
        graph, inputs, calls, freed = await self.run_graph(self.handles)
        assert set(freed) == {"1/0", *(f"2/{n}" for n in range(8))}
        graph.release()
        assert set(inputs) <= set(freed)

    async def test_lost_results_are_made_again(self):
        def lose_once(service, items, number):
            if service == ARCHIVE and number < 5:
                return [ItemOutcome(failure=ItemFailure.INPUT_GONE)] * len(items)
            return self.handles(service, items, number)

        graph, inputs, calls, freed = await self.run_graph(lose_once)
        assert len(inputs) == 18
        assert [service for service, _ in calls].count(CLERKS) == 2


class TestReachability:
    def reachability(self):
        clock = Clock()
        return DataCentreReachability(DataCentre("a"), clock), clock

    def test_timeouts_of_two_servers_are_needed_at_first(self):
        reachability, clock = self.reachability()
        reachability.record_timeout("b", "x")
        reachability.record_timeout("b", "x")
        assert not reachability.is_suspected("b")
        reachability.record_timeout("b", "y")
        assert reachability.is_suspected("b")

    def test_an_answer_ends_the_suspicion(self):
        reachability, clock = self.reachability()
        for name in "xy":
            reachability.record_timeout("b", name)
        reachability.record_answer("b")
        assert not reachability.is_suspected("b")

    def test_without_an_answer_one_timeout_renews_the_suspicion(self):
        reachability, clock = self.reachability()
        for name in "xy":
            reachability.record_timeout("b", name)
        clock.now = FIRST_SUSPICION_S + 2.0
        assert not reachability.is_suspected("b")
        reachability.record_timeout("b", "z")
        assert reachability.is_suspected("b")

    def test_the_local_data_centre_is_never_suspected(self):
        reachability, _ = self.reachability()
        for name in "xyz":
            reachability.record_timeout("a", name)
        assert not reachability.is_suspected("a")

    def test_a_suspect_server_is_better_than_an_unreachable_one(self):
        reachability, clock = self.reachability()
        local, remote = (
            Backend(HostEntry(BackendId(n), "s", f"{n}:1", DataCentre(n))) for n in "ab"
        )
        local.suspect_until = clock.now + 1.0
        assert reachability.healthiest([local, remote]) == [remote]
        for name in "xy":
            reachability.record_timeout("b", name)
        assert reachability.healthiest([local, remote]) == [local]


class TestQueueOwners:
    def setup_method(self):
        self.clock = Clock()
        self.members = [member(f"n{n}", dc) for n, dc in enumerate("aabbcc")]

    def owners(self, own, data_centre):
        others = [m for m in self.members if m.id != own]
        reachability = DataCentreReachability(DataCentre(data_centre), self.clock)
        return QueueOwners(
            NodeId(own),
            DataCentre(data_centre),
            next((m.capacity for m in self.members if m.id == own), 1.0),
            lambda: others,
            reachability,
            self.clock,
        )

    def first(self, own, data_centre):
        owner = self.owners(own, data_centre).candidates("portal")[0]
        return own if owner is None else owner.id

    def test_all_nodes_agree(self):
        firsts = {self.first(m.id, m.data_centre) for m in self.members}
        assert len(firsts) == 1

    def test_small_hosts_own_nothing_beside_high_capacity_ones(self):
        """A grown deployment has 6 hosts of 2 cores and 70 with a tenth of that."""
        self.members += [member(f"s{n}", "abc"[n % 3], 0.1) for n in range(70)]
        for service in map(str, range(50)):
            for own in (self.members[0], self.members[-1]):
                owners = self.owners(own.id, own.data_centre)
                owner = owners.candidates(service)[0]
                assert (owner or own).capacity == 1.0

    def test_small_hosts_own_queues_without_high_capacity_ones(self):
        self.members = [member(f"s{n}", "a", 0.1) for n in range(5)]
        assert self.owners("s0", "a").candidates("portal")[0] in [None, *self.members]

    def test_an_owner_that_does_not_answer_is_backed_off(self):
        owner = ranked(self.members, "portal", lambda m: m.id)[0]
        own = next(m for m in self.members if m.data_centre != owner.data_centre)
        owners = self.owners(own.id, own.data_centre)
        owners.on_failure(owner)
        assert owner not in owners.candidates("portal")
        self.clock.now = BACKOFF_S
        assert owners.candidates("portal")[0] == owner

    # Three hand-offs that failed in the same stall used to exclude their owner for 6 s.
    def test_simultaneous_failures_count_once_and_an_answer_ends_backoff(self):
        owner = ranked(self.members, "portal", lambda m: m.id)[0]
        own = next(m for m in self.members if m.data_centre != owner.data_centre)
        owners = self.owners(own.id, own.data_centre)
        for _ in range(3):
            owners.on_failure(owner)
        self.clock.now = BACKOFF_S
        assert owners.candidates("portal")[0] == owner
        owners.on_failure(owner)
        owners.on_answer(owner)
        assert owners.candidates("portal")[0] == owner

    def test_in_a_partition_nodes_agree_on_a_local_owner(self):
        found = set()
        for own in ("n0", "n1"):
            owners = self.owners(own, "a")
            for other in self.members[2:]:
                owners.on_failure(other)
            first = owners.candidates("portal")[0]
            found.add(own if first is None else first.id)
        assert len(found) == 1 and found <= {"n0", "n1"}


class TestEvents:
    def test_only_complete_events_are_forwarded(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert splitter.partial
        assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
        assert splitter.last_id == "2"

    def test_a_second_attempt_repeats_no_event(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        splitter.restart()
        assert splitter.feed(b"id: 1\ndata: a\n\n") == b""
        assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"

    @pytest.mark.parametrize("size", [1, 2, 3, 7])
    def test_the_result_does_not_depend_on_how_bytes_are_split(self, size):
        stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
        splitter = EventSplitter()
        parts = [stream[n : n + size] for n in range(0, len(stream), size)]
        assert b"".join(splitter.feed(part) for part in parts) == stream
