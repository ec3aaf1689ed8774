"""Tests for the suspicion of servers that fail part of their requests."""

import asyncio
import random

import pytest

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.process import server_suspicion
from eelgrass_node.process.backends import Backends, HostEntry
from eelgrass_node.process.failure_gossip import GOSSIP_KIND, FailureGossip

FIRST_S = 0.04


def now():
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(server_suspicion, "FIRST_SUSPICION_S", FIRST_S)


def known(*names):
    backends = Backends()
    data_centre = DataCentre("a")
    backends.update(
        [
            HostEntry(BackendId(name), "readers", f"{name}:1", data_centre)
            for name in names
        ]
    )
    return backends


class TestSuspicion:
    async def test_simultaneous_failures_count_once(self):
        """Five streams lost in one crash led to a suspicion of 16 s."""
        [backend] = known("e1").by_id.values()
        for _ in range(5):
            backend.suspect()
        assert backend.suspect_until - now() <= FIRST_S

    async def test_a_call_that_began_earlier_does_not_end_a_suspicion(self):
        """An engine that fails half of its requests completes the others."""
        [backend] = known("e1").by_id.values()
        backend.suspect()
        backend.record_success(took_s=0.5)
        assert backend.suspect_until > now()
        await asyncio.sleep(0.01)
        backend.record_success(took_s=0.005)
        assert backend.suspect_until <= now()

    async def test_successes_in_between_do_not_reset_the_suspicion_time(self):
        [backend] = known("e1").by_id.values()
        suspicions_s = []
        for _ in range(4):
            backend.suspect()
            suspicions_s.append(backend.suspect_until - now())
            await asyncio.sleep(suspicions_s[-1] + 0.01)
            backend.record_success(took_s=0.001)
        assert suspicions_s[-1] > 6 * suspicions_s[0]

    async def test_a_long_time_without_failures_resets_the_suspicion_time(
        self, monkeypatch
    ):
        monkeypatch.setattr(server_suspicion, "FAILURE_RESET_S", 0.05)
        [backend] = known("e1").by_id.values()
        for _ in range(3):
            backend.suspect()
            await asyncio.sleep(0.1)
        backend.suspect()
        assert backend.suspect_until - now() <= FIRST_S


class Nodes:
    """Nodes that receive each other's gossip items at once."""

    def __init__(self, count):
        self.backends = [known("grey", "sound") for _ in range(count)]
        self.time_ms = 0
        self.gossips = [
            FailureGossip(each, self.announce, self.clock) for each in self.backends
        ]

    def clock(self):
        self.time_ms += 1
        return self.time_ms

    def announce(self, item):
        for gossip in self.gossips:
            gossip.receive(item)
        return True


class TestAnnouncements:
    async def test_a_failure_at_one_node_is_avoided_by_the_others(self):
        """A server resets 45 of 100 requests from eight nodes.

        Without announcements each node loses a request that cannot be retried.
        """
        draw = random.Random(3)
        lost = {True: 0, False: 0}
        for is_announced in lost:
            nodes = Nodes(8)
            for _ in range(200):
                at = draw.randrange(8)
                grey = nodes.backends[at].by_id["grey"]
                if grey.suspect_until <= now() and draw.random() < 0.45:
                    lost[is_announced] += 1
                    grey.suspect()
                    if is_announced:
                        nodes.gossips[at].announce_failure(grey)
                await asyncio.sleep(0.001)
        assert lost[True] <= lost[False] / 2

    async def test_failures_of_an_earlier_incarnation_are_ignored(self):
        nodes = Nodes(1)
        data_centre = DataCentre("a")
        entry = HostEntry(BackendId("grey"), "readers", "g:1", data_centre, started=500)
        nodes.backends[0].update([entry])
        grey = nodes.backends[0].by_id["grey"]
        nodes.gossips[0].receive(GossipItem(GOSSIP_KIND, "grey", 499))
        assert grey.suspect_until == 0.0
        nodes.gossips[0].receive(GossipItem(GOSSIP_KIND, "grey", 501))
        assert grey.suspect_until > now()

    async def test_items_of_other_kinds_and_unknown_servers_are_ignored(self):
        nodes = Nodes(1)
        for item in (
            GossipItem("leaving", "grey", 1),
            GossipItem(GOSSIP_KIND, "unknown", 2),
        ):
            nodes.gossips[0].receive(item)
        assert nodes.backends[0].by_id["grey"].suspect_until == 0.0
