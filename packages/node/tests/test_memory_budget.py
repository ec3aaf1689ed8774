"""What a process holds for its peers, by the load that it answers to."""

import asyncio
from collections import Counter

import pytest

from eelgrass_node.process.memory_budget import (
    GRACE_PERIOD_S,
    LARGE_BYTES,
    SEARCH_INTERVAL_S,
    Budgets,
    MemoryBudget,
    PeerActivity,
)

CAPACITY = 20 * LARGE_BYTES
SMALL = LARGE_BYTES // 4


class Peers:
    """A budget, its clock, and the peers that hold something in it."""

    def __init__(self, capacity=CAPACITY):
        self.now = 0.0
        self.counts = Counter()
        self.budget = MemoryBudget(
            "test", capacity, lambda: self.now, lambda name: self.counts.update([name])
        )
        self.closed = []

    def reservation(self, name, amount=0, is_awaited=True):
        activity = PeerActivity(lambda: self.now, lambda: self.closed.append(name))
        activity.set_awaited(is_awaited)
        reservation = self.budget.open(activity)
        assert reservation.resize(amount)
        return reservation

    def fill(self, amount=SMALL, is_awaited=True):
        count = self.budget.capacity // amount
        return [self.reservation(n, amount, is_awaited) for n in range(count)]

    def pass_grace(self):
        self.now += GRACE_PERIOD_S + SEARCH_INTERVAL_S


class TestRoom:
    # Guards against reservations that together exceed the capacity.
    def test_no_more_than_the_capacity_is_held(self):
        peers = Peers()
        held = peers.fill()
        assert not peers.reservation("more").resize(SMALL)
        assert peers.budget.used == CAPACITY and peers.closed == []
        held[0].release()
        assert peers.reservation("more").resize(SMALL)
        assert peers.budget.peak == CAPACITY

    # Guards against bytes that are never given back, or twice.
    def test_all_of_it_is_given_back_once(self):
        peers = Peers()
        held = peers.fill()
        for reservation in held:
            assert reservation.resize(0)
            reservation.release()
            reservation.release()
            assert not reservation.resize(1)
        assert peers.budget.used == 0
        assert len(peers.fill()) == len(held)

    # Guards against one crowd of large requests that takes the room of all small ones.
    def test_large_ones_leave_room_for_small_ones(self):
        peers = Peers()
        large = [peers.reservation(n) for n in range(20)]
        served = [reservation.resize(2 * LARGE_BYTES) for reservation in large]
        assert served.count(True) == 5
        assert all(peers.reservation("small").resize(SMALL) for _ in range(40))

    # Guards against a largest legal request that is refused in calm.
    def test_a_single_large_one_may_use_all(self):
        assert Peers().reservation("only", CAPACITY).amount == CAPACITY


class TestSlowPeers:
    # Guards against peers that keep others out by stopping short of their end.
    def test_those_that_stopped_make_room(self):
        peers = Peers()
        peers.fill()
        peers.pass_grace()
        assert peers.reservation("ordinary").resize(SMALL)
        assert peers.closed == [0] or len(peers.closed) == 1
        assert peers.budget.used == CAPACITY

    # Guards against the same by peers that trickle.
    def test_those_that_trickle_go_before_a_slow_honest_one(self):
        peers = Peers()
        honest = peers.reservation("honest", SMALL)
        others = [peers.reservation(n, SMALL) for n in range(CAPACITY // SMALL - 1)]
        for _ in range(20):
            peers.now += 0.1
            honest.peer.record(SMALL // 20)
            for other in others:
                other.peer.record(1)
        for number in range(len(others)):
            assert peers.reservation(f"ordinary-{number}").resize(SMALL)
        assert "honest" not in peers.closed and len(peers.closed) == len(others)

    # Guards against requests that are cut off while a server works on them.
    def test_those_that_wait_for_this_node_stay(self):
        peers = Peers()
        peers.fill(is_awaited=False)
        peers.pass_grace()
        assert not peers.reservation("ordinary").resize(SMALL)
        assert peers.closed == []

    # Guards against a burst that closes requests which have only just begun.
    def test_those_that_have_just_begun_stay(self):
        peers = Peers()
        peers.fill()
        assert not peers.reservation("ordinary").resize(SMALL)
        assert peers.closed == []

    # Guards against peers that are closed although that does not make enough room.
    def test_none_is_closed_in_vain(self):
        peers = Peers()
        peers.reservation("stopped", SMALL)
        peers.reservation("served", CAPACITY - SMALL, is_awaited=False)
        peers.pass_grace()
        assert not peers.reservation("large").resize(2 * SMALL)
        assert peers.closed == []

    # Guards against small requests that are closed for what only large ones lack.
    def test_large_ones_give_way_to_a_large_one(self):
        peers = Peers()
        peers.reservation("small", SMALL)
        for n in range(5):
            peers.reservation(n, 2 * LARGE_BYTES)
        peers.pass_grace()
        assert peers.reservation("ordinary").resize(2 * LARGE_BYTES)
        assert len(peers.closed) == 1 and "small" not in peers.closed


class TestWaiting:
    # Guards against answers that are lost where their memory can be waited for.
    async def test_the_first_to_wait_comes_first(self):
        peers = Peers()
        held = peers.fill(is_awaited=False)
        done = []

        async def wait(name):
            await peers.reservation(name).wait_resize(SMALL)
            done.append(name)

        tasks = [asyncio.create_task(wait(name)) for name in ("first", "second")]
        await asyncio.sleep(0)
        held[0].release()
        await tasks[0]
        assert done == ["first"]
        held[1].resize(0)
        await tasks[1]
        assert peers.budget.used == CAPACITY

    # Guards against a wait that keeps the others waiting after it was cancelled.
    async def test_a_cancelled_wait_is_forgotten(self):
        peers = Peers()
        held = peers.fill(is_awaited=False)
        first = asyncio.create_task(peers.reservation("first").wait_resize(CAPACITY))
        second = asyncio.create_task(peers.reservation("second").wait_resize(SMALL))
        await asyncio.sleep(0)
        held[0].release()
        first.cancel()
        await second
        with pytest.raises(asyncio.CancelledError):
            await first

    # Guards against answers that wait for callers which do not read theirs.
    async def test_peers_that_do_not_read_make_room(self):
        peers = Peers()
        peers.fill()
        peers.pass_grace()
        await peers.reservation("answer").wait_resize(SMALL)
        assert len(peers.closed) == 1


class TestShares:
    @pytest.mark.parametrize("memory_mb", [32, 64, 128, 300, 4000])
    # Guards against shares that together exceed the machine.
    def test_they_fit_into_the_machine(self, memory_mb):
        memory = memory_mb * 1_000_000
        budgets = Budgets(memory, 1_000_000, lambda: 0.0, lambda name: None)
        by_size = (budgets.requests, budgets.answers, budgets.hosts, budgets.relays)
        shared = sum(budget.capacity for budget in by_size)
        shared += 24_576 * (budgets.callers.capacity + budgets.peers.capacity)
        assert 0.2 * (memory - 64_000_000) <= shared <= 0.9 * memory

    # Guards against connections that use up the descriptors.
    def test_connections_leave_descriptors_for_servers(self):
        budgets = Budgets(10**10, 4100, lambda: 0.0, lambda name: None)
        relayed = 2 * int(4100 * 0.25 / 2)
        callers, peers = budgets.callers.capacity, budgets.peers.capacity
        assert 2 * callers + peers + relayed // 2 <= 4100 - 200
