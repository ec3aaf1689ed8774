"""Tests for probes that check whether a data centre is unreachable."""

import asyncio

import pytest

from eelgrass_coordination.ids import DataCentre
from eelgrass_node.process import reachability_checks
from eelgrass_node.process.reachability import FIRST_SUSPICION_S, DataCentreReachability
from eelgrass_node.process.reachability_checks import ReachabilityChecks
from support.members import member
from support.simulated_time import in_simulated_time

NODES = {"a": ("a1", "a2"), "b": ("b1", "b2", "b3"), "c": ("c1", "c2"), "d": ("d1",)}


class Network:
    """Nodes in four data centres, as seen from ``a``; those in ``cut`` are cut off."""

    def __init__(self):
        self.cut = set()
        self.probed = []
        self.members = [member(n, dc) for dc, names in NODES.items() for n in names]
        loop = asyncio.get_running_loop()
        self.reachability = DataCentreReachability(DataCentre("a"), loop.time)
        self.checks = ReachabilityChecks(
            "a", self.reachability, lambda: self.members, self.probe
        )
        self.reachability.on_timeout = self.checks.check

    def probe(self, to):
        self.probed.append(to.id)
        if to.data_centre not in self.cut:
            asyncio.get_running_loop().call_soon(self.checks.record_ack, to)

    def suspected(self):
        return {dc for dc in NODES if self.reachability.is_suspected(dc)}


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(reachability_checks, "PROBE_TIMEOUT_S", 0.02)
    monkeypatch.setattr(reachability_checks, "PROBE_INTERVAL_S", 0.03)


class TestReachChecks:
    @in_simulated_time
    async def test_one_timeout_suspects_nothing_if_nodes_answer(self):
        network = Network()
        network.reachability.record_timeout("b", "server")
        await asyncio.sleep(0.1)
        assert network.suspected() == set()
        assert len(network.probed) <= reachability_checks.MAX_PROBED

    @in_simulated_time
    async def test_one_timeout_is_enough_if_no_node_answers(self):
        """Each call that finds out for itself takes up to a second and an attempt."""
        network = Network()
        network.cut = {"b"}
        network.reachability.record_timeout("b", "server")
        await asyncio.sleep(0.03)
        assert network.suspected() == {"b"}

    @in_simulated_time
    async def test_a_node_that_is_cut_off_itself_suspects_all_others(self):
        network = Network()
        network.cut = {"b", "c", "d"}
        network.reachability.record_timeout("b", "server")
        await asyncio.sleep(0.05)
        assert network.suspected() >= {"b", "c"}

    @in_simulated_time
    async def test_the_suspicion_lasts_until_a_node_answers(self):
        """A suspicion that expired earlier caused the same timeouts again."""
        network = Network()
        network.cut = {"b"}
        network.reachability.record_timeout("b", "server")
        await asyncio.sleep(0.03)
        for _ in range(80):
            await asyncio.sleep(0.007)
            assert network.suspected() == {"b"}
        network.cut = set()
        await asyncio.sleep(0.07)
        assert network.suspected() == set()
        probed = len(network.probed)
        await asyncio.sleep(0.1)
        assert len(network.probed) == probed

    @in_simulated_time
    async def test_one_node_is_too_few_to_tell(self):
        """It may be down or suspended while the servers beside it are healthy."""
        network = Network()
        network.cut = {"d"}
        network.reachability.record_timeout("d", "server")
        await asyncio.sleep(0.1)
        assert network.suspected() == set()
        network.reachability.record_timeout("d", "another")
        assert network.suspected() == {"d"}
        assert FIRST_SUSPICION_S < 2.0

    @in_simulated_time
    async def test_servers_are_tried_again_if_the_nodes_never_answer(self, monkeypatch):
        """The nodes of a data centre may be gone for good, but its servers running."""
        monkeypatch.setattr(reachability_checks, "MAX_SUSPICION_S", 0.15)
        network = Network()
        network.cut = {"b"}
        network.reachability.record_timeout("b", "server")
        await asyncio.sleep(0.4)
        assert network.suspected() == set()

    @in_simulated_time
    async def test_the_own_data_centre_is_not_checked(self):
        network = Network()
        network.checks.check("a")
        await asyncio.sleep(0.03)
        assert network.probed == []
