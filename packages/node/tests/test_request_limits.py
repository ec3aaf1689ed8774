"""Tests of request limits that servers name, without a network."""

import asyncio
import random

import pytest
from hypothesis import given, settings, strategies as st
from multidict import CIMultiDict

from eelgrass_coordination import Member, MemberState
from eelgrass_coordination.ids import BackendId, DataCentre, NodeId
from eelgrass_node.exceptions import PeerUnreachable, ServersLimited
from eelgrass_node.platform.notices import decode_notice
from eelgrass_node.process.backends import Backends, HostEntry, ServerIncarnation
from eelgrass_node.process.joined import SETTLE_S, JoinState
from eelgrass_node.process.permit_owners import PermitOwners
from eelgrass_node.process.rate_limiter import MAX_CONCURRENT_OWNERS, RateLimiter
from eelgrass_node.process.reachability import DataCentreReachability
from eelgrass_node.process.request_limits import (
    NamedLimits,
    RequestLimits,
    permit_rate,
)
from eelgrass_node.process.server_choice import ServerChoice, ServerCriteria
from eelgrass_node.process.server_notices import ServerNotice, ServerNotices
from support.simulated_time import run_in_simulated_time

SERVER = ServerIncarnation(BackendId("s1"), 5)
# The users' rule: in any window at most 1.5 times the limit and five requests.
WINDOW_S = 4.0
ASK_S = 0.003
SILENCE_S = 0.05


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def most_in_a_window(times):
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def notice(value, path="/x"):
    headers = {} if value is None else {"Server-Limit": value}
    return decode_notice(200, CIMultiDict(headers), path)


class Node:
    """The part of a node that applies what servers say, with one server listed."""

    def __init__(self, *entries):
        self.announced, self.counted = [], []
        self.backends = Backends()
        self.backends.update(list(entries) or [entry()])
        self.notices = ServerNotices(
            self.backends, self.announced.append, self.counted.append
        )

    def hear(self, value, path="/x", sent_at=None):
        self.notices.receive(SERVER, notice(value, path), sent_at)

    def per_s(self):
        limit = self.backends.limits.limit(SERVER)
        return None if limit is None else limit.per_s


def entry(name="s1", started=5, **fields):
    return HostEntry(
        BackendId(name), "desk", f"{name}:1", DataCentre("a"), started=started, **fields
    )


class TestDecoding:
    @pytest.mark.parametrize(
        ("value", "per_s"),
        [("1", 1.0), ("0", 0.0), ("2.5", 2.5), (" 0.1 ", 0.1), ("1e2", 100.0)],
    )
    def test_decimal_numbers(self, value, per_s):
        assert notice(value) == ServerNotice(limit_per_s=per_s)

    # Guards against a broken header that is taken for a limit of nothing, or for none.
    @pytest.mark.parametrize(
        "value", ["x", "-1", "nan", "inf", "", "1_0", "1e999", "1, 2", "٣"]
    )
    async def test_other_values_change_nothing(self, value):
        node = Node()
        node.hear(value)
        assert node.per_s() is None
        node.hear("3")
        node.hear(value)
        assert node.per_s() == 3.0
        assert node.counted.count("notice.malformed") == 2

    # Guards against limits that end because a report does not repeat them.
    @pytest.mark.parametrize("path", ["/-/report", "/-/stage-free"])
    async def test_other_calls_need_not_repeat_it(self, path):
        node = Node()
        node.hear("3")
        node.hear(None, path)
        assert node.per_s() == 3.0
        node.hear(None, "/-/stage-run")
        assert node.per_s() is None


class TestWhatNodesKnow:
    async def test_other_nodes_learn_of_a_limit_and_of_its_end(self):
        node, other = Node(), Node()
        for value, per_s in (("2.5", 2.5), (None, None), ("0", 0.0), ("0.1", 0.1)):
            await asyncio.sleep(1.0 if value == "0.1" else 0.0)
            node.hear(value)
            other.notices.receive_gossip(node.announced[-1])
            assert other.per_s() == pytest.approx(per_s)
        assert len(node.announced) == 4 and other.announced == []

    # Guards against the head of an earlier answer that arrives late and ends the limit.
    async def test_an_answer_to_an_earlier_request_does_not_end_it(self):
        node = Node()
        before = asyncio.get_running_loop().time()
        await asyncio.sleep(0.001)
        node.hear("1")
        node.hear(None, sent_at=before)
        assert node.per_s() == 1.0

    # Guards against a gossip item with every answer.
    async def test_a_limit_that_varies_is_told_seldom(self):
        node = Node()
        for number in range(200):
            node.hear(str(10 + number % 2))
            node.hear(str(20 + number % 7))
        assert len(node.announced) <= 2

    async def test_it_ends_with_the_incarnation(self):
        for after in (entry(started=6), entry(started=5, version="2")):
            node = Node()
            node.hear("0")
            node.backends.update([after])
            assert not node.backends.limits.is_limited(after.incarnation)

    async def test_a_copy_of_a_newer_state_wins(self):
        node, other = Node(), Node()
        node.hear("1")
        other.notices.receive_gossip(node.announced[0])
        other.hear(None)
        node.notices.receive_gossip(other.announced[0])
        node.notices.receive_gossip(node.announced[0])
        assert node.per_s() is None


class TestRates:
    # Guards against two owners that do not know of each other and together exceed what
    # a server takes, whatever its limit is.
    @given(limit=st.floats(0.0, 2000.0))
    @settings(derandomize=True, database=None)
    def test_concurrent_owners_keep_within_the_bound(self, limit):
        rate = permit_rate(limit)
        most = MAX_CONCURRENT_OWNERS * (rate.per_s * (WINDOW_S + 0.35) + rate.burst)
        assert most <= allowed(limit) + 1e-6
        assert rate.per_s >= 0.66 * limit

    def test_a_pause_saves_up_no_more_than_the_burst(self):
        limiter = RateLimiter(per_s=10.0, now=0.0, burst=2.0)
        limiter.acquire(0.0)
        passed = [t for t in range(200) if limiter.acquire(50 + t / 100) == 0.0]
        assert len(passed) == 21

    # Guards against a server that is not tried for the time that a lower limit set.
    def test_a_higher_rate_holds_at_once(self):
        limiter = RateLimiter(per_s=0.1, now=0.0)
        limiter.acquire(0.0)
        limiter.set_rate(10.0, now=1.0)
        assert limiter.acquire(1.0) == pytest.approx(0.1)


class Fleet:
    """Nodes that ask each other for permits, in simulated time.

    ``frozen`` nodes do not answer, and ``cut`` tells whether two nodes are cut off from
    each other. ``sent_at`` has when requests were sent to the server.
    """

    def __init__(self, nodes, limit, seed=0):
        self.draw = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.limit = limit
        self.frozen = set()
        self.cut = lambda one, other: False
        self.records = [self._member(n) for n in range(nodes)]
        self.limits = [self._start(n) for n in range(nodes)]
        self.sent_at = []
        self.asked = 0

    def _member(self, number):
        name = f"node-{number}"
        return Member(NodeId(name), DataCentre("a"), name, name, epoch=1)

    def _start(self, number):
        def members():
            return [m for n, m in enumerate(self.records) if n != number]

        owners = PermitOwners(
            lambda: self.records[number],
            members,
            JoinState(("seed",), members, self.clock),
        )
        named = NamedLimits()
        named.record(SERVER, self.limit, self.clock())

        async def ask(owner, request):
            self.asked += 1
            other = int(owner.id.removeprefix("node-"))
            if other in self.frozen or self.cut(number, other):
                await asyncio.sleep(SILENCE_S)
                raise PeerUnreachable(owner.internal, "silent")
            await asyncio.sleep(ASK_S)
            return self.limits[other].permits.issue(request)

        return RequestLimits(owners, named, ask, self.clock, lambda kind: None)

    def restart(self, number):
        self.limits[number] = self._start(number)

    def declare_dead(self, number):
        dead = self.records[number]
        self.records[number] = Member(
            dead.id, dead.data_centre, dead.id, dead.id, 1, state=MemberState.DEAD
        )

    async def send(self, number):
        admission = self.limits[number].admission
        if await admission.reserve(SERVER):
            # A request may have to wait for its connection.
            await asyncio.sleep(self.draw.random() * 0.2)
            if await admission.take(SERVER):
                self.sent_at.append(self.clock())

    async def load(self, per_s, for_s, nodes=None):
        nodes = nodes or range(len(self.records))
        ends_at, tasks = self.clock() + for_s, []
        while self.clock() < ends_at:
            await asyncio.sleep(self.draw.expovariate(per_s))
            number = self.draw.choice(nodes)
            if number not in self.frozen:
                tasks.append(asyncio.create_task(self.send(number)))
        await asyncio.gather(*tasks)

    def owner(self):
        owners = self.limits[0].permits._owners
        return int(owners.reachable(SERVER, 1)[0].id.removeprefix("node-"))


class TestSumOverNodes:
    # Guards against shares of a limit that are less than a request for each node, and
    # against nodes that each count for themselves.
    @pytest.mark.parametrize("limit", [0, 0.1, 1, 9, 60])
    @pytest.mark.parametrize("nodes", [3, 400])
    def test_limits_are_kept_and_used(self, nodes, limit):
        async def play():
            fleet = Fleet(nodes, limit)
            await asyncio.sleep(SETTLE_S)
            await fleet.load(per_s=20 + 5 * limit, for_s=20.0)
            assert most_in_a_window(fleet.sent_at) <= allowed(limit)
            assert len(fleet.sent_at) >= 0.6 * limit * 20.0

        run_in_simulated_time(play())

    # Guards against a server that is used twice over, or not at all, while nodes are
    # frozen, restarted, taken for dead or cut off from half of the others.
    @pytest.mark.parametrize("seed", range(12))
    def test_limits_are_kept_while_nodes_are_disturbed(self, seed):
        async def play():
            draw = random.Random(seed)
            limit = draw.choice([0.5, 2, 10])
            fleet = Fleet(draw.choice([3, 9, 65]), limit, seed)
            await asyncio.sleep(SETTLE_S)
            loading = asyncio.create_task(fleet.load(40 + 5 * limit, 30.0))
            for _ in range(6):
                await asyncio.sleep(draw.uniform(2.0, 4.0))
                number = fleet.owner()
                kind = draw.randrange(4)
                if kind == 0:
                    fleet.frozen.add(number)
                    await asyncio.sleep(draw.uniform(0.5, 4.0))
                    fleet.frozen.discard(number)
                elif kind == 1:
                    fleet.restart(number)
                elif kind == 2 and len(fleet.records) > 3:
                    fleet.declare_dead(number)
                else:
                    half = len(fleet.records) // 2
                    fleet.cut = lambda a, b, half=half: (a < half) != (b < half)
                    await asyncio.sleep(draw.uniform(0.5, 3.0))
                    fleet.cut = lambda a, b: False
            await loading
            assert most_in_a_window(fleet.sent_at) <= allowed(limit)
            assert len(fleet.sent_at) >= 0.5 * limit * 30.0

        run_in_simulated_time(play())

    # Guards against callers who wait for a node that does not answer.
    def test_a_frozen_owner_costs_little_time(self):
        async def play():
            fleet = Fleet(3, 4)
            await asyncio.sleep(SETTLE_S)
            fleet.frozen.add(fleet.owner())
            [number, _] = {0, 1, 2} - fleet.frozen
            began = fleet.clock()
            calls = [fleet.limits[number].admission.reserve(SERVER) for _ in range(20)]
            granted = await asyncio.gather(*calls)
            assert sum(granted) == 1
            assert fleet.clock() - began < 0.1
            # The others find that there is no permit, without asking for one.
            assert fleet.asked <= 2

        run_in_simulated_time(play())

    # Guards against a restart that makes the owner forget what it has issued.
    def test_a_node_that_has_just_started_issues_none(self):
        async def play():
            fleet = Fleet(3, 0.1)
            assert not await fleet.limits[0].admission.take(SERVER)

        run_in_simulated_time(play())


class TestEnd:
    # Guards against a server that gets all requests at once when one of its answers
    # does not name its limit.
    def test_the_rate_grows_for_a_moment(self):
        async def play():
            fleet = Fleet(3, 1)
            await asyncio.sleep(SETTLE_S)
            now = fleet.clock()
            for number, node in enumerate(fleet.limits):
                if number == 0:
                    ended = node.admission._limits.record(SERVER, None, now)
                else:
                    node.admission._limits.merge(SERVER, ended, "node-0")
            await fleet.load(per_s=200, for_s=0.4)
            assert len(fleet.sent_at) <= 4
            await asyncio.sleep(1.0)
            fleet.sent_at.clear()
            await fleet.load(per_s=200, for_s=1.0)
            assert len(fleet.sent_at) > 150

        run_in_simulated_time(play())


class OpenServers:
    """No server is brittle."""

    def accepts(self, server):
        return True


class TestChoice:
    def choice(self, node):
        now = asyncio.get_running_loop().time
        reachability = DataCentreReachability(DataCentre("a"), now)
        return ServerChoice(
            node.backends, DataCentre("a"), reachability, lambda: None, OpenServers()
        )

    # Guards against requests that wait for a server which takes no more for now.
    async def test_others_carry_the_rest(self):
        node = Node(entry(), entry("s2"))
        node.hear("1")
        node.backends.limits.defer(SERVER, 0.4)
        choice = self.choice(node)
        wanted = ServerCriteria("desk")
        assert choice.choose(wanted).entry.id == "s2"
        node.backends.update([entry()])
        assert choice.choose(wanted) is None
        refusal = choice.unavailable(wanted)
        assert isinstance(refusal, ServersLimited)
        assert refusal.retry_after_s == pytest.approx(0.4, abs=0.1)
        # A stream that goes on there has its permit already.
        assert choice.is_allowed(wanted, node.backends.by_id["s1"])
