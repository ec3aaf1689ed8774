"""Tests for the quarantine of requests that crash their servers."""

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


def quarantine_with(crashed_by_request):
    """Return a quarantine and its clock, after servers crashed under some requests."""
    clock = Clock()
    quarantine = Quarantine(clock)
    for request, servers in crashed_by_request.items():
        for server in servers:
            quarantine.record_crash(request, incarnation(server))
    return quarantine, clock


class TestQuarantined:
    def test_a_request_is_quarantined_after_three_servers(self):
        quarantine, _ = quarantine_with({POISON: range(MAX_CRASHES - 1)})
        assert quarantine.is_suspect(POISON) and not quarantine.is_quarantined(POISON)
        quarantine.record_crash(POISON, incarnation(MAX_CRASHES))
        assert quarantine.is_quarantined(POISON)
        assert quarantine.remaining_s(POISON) == RETENTION_S

    def test_a_crash_that_is_reported_repeatedly_counts_once(self):
        quarantine, _ = quarantine_with({POISON: [1] * 5})
        assert not quarantine.is_quarantined(POISON)

    def test_incarnations_of_a_server_count_separately(self):
        quarantine, _ = quarantine_with({})
        for started in range(MAX_CRASHES):
            quarantine.record_crash(POISON, incarnation(1, started))
        assert quarantine.is_quarantined(POISON)

    def test_a_request_that_was_completed_is_cleared(self):
        """Three servers crashed while they ran it, but it is harmless."""
        quarantine, _ = quarantine_with({NEIGHBOUR: [1, 2]})
        assert quarantine.clear(NEIGHBOUR) == (incarnation(1), incarnation(2))
        quarantine.record_crash(NEIGHBOUR, incarnation(3))
        assert not quarantine.is_quarantined(NEIGHBOUR)

    def test_crashes_are_forgotten_after_the_retention_time(self):
        quarantine, clock = quarantine_with({POISON: [1, 2, 3]})
        clock.now = RETENTION_S - 1
        assert quarantine.is_quarantined(POISON)
        clock.now = RETENTION_S
        assert not quarantine.is_suspect(POISON)
        assert len(quarantine) == 0

    def test_a_late_report_counts_from_the_time_of_the_crash(self):
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

    def test_the_request_that_crashes_a_fourth_server_clears_the_tied_ones(self):
        quarantine, clock = quarantine_with(
            {POISON: [1, 2, 3, 4], NEIGHBOUR: [1, 2, 3]}
        )
        clock.now = TIE_RETRY_S
        assert quarantine.is_quarantined(POISON) and not quarantine.is_quarantined(
            NEIGHBOUR
        )

    def test_a_request_that_shares_two_servers_is_not_tied(self):
        quarantine, _ = quarantine_with({POISON: [1, 2, 3], NEIGHBOUR: [1, 2, 4]})
        assert quarantine.is_quarantined(POISON)


class TestSimultaneousCrashes:
    """A data centre loses power: many servers that run popular requests crash."""

    POPULAR = Fingerprint("popular")

    def crash(self, quarantine, servers, neighbours=5, without=(50, 51)):
        """Crash servers that run the popular request and other ones of their own.

        The servers ``without`` crash at the same time and did not run it.
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
    def test_a_popular_request_is_not_quarantined(self, count):
        quarantine, clock = quarantine_with({})
        self.crash(quarantine, range(count))
        assert not quarantine.is_quarantined(self.POPULAR)
        clock.now = RETENTION_S - 1
        assert not quarantine.is_quarantined(self.POPULAR)

    def test_an_earlier_crash_under_it_does_not_change_that(self):
        quarantine, clock = quarantine_with({self.POPULAR: [99]})
        clock.now = 100.0
        self.crash(quarantine, range(2))
        assert not quarantine.is_quarantined(self.POPULAR)

    # Guards against copies of a harmful request that are taken for an outage.
    def test_one_more_crash_at_another_time_quarantines_it(self):
        quarantine, clock = quarantine_with({})
        self.crash(quarantine, range(3))
        clock.now = 3.0
        self.crash(quarantine, [7])
        assert quarantine.is_quarantined(self.POPULAR)
        assert not any(quarantine.is_quarantined(r) for r in self.others(0, 5))

    # Guards against copies of a harmful request that crash servers at the same time.
    def test_it_is_quarantined_if_no_other_server_crashed(self):
        quarantine, _ = quarantine_with({})
        self.crash(quarantine, range(3), without=())
        assert quarantine.is_quarantined(self.POPULAR)

    def test_it_is_quarantined_if_it_ran_alone(self):
        quarantine, _ = quarantine_with({})
        self.crash(quarantine, range(3), neighbours=0)
        assert quarantine.is_quarantined(self.POPULAR)

    def test_successive_crashes_count_separately(self):
        quarantine, clock = quarantine_with({})
        for server in range(MAX_CRASHES):
            clock.now += 1.0
            self.crash(quarantine, [server])
        assert quarantine.is_quarantined(self.POPULAR)


class TestBounds:
    def test_a_flood_of_new_requests_does_not_evict_a_harmful_one(self, monkeypatch):
        """A caller changes its request each time, so that it is not recognized."""
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

    def test_removed_crashes_leave_nothing(self):
        quarantine, _ = quarantine_with({POISON: [1, 2]})
        for number in (1, 2, 2, 3):
            quarantine.remove_crash(POISON, incarnation(number))
        assert len(quarantine) == 0
        quarantine.record_crash(NEIGHBOUR, incarnation(1))
        quarantine.clear(NEIGHBOUR)
        assert len(quarantine) == 0


class Fleet:
    """Nodes that receive each other's gossip items at once."""

    def __init__(self, count):
        self.quarantines = [Quarantine(Clock()) for _ in range(count)]
        self.gossips = [
            CrashGossip(q, self.announce, lambda: 1) for q in self.quarantines
        ]

    def announce(self, items):
        for gossip in self.gossips:
            for item in items:
                gossip.receive(item)


class TestGossip:
    def test_all_nodes_know_the_crashes_that_each_has_seen(self):
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
    def test_invalid_gossip_items_are_ignored(self, name):
        fleet = Fleet(1)
        for kind in (CRASH_KIND, SUCCESS_KIND, "failing"):
            fleet.announce([GossipItem(kind, name, 1)])
        assert len(fleet.quarantines[0]) == 0


class TestNeighbours:
    """Engines that run many requests, all of which are lost when one crashes them."""

    ENGINES = 5
    NEIGHBOURS = 12

    def simulate(self, seed):
        """Return how many engines crashed and how many harmless requests were held."""
        draw = random.Random(seed)
        clock = Clock()
        quarantine = Quarantine(clock)
        waiting = [Fingerprint(f"proper-{number}") for number in range(self.NEIGHBOURS)]
        crashes = 0
        quarantined = set()
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
            quarantined |= {r for r in waiting if quarantine.is_quarantined(r)}
            # Requests that were served are replaced by new ones.
            waiting = [
                r
                if engine_by_request[r] == crashed_engine
                else Fingerprint(f"proper-{seed}-{crashes}-{n}")
                for n, r in enumerate(waiting)
            ]
        return crashes, len(quarantined)

    def test_few_engines_crash_and_hardly_any_harmless_request_is_held(self):
        runs = [self.simulate(seed) for seed in range(500)]
        assert max(crashes for crashes, _ in runs) <= MAX_CRASHES + 1
        assert sum(quarantined for _, quarantined in runs) <= len(runs) / 20
