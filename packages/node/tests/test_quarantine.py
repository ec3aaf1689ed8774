"""Requests that end their servers: told from neighbours, kept, and forgotten."""

import random

import pytest

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId
from eelgrass_node.process import quarantine as quarantine_module
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_detector import Fingerprint
from eelgrass_node.process.crash_gossip import CRASH_KIND, SUCCESS_KIND, CrashGossip
from eelgrass_node.process.quarantine import (
    MAX_CRASHES,
    RETENTION_S,
    TIE_RETRY_S,
    Quarantine,
)
from support.clock import Clock

POISON = Fingerprint("poison")
NEIGHBOUR = Fingerprint("neighbour")


def incarnation(number, started=0):
    return ServerIncarnation(BackendId(f"e{number}"), started)


def quarantine_with(ends_by_request):
    """Return a quarantine and its clock, after servers ended under some requests."""
    clock = Clock()
    quarantine = Quarantine(clock)
    for request, servers in ends_by_request.items():
        for server in servers:
            quarantine.record_crash(request, incarnation(server))
    return quarantine, clock


class TestHolds:
    def test_a_request_is_held_after_three_servers(self):
        quarantine, _ = quarantine_with({POISON: range(MAX_CRASHES - 1)})
        assert quarantine.is_suspect(POISON) and not quarantine.is_quarantined(POISON)
        quarantine.record_crash(POISON, incarnation(MAX_CRASHES))
        assert quarantine.is_quarantined(POISON)
        assert quarantine.remaining_s(POISON) == RETENTION_S

    def test_one_server_that_is_told_of_twice_counts_once(self):
        quarantine, _ = quarantine_with({POISON: [1] * 5})
        assert not quarantine.is_quarantined(POISON)

    def test_a_server_that_starts_again_under_its_id_is_another_one(self):
        quarantine, _ = quarantine_with({})
        for started in range(MAX_CRASHES):
            quarantine.record_crash(POISON, incarnation(1, started))
        assert quarantine.is_quarantined(POISON)

    def test_a_request_that_ran_to_its_end_is_cleared(self):
        """Three servers ended while it happened to run there; it is a proper one."""
        quarantine, _ = quarantine_with({NEIGHBOUR: [1, 2]})
        assert quarantine.clear(NEIGHBOUR) == (incarnation(1), incarnation(2))
        quarantine.record_crash(NEIGHBOUR, incarnation(3))
        assert not quarantine.is_quarantined(NEIGHBOUR)

    def test_what_was_noted_is_forgotten_in_time(self):
        quarantine, clock = quarantine_with({POISON: [1, 2, 3]})
        clock.now = RETENTION_S - 1
        assert quarantine.is_quarantined(POISON)
        clock.now = RETENTION_S
        assert not quarantine.is_suspect(POISON)
        assert len(quarantine) == 0

    def test_old_news_counts_from_when_it_happened(self):
        quarantine, clock = quarantine_with({})
        quarantine.record_crash(POISON, incarnation(1), age_s=RETENTION_S)
        assert not quarantine.is_suspect(POISON)
        quarantine.record_crash(POISON, incarnation(1), age_s=RETENTION_S - 1)
        clock.now = 1.0
        assert not quarantine.is_suspect(POISON)


class TestTies:
    def test_tied_requests_may_be_tried_again_for_a_short_time(self):
        quarantine, clock = quarantine_with({POISON: [1, 2, 3], NEIGHBOUR: [1, 2, 3]})
        assert not quarantine.is_quarantined(POISON) and not quarantine.is_quarantined(
            NEIGHBOUR
        )
        clock.now = TIE_RETRY_S
        assert quarantine.is_quarantined(POISON) and quarantine.is_quarantined(
            NEIGHBOUR
        )

    def test_the_one_that_ends_a_fourth_server_explains_the_others(self):
        quarantine, clock = quarantine_with(
            {POISON: [1, 2, 3, 4], NEIGHBOUR: [1, 2, 3]}
        )
        clock.now = TIE_RETRY_S
        assert quarantine.is_quarantined(POISON) and not quarantine.is_quarantined(
            NEIGHBOUR
        )

    def test_one_that_shares_two_servers_is_no_rival(self):
        quarantine, _ = quarantine_with({POISON: [1, 2, 3], NEIGHBOUR: [1, 2, 4]})
        assert quarantine.is_quarantined(POISON)


class TestServersThatEndTogether:
    """A data centre loses power: many servers end at once, popular requests on them."""

    POPULAR = Fingerprint("popular")

    def crash(self, quarantine, servers, neighbours=5, without=(50, 51)):
        """End servers under the popular request and others, each on one of them.

        The servers ``without`` end at the same moment and did not run it.
        """
        for server in servers:
            for request in [self.POPULAR, *self.others(server, neighbours)]:
                quarantine.record_crash(request, incarnation(server))
        for server in without:
            for request in self.others(server, neighbours):
                quarantine.record_crash(request, incarnation(server))

    def others(self, server, neighbours):
        return [
            Fingerprint(f"proper-{server}-{number}") for number in range(neighbours)
        ]

    # Guards against a popular request that is refused for an hour after an outage.
    @pytest.mark.parametrize("count", [3, 4, 10])
    def test_a_popular_request_is_not_held(self, count):
        quarantine, clock = quarantine_with({})
        self.crash(quarantine, range(count))
        assert not quarantine.is_quarantined(self.POPULAR)
        clock.now = RETENTION_S - 1
        assert not quarantine.is_quarantined(self.POPULAR)

    def test_nor_is_one_that_another_server_ended_under_before(self):
        quarantine, clock = quarantine_with({self.POPULAR: [99]})
        clock.now = 100.0
        self.crash(quarantine, range(2))
        assert not quarantine.is_quarantined(self.POPULAR)

    # Guards against a harmful request in copies that passes for an outage.
    def test_one_more_end_at_another_moment_holds_it(self):
        quarantine, clock = quarantine_with({})
        self.crash(quarantine, range(3))
        clock.now = 3.0
        self.crash(quarantine, [7])
        assert quarantine.is_quarantined(self.POPULAR)
        assert not any(quarantine.is_quarantined(r) for r in self.others(0, 5))

    # Guards against copies of a harmful request that end servers at one moment.
    def test_where_no_other_server_ended_it_explains_the_ends(self):
        quarantine, _ = quarantine_with({})
        self.crash(quarantine, range(3), without=())
        assert quarantine.is_quarantined(self.POPULAR)

    def test_where_it_ran_alone_it_explains_the_ends(self):
        quarantine, _ = quarantine_with({})
        self.crash(quarantine, range(3), neighbours=0)
        assert quarantine.is_quarantined(self.POPULAR)

    def test_ends_one_after_the_other_count_each(self):
        quarantine, clock = quarantine_with({})
        for server in range(MAX_CRASHES):
            clock.now += 1.0
            self.crash(quarantine, [server])
        assert quarantine.is_quarantined(self.POPULAR)


class TestBounds:
    def test_new_requests_without_end_do_not_push_out_what_does_harm(self, monkeypatch):
        """A caller changes its request each time, so as to be taken for a new one."""
        monkeypatch.setattr(quarantine_module, "MAX_REMEMBERED", 8)
        quarantine, clock = quarantine_with({POISON: [1, 2, 3]})
        for number in range(100):
            clock.now += 1.0
            quarantine.record_crash(
                Fingerprint(f"new-{number}"), incarnation(10 + number)
            )
        assert len(quarantine) == 8
        assert quarantine.is_quarantined(POISON)
        assert quarantine.is_suspect(Fingerprint("new-99"))

    def test_dropped_ends_leave_nothing(self):
        quarantine, _ = quarantine_with({POISON: [1, 2]})
        for number in (1, 2, 2, 3):
            quarantine.remove_crash(POISON, incarnation(number))
        assert len(quarantine) == 0
        quarantine.record_crash(NEIGHBOUR, incarnation(1))
        quarantine.clear(NEIGHBOUR)
        assert len(quarantine) == 0


class Fleet:
    """Nodes that hear each other's marks at once."""

    def __init__(self, count):
        self.quarantines = [Quarantine(Clock()) for _ in range(count)]
        self.gossips = [
            CrashGossip(q, self.announce, lambda: 1) for q in self.quarantines
        ]

    def announce(self, items):
        for gossip in self.gossips:
            for item in items:
                gossip.receive(item)


class TestNews:
    def test_all_nodes_know_what_each_has_seen(self):
        fleet = Fleet(4)
        for number, gossip in enumerate(fleet.gossips[:MAX_CRASHES]):
            gossip.announce_crash(
                ServerIncarnation(BackendId("an id: x/1"), number), [POISON]
            )
        assert all(
            quarantine.is_quarantined(POISON) for quarantine in fleet.quarantines
        )
        fleet.gossips[0].announce_success(POISON)
        assert not any(
            quarantine.is_suspect(POISON) for quarantine in fleet.quarantines
        )

    @pytest.mark.parametrize("name", ["", "x", "x y z", "x 1"])
    def test_marks_that_cannot_be_read_are_nothing(self, name):
        fleet = Fleet(1)
        for kind in (CRASH_KIND, SUCCESS_KIND, "failing"):
            fleet.announce([GossipItem(kind, name, 1)])
        assert len(fleet.quarantines[0]) == 0


class TestNeighbours:
    """Engines that run many requests, and lose them all when one of these ends them."""

    ENGINES = 5
    NEIGHBOURS = 12

    def simulate(self, seed):
        """Return the engines ended, and the proper requests that were held."""
        draw = random.Random(seed)
        clock = Clock()
        quarantine = Quarantine(clock)
        waiting = [Fingerprint(f"proper-{number}") for number in range(self.NEIGHBOURS)]
        crashes = 0
        refused = set()
        while crashes < 3 * MAX_CRASHES and not quarantine.is_quarantined(POISON):
            clock.now += draw.uniform(0.1, 3.0)
            engine_by_request = {
                r: draw.randrange(self.ENGINES) for r in [POISON, *waiting]
            }
            crashed_engine = engine_by_request[POISON]
            for request, engine in engine_by_request.items():
                if engine == crashed_engine:
                    quarantine.record_crash(request, incarnation(crashes))
                else:
                    quarantine.clear(request)
            crashes += 1
            refused |= {r for r in waiting if quarantine.is_quarantined(r)}
            # Those that were served leave, and others come.
            waiting = [
                r
                if engine_by_request[r] == crashed_engine
                else Fingerprint(f"proper-{seed}-{crashes}-{n}")
                for n, r in enumerate(waiting)
            ]
        return crashes, len(refused)

    def test_few_engines_end_and_hardly_a_proper_request_is_held(self):
        runs = [self.simulate(seed) for seed in range(500)]
        assert max(crashes for crashes, _ in runs) <= MAX_CRASHES + 1
        assert sum(refused for _, refused in runs) <= len(runs) / 20
