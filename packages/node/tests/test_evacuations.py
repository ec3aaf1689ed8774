"""Tests for a node's view of evacuated data centres, from the store and gossip."""

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


class NodeState:
    """Evacuations of one node, with the state of its store table set by the test."""

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
        self.evacuations.on_begin = lambda dc: self.seen.append((dc, True))
        self.evacuations.on_end = lambda dc: self.seen.append((dc, False))

    def read(self, version, value=b"{}", data_centre=NORTH):
        self.complete_to = max(self.complete_to, version)
        self.evacuations.apply_rows([StoredRow(PREFIX + data_centre, version, value)])

    def is_evacuated(self, data_centre=NORTH):
        return self.evacuations.is_evacuated(data_centre)


@pytest.fixture
async def node():
    return NodeState()


class TestReadRows:
    async def test_a_row_begins_an_evacuation_and_its_removal_ends_it(self, node):
        node.read(5)
        assert node.is_evacuated()
        node.read(7, value=None)
        assert node.seen == [(NORTH, True), (NORTH, False)]

    # Guards against stale rows that end an evacuation, or begin it again.
    async def test_an_older_row_changes_nothing(self, node):
        node.read(7)
        node.read(5, value=None)
        assert node.is_evacuated()
        node.read(9, value=None)
        node.read(7)
        assert not node.is_evacuated()

    async def test_the_same_row_twice_is_one_evacuation(self, node):
        node.read(5)
        node.read(5)
        assert node.seen == [(NORTH, True)]

    # Guards against an end that is missed because the store dropped its history.
    async def test_a_full_read_without_the_row_ends_it(self, node):
        node.read(5)
        node.read(6, data_centre=SOUTH)
        node.complete_to = 9
        node.evacuations.apply_snapshot({"config", PREFIX + SOUTH})
        assert not node.is_evacuated()
        assert node.is_evacuated(SOUTH)

    async def test_rows_of_other_kinds_are_ignored(self, node):
        rows = [StoredRow(key, 5, b"{}") for key in ("config", PREFIX, "evacuated/x")]
        node.evacuations.apply_rows(rows)
        assert not node.evacuations.since_by_data_centre

    # Guards against an undecodable value that disables the operator's evacuation.
    async def test_a_row_with_an_invalid_value_evacuates(self, node):
        node.read(5, value=b"\xff not json")
        assert node.is_evacuated()


class TestGossip:
    async def test_gossip_applies_before_the_store_confirms_it(self, node):
        node.evacuations.apply_gossip(NORTH, 5, True)
        assert node.is_evacuated()

    async def test_it_applies_for_as_long_as_the_store_is_unreachable(self, node):
        node.reachable = False
        node.evacuations.apply_gossip(NORTH, 5, True)
        node.clock.now += 100 * GOSSIP_VALID_S
        node.evacuations.apply_snapshot(set())
        assert node.is_evacuated()

    # Guards against a faulty node that evacuates a data centre forever.
    def test_it_expires_if_the_store_does_not_confirm_it(self):
        async def main():
            loop = asyncio.get_running_loop()
            node = NodeState()
            node.evacuations._clock = loop.time
            node.evacuations.apply_gossip(NORTH, 10**12, True)
            assert node.is_evacuated()
            await asyncio.sleep(GOSSIP_VALID_S + 0.1)
            assert not node.is_evacuated()

        run_in_simulated_time(main())

    async def test_a_newer_row_overrides_it(self, node):
        node.evacuations.apply_gossip(NORTH, 5, True)
        node.read(6, value=None)
        assert not node.is_evacuated()

    async def test_older_gossip_changes_nothing(self, node):
        node.read(8)
        node.evacuations.apply_gossip(NORTH, 6, False)
        assert node.is_evacuated()

    async def test_invalid_gossip_items_are_ignored(self, node):
        receiver = EvacuationGossip(node.evacuations, lambda item: None)
        receiver.receive(GossipItem("evacuation", "", 5))
        receiver.receive(GossipItem("evacuation", NORTH, -3))
        receiver.receive(GossipItem("failing", NORTH, 11))
        assert not node.evacuations.since_by_data_centre

    async def test_a_node_applies_what_another_announces(self, node):
        items = []
        sender = EvacuationGossip(node.evacuations, items.append)
        other = NodeState()
        receiver = EvacuationGossip(other.evacuations, items.append)
        sender.announce(NORTH, 5, True)
        receiver.receive(items[-1])
        assert other.is_evacuated()
        sender.announce(NORTH, 6, False)
        receiver.receive(items[-1])
        assert not other.is_evacuated()


class TestAnyOrder:
    # Guards against updates that are lost, late, duplicated or out of order.
    @pytest.mark.parametrize("seed", range(40))
    async def test_the_newest_version_applies(self, node, seed):
        draw = random.Random(seed)
        states = [(version, draw.random() < 0.5) for version in range(1, 12)]
        updates = draw.choices(states, k=30)
        for version, is_evacuated in updates:
            if draw.random() < 0.5:
                node.evacuations.apply_gossip(NORTH, version, is_evacuated)
            else:
                node.read(version, value=b"{}" if is_evacuated else None)
        newest = max(version for version, _ in updates)
        assert node.is_evacuated() == dict(states)[newest]


def listed(name, data_centre):
    return HostEntry(
        BackendId(name), "readers", f"{name}:1", DataCentre(data_centre), 8
    )


class TestServersOfTheDataCentre:
    async def new_manager(self):
        backends = Backends()
        backends.update([listed("n1", "north"), listed("s1", "south")])
        manager = EvacuationManager(
            backends,
            PREFIX,
            lambda: 9,
            lambda: True,
            lambda: None,
            lambda item: None,
            asyncio.get_running_loop().time,
        )
        return backends, manager

    async def test_they_get_no_new_work_until_the_evacuation_ends(self):
        backends, manager = await self.new_manager()
        manager.evacuations.apply_rows([StoredRow(PREFIX + "north", 5, b"{}")])
        assert [s.entry.id for s in backends.usable("readers")] == ["s1"]
        manager.evacuations.apply_rows([StoredRow(PREFIX + "north", 6, None)])
        assert len(backends.usable("readers")) == 2

    async def test_a_server_listed_during_the_evacuation_gets_no_work(self):
        backends, manager = await self.new_manager()
        manager.evacuations.apply_rows([StoredRow(PREFIX + "north", 5, b"{}")])
        backends.update([listed("n1", "north"), listed("n2", "north")])
        assert backends.usable("readers") == []

    # Guards against a burst of requests to servers that became cold meanwhile.
    async def test_they_are_treated_as_cold_when_the_evacuation_ends(self):
        backends, manager = await self.new_manager()
        manager.evacuations.apply_rows([StoredRow(PREFIX + "north", 5, b"{}")])
        manager.evacuations.apply_rows([StoredRow(PREFIX + "north", 6, None)])
        now = asyncio.get_running_loop().time()
        assert backends.by_id[BackendId("n1")].is_cold(now)
        assert not backends.by_id[BackendId("s1")].is_cold(now)
