"""Tests for the paths of a node to the servers, and the choice of relays."""

import asyncio
import random

import pytest

from eelgrass_coordination import Member, MemberState
from eelgrass_coordination.ids import BackendId, DataCentre, NodeId
from eelgrass_node.process import server_paths
from eelgrass_node.process.backends import Backends, HostEntry
from eelgrass_node.process.crash_detector import Listening
from eelgrass_node.process.failure_gossip import FailureGossip
from eelgrass_node.process.relay_choice import MAX_RELAYS, UNFIT_S, RelayChoice
from eelgrass_node.process.server_paths import Path, ServerPaths
from support.entry import until


class Network:
    """A node's paths to servers, with probes whose results tests set."""

    def __init__(self, *names):
        self.backends = Backends()
        self.backends.update(
            [
                HostEntry(
                    BackendId(name),
                    f"service-{number % 2}",
                    f"{name}:1",
                    DataCentre("a"),
                )
                for number, name in enumerate(names)
            ]
        )
        self.direct = {f"{name}:1": Listening.YES for name in names}
        self.relayed = {f"{name}:1": Listening.YES for name in names}
        self.probes = []
        self.paths = ServerPaths(
            self.backends,
            self._probe,
            self._probe_relayed,
            asyncio.get_running_loop().time,
            lambda kind: None,
        )

    async def _probe(self, address, within_s):
        self.probes.append(address)
        if self.direct[address] is Listening.UNKNOWN:
            await asyncio.sleep(within_s)
        return self.direct[address]

    async def _probe_relayed(self, address):
        await asyncio.sleep(0.005)
        return self.relayed[address]

    def backend(self, name):
        return self.backends.by_id[BackendId(name)]


@pytest.fixture
async def network():
    network = Network("one", "two", "three")
    yield network
    network.paths.stop()


class TestServerPaths:
    @pytest.mark.parametrize("direct", [Listening.NO, Listening.UNKNOWN])
    async def test_a_server_that_only_relays_reach_is_relayed(self, network, direct):
        network.direct["one:1"] = direct
        assert await network.paths.check("one:1") is Listening.YES
        assert network.paths.path("one:1") is Path.RELAYED
        assert network.backend("one").is_relayed

    async def test_a_server_that_nobody_reaches_is_avoided(self, network):
        network.direct["one:1"] = network.relayed["one:1"] = Listening.UNKNOWN
        assert await network.paths.check("one:1") is Listening.UNKNOWN
        assert network.paths.path("one:1") is Path.UNREACHABLE
        now = asyncio.get_running_loop().time()
        assert network.backend("one").suspect_until > now

    # Guards against requests that are blamed for a crash because the node's own path
    # refuses connections.
    @pytest.mark.parametrize(
        ("relayed", "listening"),
        [
            (Listening.YES, Listening.YES),
            (Listening.NO, Listening.NO),
            (Listening.UNKNOWN, Listening.UNKNOWN),
            (None, Listening.NO),
        ],
    )
    async def test_a_refusal_counts_if_other_nodes_agree(
        self, network, relayed, listening
    ):
        network.direct["one:1"] = Listening.NO
        network.relayed["one:1"] = relayed
        assert await network.paths.check("one:1") is listening

    # Guards against requests that are blamed for a network failure, in which all nodes
    # are refused by all servers.
    async def test_servers_that_are_lost_together_did_not_crash(self, network):
        for address in network.direct:
            network.direct[address] = network.relayed[address] = Listening.NO
        checks = [network.paths.check(address) for address in network.direct]
        assert set(await asyncio.gather(*checks)) == {Listening.UNKNOWN}

    async def test_concurrent_signs_start_one_check(self, network):
        network.direct["one:1"] = Listening.UNKNOWN
        for _ in range(20):
            network.paths.suspect("one:1")
        await network.paths.check("one:1")
        network.paths.suspect("one:1")
        assert len(network.probes) == len(server_paths.PROBE_TIMEOUTS_S)

    async def test_a_path_that_recovers_is_used_again(self, network, monkeypatch):
        monkeypatch.setattr(server_paths, "RECOVERY_INTERVAL_S", 0.02)
        network.direct["one:1"] = Listening.NO
        await network.paths.check("one:1")
        assert network.paths.path("one:1") is Path.RELAYED
        network.direct["one:1"] = Listening.YES
        await until(lambda: network.paths.path("one:1") is Path.DIRECT)
        assert not network.backend("one").is_relayed

    async def test_other_paths_are_in_doubt_once_one_is_lost(self, network):
        network.direct["one:1"] = Listening.NO
        await network.paths.check("one:1")
        assert network.paths.is_doubted("two:1")
        network.paths.on_connected("two:1")
        assert not network.paths.is_doubted("two:1")


class TestAnnouncements:
    # Guards against hosts in reach that avoid sound servers, because a host whose own
    # path is lost announces them as failing.
    @pytest.mark.parametrize("relayed", [Listening.YES, Listening.NO])
    async def test_a_lost_path_is_not_announced_as_a_failing_server(
        self, network, relayed
    ):
        announced = []
        gossip = FailureGossip(
            network.backends, announced.append, lambda: 1, network.paths.check
        )
        network.direct["one:1"] = Listening.NO
        network.relayed["one:1"] = relayed
        gossip.announce_failure(network.backend("one"))
        await until(lambda: not gossip._checks)
        assert len(announced) == (relayed is Listening.NO)


REGIONS = {"a": "east", "b": "east", "c": "west"}


def member(name, data_centre, state=MemberState.ALIVE):
    return Member(
        NodeId(name), DataCentre(data_centre), f"{name}:1", f"{name}:2", 1, state=state
    )


class TestRelayChoice:
    def choice(self, *members):
        self.now = 0.0
        return RelayChoice(
            lambda: member("own", "a"),
            lambda: list(members),
            REGIONS,
            lambda: self.now,
            random.Random(1),
        )

    def test_connections_stay_in_the_regions_of_node_and_server(self):
        choice = self.choice(member("a1", "a"), member("b1", "b"), member("c1", "c"))
        assert {m.id for m in choice.candidates("b")} == {"a1", "b1"}
        assert {m.id for m in choice.candidates("c")} == {"a1", "b1", "c1"}

    def test_own_data_centre_comes_first_and_another_second(self):
        near = [member(f"a{n}", "a") for n in range(20)]
        choice = self.choice(*near, member("b1", "b"))
        candidates = choice.candidates("a")
        assert len(candidates) == MAX_RELAYS
        assert candidates[0].data_centre == "a" and candidates[1].id == "b1"

    def test_a_relay_that_worked_is_used_again(self):
        near = [member(f"a{n}", "a") for n in range(20)]
        choice = self.choice(*near, member("b1", "b"))
        choice.on_fit(member("b1", "b"))
        assert choice.candidates("a")[0].id == "b1"

    def test_a_relay_that_could_not_help_is_tried_last_for_a_while(self):
        choice = self.choice(member("a1", "a"), member("a2", "a"))
        choice.on_unfit(member("a1", "a"))
        assert [m.id for m in choice.candidates("a")] == ["a2", "a1"]
        choice.on_unfit(member("a2", "a"))
        self.now = UNFIT_S / 2
        choice.on_unfit(member("a2", "a"))
        self.now = UNFIT_S
        assert [m.id for m in choice.candidates("a")] == ["a1", "a2"]
