"""What a node believes of evacuated data centres, whatever way the news takes."""

import asyncio
import random

import pytest

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.process.backends import Backends, HostEntry
from eelgrass_node.process.evacuation import (
    EvacuationGossip,
    EvacuationManager,
    Evacuations,
)
from eelgrass_node.process.evacuation.evacuations import GOSSIP_VALID_S
from eelgrass_node.process.store_tables import StoredRow
from support.clock import Clock
from support.evacuated import PREFIX
from support.simulated_time import run_in_simulated_time

NORTH = DataCentre("north")
SOUTH = DataCentre("south")


class Place:
    """Evacuations of one node, with what it knows of the store by hand."""

    def __init__(self):
        self.clock = Clock()
        self.complete_to = 0
        self.reachable = True
        self.seen = []
        self.evacuations = Evacuations(
            PREFIX,
            lambda: self.complete_to,
            lambda: self.reachable,
            lambda: self.clock.now,
        )
        self.evacuations.on_begin = lambda place: self.seen.append((place, True))
        self.evacuations.on_end = lambda place: self.seen.append((place, False))

    def read(self, version, value=b"{}", place=NORTH):
        self.complete_to = max(self.complete_to, version)
        self.evacuations.apply_rows([StoredRow(PREFIX + place, version, value)])

    def is_evacuated(self, place=NORTH):
        return self.evacuations.is_evacuated(place)


@pytest.fixture
async def place():
    return Place()


class TestReadRows:
    async def test_a_row_empties_and_its_removal_ends_it(self, place):
        place.read(5)
        assert place.is_evacuated()
        place.read(7, value=None)
        assert place.seen == [(NORTH, True), (NORTH, False)]

    # Guards against stale news that reverts an evacuation, or begins one anew.
    async def test_an_older_row_changes_nothing(self, place):
        place.read(7)
        place.read(5, value=None)
        assert place.is_evacuated()
        place.read(9, value=None)
        place.read(7)
        assert not place.is_evacuated()

    async def test_the_same_row_twice_is_one_evacuation(self, place):
        place.read(5)
        place.read(5)
        assert place.seen == [(NORTH, True)]

    # Guards against an end that is missed while the store forgets its history.
    async def test_a_whole_read_without_the_row_ends_it(self, place):
        place.read(5)
        place.read(6, place=SOUTH)
        place.complete_to = 9
        place.evacuations.apply_snapshot({"config", PREFIX + SOUTH})
        assert not place.is_evacuated()
        assert place.is_evacuated(SOUTH)

    async def test_rows_of_other_kinds_are_left_alone(self, place):
        rows = [StoredRow(key, 5, b"{}") for key in ("config", PREFIX, "evacuated/x")]
        place.evacuations.apply_rows(rows)
        assert not place.evacuations.since_by_data_centre

    # Guards against a value that nobody can read and that hides the operator's wish.
    async def test_a_value_that_cannot_be_read_empties_all_the_same(self, place):
        place.read(5, value=b"\xff not json")
        assert place.is_evacuated()


class TestToldWords:
    async def test_what_others_tell_holds_before_the_store_says_so(self, place):
        place.evacuations.apply_gossip(NORTH, 5, True)
        assert place.is_evacuated()

    async def test_it_holds_for_as_long_as_the_store_is_out_of_reach(self, place):
        place.reachable = False
        place.evacuations.apply_gossip(NORTH, 5, True)
        place.clock.now += 100 * GOSSIP_VALID_S
        place.evacuations.apply_snapshot(set())
        assert place.is_evacuated()

    # Guards against a faulty node that shuts a data centre for good.
    def test_it_lapses_where_the_store_does_not_say_so(self):
        async def main():
            loop = asyncio.get_running_loop()
            place = Place()
            place.evacuations._clock = loop.time
            place.evacuations.apply_gossip(NORTH, 10**12, True)
            assert place.is_evacuated()
            await asyncio.sleep(GOSSIP_VALID_S + 0.1)
            assert not place.is_evacuated()

        run_in_simulated_time(main())

    async def test_it_yields_to_a_newer_row(self, place):
        place.evacuations.apply_gossip(NORTH, 5, True)
        place.read(6, value=None)
        assert not place.is_evacuated()

    async def test_older_words_change_nothing(self, place):
        place.read(8)
        place.evacuations.apply_gossip(NORTH, 6, False)
        assert place.is_evacuated()

    async def test_a_mark_that_makes_no_sense_is_left_alone(self, place):
        news = EvacuationGossip(place.evacuations, lambda mark: None)
        news.receive(GossipItem("evacuation", "", 5))
        news.receive(GossipItem("evacuation", NORTH, -3))
        news.receive(GossipItem("failing", NORTH, 11))
        assert not place.evacuations.since_by_data_centre

    async def test_what_one_node_tells_another_hears(self, place):
        marks = []
        news = EvacuationGossip(place.evacuations, marks.append)
        other = Place()
        hearing = EvacuationGossip(other.evacuations, marks.append)
        news.announce(NORTH, 5, True)
        hearing.receive(marks[-1])
        assert other.is_evacuated()
        news.announce(NORTH, 6, False)
        hearing.receive(marks[-1])
        assert not other.is_evacuated()


class TestAnyOrder:
    # Guards against news that is lost, late, doubled or out of order.
    @pytest.mark.parametrize("seed", range(40))
    async def test_the_newest_version_holds(self, place, seed):
        draw = random.Random(seed)
        words = [(version, draw.random() < 0.5) for version in range(1, 12)]
        news = draw.choices(words, k=30)
        for version, is_evacuated in news:
            if draw.random() < 0.5:
                place.evacuations.apply_gossip(NORTH, version, is_evacuated)
            else:
                place.read(version, value=b"{}" if is_evacuated else None)
        newest = max(version for version, _ in news)
        assert place.is_evacuated() == dict(words)[newest]


def listed(name, data_centre):
    return HostEntry(
        BackendId(name), "readers", f"{name}:1", DataCentre(data_centre), 8
    )


class TestServersOfThePlace:
    async def places(self):
        backends = Backends()
        backends.update([listed("n1", "north"), listed("s1", "south")])
        places = EvacuationManager(
            backends,
            PREFIX,
            lambda: 9,
            lambda: True,
            lambda: None,
            lambda mark: None,
            asyncio.get_running_loop().time,
        )
        return backends, places

    async def test_they_get_no_new_work_until_it_ends(self):
        backends, places = await self.places()
        places.evacuations.apply_rows([StoredRow(PREFIX + "north", 5, b"{}")])
        assert [s.entry.id for s in backends.usable("readers")] == ["s1"]
        places.evacuations.apply_rows([StoredRow(PREFIX + "north", 6, None)])
        assert len(backends.usable("readers")) == 2

    async def test_one_that_comes_meanwhile_gets_none_either(self):
        backends, places = await self.places()
        places.evacuations.apply_rows([StoredRow(PREFIX + "north", 5, b"{}")])
        backends.update([listed("n1", "north"), listed("n2", "north")])
        assert backends.usable("readers") == []

    # Guards against a rush on servers that became cold while they were empty.
    async def test_they_are_taken_for_cold_when_it_ends(self):
        backends, places = await self.places()
        places.evacuations.apply_rows([StoredRow(PREFIX + "north", 5, b"{}")])
        places.evacuations.apply_rows([StoredRow(PREFIX + "north", 6, None)])
        now = asyncio.get_running_loop().time()
        assert backends.by_id[BackendId("n1")].is_cold(now)
        assert not backends.by_id[BackendId("s1")].is_cold(now)
