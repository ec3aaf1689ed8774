"""Tests for servers that crash if they have to refuse many requests within a second."""

import heapq
import random

import pytest
from multidict import CIMultiDict

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.platform.notices import decode_notice
from eelgrass_node.process.backends import Backends, HostEntry
from eelgrass_node.process.brittle_servers import BrittleServers

SLOTS = 6
REFUSAL_LIMIT = 5
GOSSIP_S = 0.005
CALL_S = 0.5


class Fleet:
    """Nodes that send requests to brittle servers, in simulated time.

    A server refuses a request while all of its slots are taken, and gossip takes
    ``GOSSIP_S``. ``refused_at`` holds the times of the refusals of each server.
    """

    def __init__(self, nodes, servers, seed, share_gossip=True, first_share=0.0):
        self.now = 0.0
        self.random = random.Random(seed)
        self.names = [f"s{number}" for number in range(servers)]
        self.running = dict.fromkeys(self.names, 0)
        self.refused_at = {name: [] for name in self.names}
        self.arrived = self.served = 0
        self._events = []
        self._sequence = 0
        self._share_gossip = share_gossip
        self._first_share = first_share
        self.nodes = [self._node(number, nodes) for number in range(nodes)]

    def _node(self, number, nodes):
        backends = Backends()
        backends.update(
            [
                HostEntry(BackendId(name), "desk", name, DataCentre("a"), limit=SLOTS)
                for name in self.names
            ]
        )
        for backend in backends.by_id.values():
            backend.refusal_limit = REFUSAL_LIMIT
            backend.load_at = lambda now, b=backend: (b.in_flight, 0)
            backend.reported_load_at = lambda now, b=backend: b._reported_load
        brittle = BrittleServers(
            backends,
            lambda item: self._spread(number, item),
            lambda: self.now,
            lambda: int(self.now * 1000),
            lambda: nodes,
            lambda kind: None,
            self.random.random,
        )
        return backends, brittle

    def _spread(self, sender, item):
        if not self._share_gossip:
            return True
        for number, (_, brittle) in enumerate(self.nodes):
            if number != sender:
                self.at(GOSSIP_S, lambda b=brittle: b.receive(item))
        return True

    def at(self, in_s, action):
        self._sequence += 1
        heapq.heappush(self._events, (self.now + in_s, self._sequence, action))

    def arrive(self):
        """Send one request from a random node to a server that it may use.

        Where the load balancer prefers the first node, it gets that share.
        """
        self.arrived += 1
        is_first = self.random.random() < self._first_share
        backends, brittle = (
            self.nodes[0] if is_first else self.random.choice(self.nodes)
        )
        usable = [b for b in backends.by_id.values() if brittle.accepts(b)]
        if not usable:
            return
        backend = self.random.choice(usable)
        name = backend.entry.id
        if self.running[name] >= SLOTS:
            self.refused_at[name].append(self.now)
            brittle.record_refusal(backend)
            return
        self.running[name] += 1
        backend.in_flight += 1
        # The head of the answer reports the load of the server.
        backend._reported_load = (self.running[name], 0)
        backend._in_flight_at_report = backend.in_flight
        self.at(CALL_S, lambda: self._finish(backend))

    def _finish(self, backend):
        self.running[backend.entry.id] -= 1
        backend.in_flight -= 1
        self.served += 1

    def play(self, per_s, for_s):
        end = for_s
        arrival = 0.0
        while arrival < end:
            arrival += self.random.expovariate(per_s)
            heapq.heappush(self._events, (arrival, -1, self.arrive))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def most_refused_within_a_second(self):
        counts = (
            sum(start <= at < start + 1.0 for at in times)
            for times in self.refused_at.values()
            for start in times
        )
        return max(counts, default=0)


class TestBrittleServers:
    # Guards against nodes that together have a brittle server refuse so many requests
    # that it crashes: each node alone sees only a few of the refusals.
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("nodes", [9, 100, 400])
    def test_refusals_of_all_nodes_stay_within_the_limit(self, nodes, seed):
        fleet = Fleet(nodes, servers=3, seed=seed)
        # Four times what the servers can do.
        fleet.play(per_s=4 * 3 * SLOTS / CALL_S, for_s=12.0)
        assert fleet.most_refused_within_a_second() <= REFUSAL_LIMIT
        assert fleet.served > 0

    # Guards against a node that gets most of the load, and may use no more of a server
    # than each of the nodes that get none.
    @pytest.mark.parametrize("nodes", [9, 400])
    def test_a_node_with_most_of_the_load_uses_most_of_the_servers(self, nodes):
        per_s = 0.6 * 3 * SLOTS / CALL_S
        fleet = Fleet(nodes, servers=3, seed=1, first_share=0.9)
        fleet.play(per_s, for_s=12.0)
        assert fleet.served >= 0.8 * fleet.arrived
        assert fleet.most_refused_within_a_second() <= REFUSAL_LIMIT

    def test_without_gossip_the_limit_is_exceeded(self):
        fleet = Fleet(100, servers=3, seed=1, share_gossip=False)
        fleet.play(per_s=4 * 3 * SLOTS / CALL_S, for_s=12.0)
        assert fleet.most_refused_within_a_second() > REFUSAL_LIMIT

    def test_a_server_that_is_not_brittle_is_not_closed(self):
        fleet = Fleet(1, servers=1, seed=1)
        backends, brittle = fleet.nodes[0]
        [backend] = backends.by_id.values()
        backend.refusal_limit = None
        brittle.record_refusal(backend)
        assert brittle.accepts(backend)

    def test_a_closed_server_opens_again(self):
        fleet = Fleet(1, servers=1, seed=1)
        backends, brittle = fleet.nodes[0]
        [backend] = backends.by_id.values()
        brittle.record_refusal(backend)
        assert not brittle.accepts(backend)
        fleet.now = backend.closed_until
        assert brittle.accepts(backend)


class TestHeader:
    @pytest.mark.parametrize(
        ("value", "limit"), [(None, None), ("3", 3), ("0", 0), ("many", 0)]
    )
    def test_refusal_limit_of_an_answer(self, value, limit):
        headers = CIMultiDict({} if value is None else {"server-brittle": value})
        assert decode_notice(200, headers).refusal_limit == limit
