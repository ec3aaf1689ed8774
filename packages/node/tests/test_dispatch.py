"""Tests for the request queue of a service: order, waiting and load shedding."""

import asyncio

import pytest

from eelgrass_node.exceptions import Refused
from eelgrass_node.process.backends import Backends, HostEntry
from eelgrass_node.process.dispatch import ServiceQueue
from eelgrass_node.process.policy import (
    Choice,
    Order,
    choice_function,
    order_function,
)
from eelgrass_node.request.model import CallerRequest
from eelgrass_node.request.reasons import RefusalReason
from eelgrass_node.version import Pipeline


def entry(server_id, number=0, limit=1, version=""):
    address = f"127.0.0.1:{number}"
    return HostEntry(server_id, "desk", address, "x", limit, version=version)


def new_queue(*ids, limit=1, sheds=True, order=Order.PRIORITY_DEADLINE):
    backends = Backends()
    backends.update([entry(i, n, limit) for n, i in enumerate(ids)])
    choose = choice_function(Choice.LEAST_OF_TWO, seed=1)
    queue = ServiceQueue("desk", backends, choose, order_function(order), sheds)
    queue.service_time_s.record(0.1)
    return queue


def new_request(priority=0, deadline_s=1.0):
    loop = asyncio.get_running_loop()
    pipeline = Pipeline("p", "account", "", (), 1000, priority, False)
    return CallerRequest(
        "r", pipeline, "in", loop.time() + deadline_s, 1000, False, None, ""
    )


def acquire(queue, tried=(), version=None, **options):
    request = new_request(**options)
    return asyncio.create_task(
        queue.acquire(request, frozenset(tried), request.deadline, version)
    )


class TestOrder:
    async def test_priority_goes_before_deadline(self):
        queue = new_queue("a")
        held = await acquire(queue)
        late = acquire(queue, priority=0, deadline_s=0.5)
        high = acquire(queue, priority=5, deadline_s=0.9)
        early = acquire(queue, priority=0, deadline_s=0.4)
        await asyncio.sleep(0)
        for task in (high, early, late):
            queue.release(held)
            await asyncio.sleep(0)
            assert task.done()

    async def test_a_slot_granted_to_a_cancelled_waiter_is_not_lost(self):
        queue = new_queue("a", sheds=False)
        held = await acquire(queue)
        waiting = acquire(queue)
        await asyncio.sleep(0)
        queue._waiters[0].granted.cancel()
        queue.release(held)
        with pytest.raises(asyncio.CancelledError):
            await waiting
        again = await acquire(queue)
        assert again.in_flight == 1


class TestShedding:
    async def test_infeasible_waiters_are_refused_at_once(self):
        queue = new_queue("a")
        await acquire(queue)
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = [acquire(queue, deadline_s=0.55) for _ in range(20)]
        done, waiting = await asyncio.wait(tasks, timeout=0.1)
        assert 14 <= len(done) <= 16
        assert all(isinstance(task.exception(), TimeoutError) for task in done)
        assert loop.time() - began < 0.3
        for task in waiting:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_the_baseline_does_not_shed(self):
        queue = new_queue("a", sheds=False)
        await acquire(queue)
        tasks = [acquire(queue, deadline_s=0.3) for _ in range(20)]
        done, _ = await asyncio.wait(tasks, timeout=0.1)
        assert not done
        await asyncio.gather(*tasks, return_exceptions=True)


class TestServers:
    async def test_a_waiter_waits_for_a_healthy_server_although_a_failed_one_is_free(
        self,
    ):
        queue = new_queue("sound", "failed")
        queue._backends.by_id["failed"].suspect()
        held = await acquire(queue)
        assert held.entry.id == "sound"
        waiting = acquire(queue, tried=["failed"])
        await asyncio.sleep(0)
        assert not waiting.done()
        queue.release(held)
        assert (await waiting).entry.id == "sound"

    async def test_a_failed_server_is_used_where_there_is_no_other(self):
        queue = new_queue("failed")
        queue._backends.by_id["failed"].suspect()
        assert (await acquire(queue, tried=["failed"])).entry.id == "failed"

    async def test_a_full_server_gets_no_calls_during_its_backoff(self):
        queue = new_queue("a", limit=8)
        held = await acquire(queue)
        queue.on_refused_as_full(held)
        queue.release(held)
        began = asyncio.get_running_loop().time()
        assert (await acquire(queue)).entry.id == "a"
        assert asyncio.get_running_loop().time() - began >= 0.004
        assert int(held.window) == 1
        for _ in range(100):
            held.record_success()
        assert int(held.window) == 8


class TestSoftwareVersions:
    def queue(self):
        queue = new_queue()
        v1, v2 = entry("a", 1, version="v1"), entry("b", 2, version="v2")
        queue._backends.on_change = lambda _: queue.servers_changed()
        queue._backends.update([v1, v2])
        return queue, v1, v2

    async def test_only_servers_of_the_version_are_granted(self):
        queue, _, _ = self.queue()
        held = await acquire(queue, version="v2")
        assert held.entry.id == "b"
        waiting = acquire(queue, version="v2")
        await asyncio.sleep(0)
        assert not waiting.done()
        queue.release(held)
        assert (await waiting).entry.id == "b"

    # Guards against a waiter for one version that holds up all others.
    async def test_a_waiter_for_a_version_does_not_hold_up_others(self):
        queue, _, _ = self.queue()
        await acquire(queue, version="v2")
        waiting = acquire(queue, version="v2", priority=0)
        await asyncio.sleep(0)
        assert (await acquire(queue, priority=5)).entry.id == "a"
        assert not waiting.done()
        waiting.cancel()

    async def test_it_is_refused_at_once_if_the_version_has_no_server_left(self):
        queue, v1, _ = self.queue()
        await acquire(queue, version="v2")
        waiting = acquire(queue, version="v2")
        await asyncio.sleep(0)
        queue._backends.update([v1])
        for refused in (waiting, acquire(queue, version="v2")):
            with pytest.raises(Refused) as raised:
                await refused
            assert raised.value.reason is RefusalReason.NO_BACKEND
