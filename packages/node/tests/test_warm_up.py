"""Tests for the rate of requests to cold servers, over all nodes."""

import asyncio
import random

import pytest
from hypothesis import given, settings, strategies as st

from eelgrass_coordination import Member, MemberState
from eelgrass_coordination.ids import BackendId, DataCentre, NodeId
from eelgrass_node.exceptions import PeerUnreachable
from eelgrass_node.process.backends import Backend, HostEntry, ServerIncarnation
from eelgrass_node.process.joined import SETTLE_S, JoinState
from eelgrass_node.process.warm_up import (
    RateLimiter,
    WarmUpAdmission,
    WarmUpBounds,
    WarmUpPermits,
    WarmUpRates,
    permitted_per_s,
)
from eelgrass_node.version.deployment import CallerLimits, Deployment, Service
from support.clock import Clock

READERS = "readers"
# A cold engine can take 9.1 requests per second and crashes well above that.
PER_S = 9.1
BOUNDS = WarmUpBounds(ratio=1.5, slack=5.0)
MAX_PER_S = 9.1 * 1.5 + 5.0
INCARNATION = ServerIncarnation(BackendId("e1"), 1)


def member(number, state=MemberState.ALIVE):
    name = f"node-{number}"
    return Member(NodeId(name), DataCentre("a"), name, name, epoch=1, state=state)


def deployment(per_s=PER_S):
    services = {READERS: Service(READERS, 10, warm_up_s=3.0, warm_up_per_s=per_s)}
    return Deployment(1, {}, services, {}, False, CallerLimits(1, 1.0))


RATES = WarmUpRates(BOUNDS, deployment)


def permits_of(number, known, clock, seeds=("seed",)):
    """Return the permits of a node that knows some members."""
    join_state = JoinState(seeds, lambda: known, clock)
    return WarmUpPermits(
        lambda: member(number), lambda: known, join_state, RATES, clock
    )


def is_cut(one, other):
    """Return whether a partition separates two nodes: the first ten from the others."""
    return (one < 10) != (other < 10)


def max_in_a_second(times):
    """Return the maximum number of times within any span of a second."""
    times = sorted(times)
    return max(
        (sum(at <= t < at + 1.0 for t in times) for at in times),
        default=0,
    )


class TestRateLimiter:
    def test_it_passes_requests_evenly(self):
        limiter = RateLimiter(per_s=4.0, now=0.0)
        passed = [t / 100 for t in range(300) if limiter.acquire(t / 100) == 0.0]
        assert max_in_a_second(passed) <= 5
        assert len(passed) == 12

    def test_it_returns_when_the_next_request_may_pass(self):
        limiter = RateLimiter(per_s=4.0, now=0.0)
        assert limiter.acquire(0.0) == 0.0
        assert limiter.acquire(0.1) == pytest.approx(0.15)

    @given(
        per_s=st.floats(0.0, 500.0),
        ratio=st.floats(0.5, 4.0),
        slack=st.floats(0.0, 50.0),
    )
    @settings(derandomize=True, database=None)
    def test_two_owners_together_keep_within_the_bound(self, per_s, ratio, slack):
        bounds = WarmUpBounds(ratio, slack)
        permitted = permitted_per_s(per_s, bounds)
        # Each passes one request more than its rate, and some arrive together.
        arriving = 2 * (permitted * 1.35 + 1) if permitted else 0.0
        assert arriving <= bounds.max_per_s(per_s) + 1e-6
        assert permitted <= per_s


class TestOwners:
    def test_one_node_of_all_issues_permits(self):
        clock = Clock()
        nodes = [
            permits_of(n, [member(m) for m in range(65) if m != n], clock)
            for n in range(65)
        ]
        clock.now += SETTLE_S
        granted = [node.issue(INCARNATION, READERS).granted for node in nodes]
        assert sum(granted) == 1

    # Guards against an owner on each side of a partition.
    def test_unreachable_members_keep_their_place(self):
        clock = Clock()
        nodes = []
        for own in range(20):
            others = [
                member(m, MemberState.DEAD if is_cut(m, own) else MemberState.ALIVE)
                for m in range(20)
                if m != own
            ]
            nodes.append(permits_of(own, others, clock))
        clock.now += SETTLE_S
        assert sum(node.issue(INCARNATION, READERS).granted for node in nodes) == 1

    def test_a_node_that_has_left_owns_nothing(self):
        clock = Clock()
        left = [member(m, MemberState.LEFT) for m in range(1, 30)]
        permits = permits_of(0, left, clock)
        clock.now += SETTLE_S
        assert permits.issue(INCARNATION, READERS).granted

    # Guards against nodes that start alone and each consider themselves the owner.
    def test_a_node_that_knows_no_other_issues_none(self):
        clock = Clock()
        permits = permits_of(0, [], clock)
        clock.now += 100.0
        assert not permits.issue(INCARNATION, READERS).granted

    def test_the_only_node_of_a_deployment_issues_permits(self):
        clock = Clock()
        permits = permits_of(0, [], clock, seeds=())
        clock.now += SETTLE_S
        assert permits.issue(INCARNATION, READERS).granted

    # Guards against a second full allowance after the owner restarts.
    def test_a_node_that_has_just_started_issues_none(self):
        clock = Clock()
        permits = permits_of(0, [], clock, seeds=())
        # A rate limiter matters for a second, and nodes discover each other in less.
        clock.now += 1.0
        assert not permits.issue(INCARNATION, READERS).granted


class Fleet:
    """Nodes that request permits from each other; member updates are lost at random."""

    def __init__(self, nodes, draw):
        self.clock = Clock()
        self.draw = draw
        self.known = [
            {m: member(m) for m in range(nodes) if m != n} for n in range(nodes)
        ]
        self.permits = [self._start(n) for n in range(nodes)]
        self.sent_at_by_incarnation = {}

    def restart(self, number):
        self.permits[number] = self._start(number)

    def _start(self, number):
        def members():
            return list(self.known[number].values())

        join_state = JoinState(("seed",), members, self.clock)
        return WarmUpPermits(
            lambda: member(number), members, join_state, RATES, self.clock
        )

    def lose_updates(self, share):
        """Mark a random share of the members dead in each node's view."""
        for known in self.known:
            for other in known:
                if self.draw.random() < share:
                    known[other] = member(other, MemberState.DEAD)

    async def send(self, number, incarnation):
        """Have a node send a request to a cold server, if it may."""
        admission = WarmUpAdmission(
            self.permits[number],
            RATES,
            self._ask,
            lambda: self.clock.now,
            lambda kind: None,
        )
        entry = HostEntry(
            incarnation.id, READERS, "s:1", DataCentre("a"), started=incarnation.started
        )
        admission.is_rate_limited = lambda server: True
        server = Backend(entry)
        if (await admission.admit(server)).granted:
            late_s = self.draw.random() * 0.3
            self.sent_at_by_incarnation.setdefault(incarnation, []).append(
                self.clock.now + late_s
            )

    async def _ask(self, owner, incarnation, service):
        if self.draw.random() < 0.1:
            raise PeerUnreachable(owner.internal, "lost")
        return self.permits[int(owner.id.removeprefix("node-"))].issue(
            incarnation, service
        )


class TestSumOverNodes:
    # Guards against a burst to a cold server from nodes that do not see each other.
    @pytest.mark.parametrize("seed", range(12))
    async def test_no_cold_server_gets_more_than_its_limit(self, seed):
        draw = random.Random(seed)
        fleet = Fleet(draw.choice([3, 9, 65]), draw)
        incarnations = [ServerIncarnation(BackendId(f"e{n}"), 1) for n in range(4)]
        fleet.clock.now += SETTLE_S
        for step in range(1200):
            fleet.clock.now += 0.005
            if step % 100 == 50:
                fleet.lose_updates(draw.random() * 0.5)
            if step % 150 == 75:
                fleet.restart(draw.randrange(len(fleet.permits)))
            for _ in range(draw.randrange(4)):
                await fleet.send(
                    draw.randrange(len(fleet.permits)), draw.choice(incarnations)
                )
        assert fleet.sent_at_by_incarnation
        for times in fleet.sent_at_by_incarnation.values():
            assert max_in_a_second(times) <= MAX_PER_S

    # Guards against an allowance divided into shares that are too small to use.
    async def test_many_nodes_together_use_most_of_the_limit(self):
        draw = random.Random(1)
        fleet = Fleet(65, draw)
        fleet.clock.now += SETTLE_S
        for _ in range(600):
            fleet.clock.now += 0.005
            await fleet.send(draw.randrange(65), INCARNATION)
        rate = len(fleet.sent_at_by_incarnation[INCARNATION]) / 3.0
        assert rate >= 0.8 * permitted_per_s(PER_S, BOUNDS)


class TestAdmission:
    def admission(self, ask_owner=None, per_s=PER_S):
        loop = asyncio.get_running_loop()
        rates = WarmUpRates(BOUNDS, lambda: deployment(per_s))
        join_state = JoinState(("seed",), lambda: [member(1)], loop.time)
        permits = WarmUpPermits(
            lambda: member(0), lambda: [member(1)], join_state, rates, loop.time
        )
        return WarmUpAdmission(permits, rates, ask_owner, loop.time, lambda kind: None)

    def server(self, warm_up_s):
        entry = HostEntry(
            BackendId("e9"), READERS, "s:1", DataCentre("a"), warm_up_s=warm_up_s
        )
        server = Backend(entry)
        server.apply_entry(entry)
        return server

    async def test_a_warm_server_needs_no_permit(self):
        assert (await self.admission().admit(self.server(0.0))).granted

    async def test_a_cold_server_without_a_limit_needs_no_permit(self):
        assert (await self.admission(per_s=0.0).admit(self.server(3.0))).granted

    # Guards against requests that are sent because the owner cannot refuse them.
    async def test_there_is_no_permit_if_the_owner_does_not_answer(self):
        async def ask_owner(owner, incarnation, service):
            raise PeerUnreachable(owner.internal, "silent")

        admission = self.admission(ask_owner)
        admission._permits._own = lambda: member(5)
        assert not (await admission.admit(self.server(3.0))).granted

    # Guards against a server that is excluded by a wrong entry.
    async def test_an_excessive_warm_up_time_is_capped(self):
        server = self.server(1e9)
        now = asyncio.get_running_loop().time()
        assert server.is_cold(now)
        assert not server.is_cold(now + 61.0)

    async def test_a_later_entry_ends_the_warm_up(self):
        server = self.server(3.0)
        server.apply_entry(HostEntry(BackendId("e9"), READERS, "s:1", DataCentre("a")))
        assert not server.is_cold(asyncio.get_running_loop().time())
