"""The batch queue of a service that runs stages, under realistic loads."""

import asyncio
import time

import msgspec
import pytest

from eelgrass_coordination import StallAwareTimeout
from eelgrass_coordination.ids import BackendId
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.batch_items import ItemFailure, ItemOutcome
from eelgrass_node.process.batch_queue import LATE_BACKLOG_S
from support.batching import LARGE, LIMITS, Service, items, now, server
from support.simulated_time import run_in_simulated_time


def all_failed(failure, given):
    return [ItemOutcome(failure=failure)] * len(given)


async def bound_run(service, request):
    """Run an item that may only run in the east."""
    [item] = items(request)
    item.regions = frozenset({"east"})
    [outcome] = await service.queue.run([item])
    assert outcome.handle, outcome.failure


class TestBatching:
    async def test_calls_fill_while_servers_are_busy(self):
        """Unbatched, 24 items would take 24 calls; here they take 7."""
        service = Service(server("s1"))
        runs = [service.queue.run(items(f"r{n}")) for n in range(24)]
        results = await asyncio.gather(*runs)
        assert all(outcome.handle for [outcome] in results)
        assert len(service.calls) <= 8

    # In simulated time: on a busy machine a call of 15 ms takes half as long again.
    def test_an_idle_server_runs_an_item_at_once(self):
        async def took_s():
            service = Service(server("s1"), server("s2"))
            began = now()
            await asyncio.gather(
                service.queue.run(items("a")), service.queue.run(items("b"))
            )
            return now() - began

        assert run_in_simulated_time(took_s()) < 1.9 * LIMITS.call_s

    async def test_urgent_items_go_first(self):
        service = Service(server("s1"))
        runs = [asyncio.create_task(service.queue.run(items("busy", 4)))]
        await asyncio.sleep(0.001)
        for name, priority in (("low", 2), ("high", 0)):
            run = service.queue.run(items(name, 4, priority=priority))
            runs.append(asyncio.create_task(run))
        await asyncio.gather(*runs)
        assert [call[1][0].request_id for call in service.calls][1] == "high"

    async def test_late_items_get_the_capacity_that_is_left(self):
        service = Service(server("s1"))
        runs = [asyncio.create_task(service.queue.run(items("busy", 4)))]
        await asyncio.sleep(0.001)
        for name, in_s in (("late", 0.001), ("timely", 1.0)):
            run = service.queue.run(items(name, 4, in_s=in_s))
            runs.append(asyncio.create_task(run))
        await asyncio.gather(*runs)
        assert [call[1][0].request_id for call in service.calls][1] == "timely"

    async def test_of_sets_due_at_the_same_time_the_small_one_goes_first(self):
        service = Service(server("s1"))
        runs = [asyncio.create_task(service.queue.run(items("busy", 4)))]
        await asyncio.sleep(0.001)
        for name, count in (("large", 8), ("small", 2)):
            run = service.queue.run(items(name, count))
            runs.append(asyncio.create_task(run))
        await asyncio.gather(*runs)
        assert service.calls[1][1][0].request_id == "small"


class TestResultMemory:
    async def test_sets_that_have_started_are_completed_first(self):
        """The rest of a set of six must not wait behind new sets in a burst, because
        its first four results take up memory until the set is complete."""
        service = Service(server("s1"))
        big = asyncio.create_task(service.queue.run(items("big", 6, size=LARGE)))
        await asyncio.sleep(0.001)
        fresh = [
            asyncio.create_task(service.queue.run(items(f"f{n}", 2, in_s=0.5)))
            for n in range(4)
        ]
        await asyncio.gather(big, *fresh)
        assert [call[1][0].request_id for call in service.calls][1] == "big"

    async def test_a_set_waits_until_the_server_has_memory_for_its_results(self):
        service = Service(server("s1"))
        held = []
        for n in range(2):
            run = service.queue.run(items(f"r{n}", 3, size=LARGE))
            held += [outcome.handle for outcome in await run]
        third = asyncio.create_task(service.queue.run(items("third", 3, size=LARGE)))
        await asyncio.sleep(0.1)
        assert not third.done()
        service.queue.free(ServerIncarnation(BackendId("s1")), held[:3])
        assert len(await third) == 3

    # Guards against calls that find no memory, and use up the retry budget, after an
    # answer was lost whose results still take up the server's memory.
    async def test_results_of_a_lost_answer_take_up_memory_until_they_expire(self):
        async def lose_first_answer(backend, batch):
            if len(service.calls) > 1:
                return None
            await asyncio.sleep(LIMITS.call_s + LIMITS.item_s * len(batch))
            return [ItemOutcome(failure=ItemFailure.UNREACHABLE)] * len(batch)

        service = Service(server("one"), behave=lose_first_answer)
        began = now()
        lost = asyncio.create_task(service.queue.run(items("a", 4, size=LARGE)))
        outcomes = await service.queue.run(items("b", 4, size=LARGE))
        assert all(outcome.handle for outcome in outcomes)
        assert all(outcome.handle for outcome in await lost)
        # Four results of 3 MB are lost, and three more fit into 21 MB.
        full_calls = [at for at, (_, batch) in service.timed_calls if len(batch) > 3]
        assert all(at - began >= LIMITS.result_life_s for at in full_calls[1:])

    # Guards against items that are never answered after a server of a service without
    # configured limits had no memory.
    async def test_a_server_without_a_known_limit_has_no_memory(self):
        async def refuse_first_call(backend, batch):
            if len(service.calls) > 1:
                return None
            return [ItemOutcome(failure=ItemFailure.NO_ROOM)] * len(batch)

        unlimited = msgspec.structs.replace(LIMITS, memory_bytes=float("inf"))
        service = Service(server("s1"), behave=refuse_first_call, limits=unlimited)
        async with asyncio.timeout(1.0):
            outcomes = await service.queue.run(items("r", 2))
        assert all(outcome.handle for outcome in outcomes)


class TestStalls:
    # Guards against a stall of the queue's process that is attributed to a server, so
    # that the server counts as slow and callers are refused.
    async def test_a_stall_of_this_process_does_not_make_a_server_slow(self):
        async def stall(backend, given):
            async with StallAwareTimeout(5.0):
                asyncio.get_running_loop().call_soon(time.sleep, 0.5)
                await asyncio.sleep(LIMITS.call_s)
            return [ItemOutcome(handle=f"{p.number}@a") for p in given]

        service = Service(server("s1"), behave=stall)
        await service.queue.run(items("r", 3))
        use = service.queue.use_by_id(now())["s1"]
        # The complete stall of 0.5 s would make it ten times as slow; a small part of
        # it may be counted.
        assert use["slowness"] < 3


class TestFailures:
    async def test_a_single_failed_item_does_not_make_its_server_suspect(self):
        """One failure in five hundred items made a third of the servers suspect."""

        async def fail_first(backend, given):
            outcomes = [ItemOutcome(handle=f"{p.number}@a") for p in given]
            if len(service.calls) == 1:
                outcomes[0] = ItemOutcome(failure=ItemFailure.FAILED)
            return outcomes

        service = Service(server("s1"), behave=fail_first)
        outcomes = await service.queue.run(items("r", 3))
        assert all(outcome.handle for outcome in outcomes)
        assert service.servers[0].suspect_until <= now()

    async def test_a_failed_call_is_retried_at_another_server(self):
        async def fail_s1(backend, given):
            if backend.entry.id == "s1":
                return all_failed(ItemFailure.UNREACHABLE, given)
            return None

        service = Service(server("s1"), server("s2"), behave=fail_s1)
        runs = [service.queue.run(items(f"r{n}")) for n in range(8)]
        results = await asyncio.gather(*runs)
        assert all(outcome.handle for [outcome] in results)
        assert [call[0] for call in service.calls].count("s1") == 1

    async def test_nothing_is_retried_without_retry_budget(self):
        async def fail(backend, given):
            return all_failed(ItemFailure.FAILED, given)

        service = Service(server("s1"), behave=fail, may_retry=False)
        [outcome] = await service.queue.run(items("r"))
        assert outcome.failure is ItemFailure.FAILED
        assert len(service.calls) == 1

    async def test_inputs_in_an_unreachable_data_centre_are_lost_at_once(self):
        service = Service(server("s1"))
        for name in ("x", "y"):
            service.reachability.record_timeout("b", name)
        [outcome] = await service.queue.run(items("r", inputs=("h@b",)))
        assert outcome.failure is ItemFailure.INPUT_GONE
        assert service.calls == []

    async def test_waiting_items_of_a_cancelled_caller_are_withdrawn(self):
        service = Service(server("s1"))
        busy = asyncio.create_task(service.queue.run(items("busy", 4)))
        await asyncio.sleep(0.001)
        gone = asyncio.create_task(service.queue.run(items("gone", 2)))
        await asyncio.sleep(0.001)
        gone.cancel()
        await busy
        await asyncio.sleep(0.05)
        assert {p.request_id for _, given in service.calls for p in given} == {"busy"}

    # Guards against partial sets of cancelled callers, which took up their servers'
    # memory for seconds.
    async def test_finished_results_of_a_cancelled_set_are_freed(self):
        service = Service(server("s1"))
        run = asyncio.create_task(service.queue.run(items("half", 6)))
        while len(service.calls) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        run.cancel()
        await asyncio.sleep(0.05)
        assert sorted(service.freed) == [f"half/{n}@a" for n in range(6)]

    async def test_results_of_running_calls_are_freed_after_a_cancellation(self):
        """Otherwise they take up a server's memory until they expire."""
        service = Service(server("s1"))
        gone = asyncio.create_task(service.queue.run(items("gone", 2, size=LARGE)))
        await asyncio.sleep(0.005)
        gone.cancel()
        await asyncio.sleep(0.1)
        assert service.freed == ["gone/0@a", "gone/1@a"]


class TestRefusals:
    async def test_items_that_cannot_finish_in_time_are_refused_at_once(self):
        service = Service(server("s1"))
        waiting = asyncio.create_task(service.queue.run(items("w", 40)))
        await asyncio.sleep(0.001)
        began = now()
        [outcome] = await service.queue.run(items("r", deadline_s=0.02, in_s=0.02))
        assert outcome.failure is ItemFailure.OVERLOADED
        assert outcome.retry_after_s > 0
        assert now() - began < 0.01
        await waiting

    async def test_late_items_are_refused_if_the_late_backlog_is_full(self):
        service = Service(server("s1"))
        full_call_s = LIMITS.call_s + LIMITS.item_s * LIMITS.batch
        backlog = int(LATE_BACKLOG_S / full_call_s + 3) * LIMITS.batch
        late = items("late", backlog, in_s=0.001, deadline_s=30.0)
        waiting = asyncio.create_task(service.queue.run(late))
        await asyncio.sleep(0.01)
        [refused] = await service.queue.run(items("r", in_s=0.001, deadline_s=30.0))
        assert refused.failure is ItemFailure.OVERLOADED
        waiting.cancel()


class TestPreferredDataCentre:
    @pytest.mark.parametrize("data_centre", ["a", "b"])
    async def test_an_item_runs_where_its_result_is_fetched(self, data_centre):
        service = Service(server("s1", "a"), server("s2", "b"))
        await service.queue.run(
            items("r", preferred_data_centre=data_centre, size=LARGE)
        )
        used = {"a": "s1", "b": "s2"}[data_centre]
        assert [call[0] for call in service.calls] == [used]

    @pytest.mark.parametrize("in_s", [0.03, 0.0])
    async def test_an_item_without_time_to_wait_runs_where_its_result_is_fetched(
        self, in_s
    ):
        """The preferred server is idle, so no item has to wait.

        Guards against items without time left that run on the first idle server, which
        moved 2 to 4 GB of results between data centres per day.
        """
        service = Service(server("s1", "a"), server("s2", "b"))
        runs = [
            service.queue.run(items(n, preferred_data_centre=n, in_s=in_s))
            for n in "bab"
        ]
        await asyncio.gather(*runs)
        server_by_data_centre = {
            p.preferred_data_centre: name
            for name, given in service.calls
            for p in given
        }
        assert server_by_data_centre == {"a": "s1", "b": "s2"}

    async def test_an_item_waits_for_a_busy_preferred_server_if_it_has_time(self):
        full_call_s = LIMITS.call_s + LIMITS.item_s * LIMITS.batch
        for in_s, expected in ((3.5 * full_call_s, "s2"), (1.2 * full_call_s, "s1")):
            service = Service(server("s1", "a"), server("s2", "b"))
            busy = service.queue.run(items("busy", 4, preferred_data_centre="b"))
            busy = asyncio.create_task(busy)
            await asyncio.sleep(0.001)
            await service.queue.run(items("r", preferred_data_centre="b", in_s=in_s))
            [used] = {n for n, given in service.calls if given[0].request_id == "r"}
            assert used == expected
            await busy

    async def test_an_item_does_not_wait_for_a_preferred_server_without_memory(self):
        service = Service(server("s1", "a"), server("s2", "b"))
        await service.queue.run(items("held", 4, preferred_data_centre="b", size=LARGE))
        await service.queue.run(items("more", 3, preferred_data_centre="b", size=LARGE))
        began = now()
        await service.queue.run(
            items("r", 2, preferred_data_centre="b", size=LARGE, in_s=0.03)
        )
        assert service.calls[-1][0] == "s1"
        assert now() - began < 2 * LIMITS.call_s


class TestSlowServer:
    # Guards against items that wait until it is too late for a faster server, in a
    # region in which they may not run.
    async def test_items_bound_to_a_region_do_not_wait_for_faster_servers_elsewhere(
        self,
    ):
        near, far = server("near"), server("far")
        near.entry = msgspec.structs.replace(near.entry, region="east")
        far.entry = msgspec.structs.replace(far.entry, region="west")

        async def run_slowly(backend, batch):
            if backend is near:
                await asyncio.sleep(4 * (LIMITS.call_s + LIMITS.item_s * len(batch)))

        service = Service(near, far, behave=run_slowly)
        await bound_run(service, "first")
        began = now()
        await asyncio.gather(*(bound_run(service, f"r{n}") for n in range(4)))
        assert {backend for backend, _ in service.calls} == {"near"}
        assert now() - began < 1.0

    # Guards against items that wait until it is too late for a faster server, though
    # its request limit allows it hardly any calls.
    async def test_items_do_not_wait_for_a_faster_server_without_a_permit(self):
        limited, slow = server("limited"), server("slow")
        limited.permit_wait_s = lambda: 0.9
        limited.permits_per_s = lambda: 1.0
        full_call_s = LIMITS.call_s + LIMITS.item_s * LIMITS.batch

        async def run_slowly_at_first(backend, batch):
            if batch[0].request_id == "first":
                await asyncio.sleep(20 * full_call_s)

        service = Service(limited, slow, behave=run_slowly_at_first)
        await service.queue.run(items("first"))
        began = now()
        runs = [service.queue.run(items(f"r{n}", LIMITS.batch)) for n in range(4)]
        await asyncio.gather(*runs)
        assert {backend for backend, _ in service.calls} == {"slow"}
        assert now() - began < 0.5

    async def test_a_slow_server_only_runs_items_that_others_would_finish_later(self):
        """The fault srv_slow makes one of three servers four to eight times as slow."""

        async def slow_s1(backend, given):
            if backend.entry.id == "s1":
                await asyncio.sleep(0.08)
            return

        service = Service(server("s1"), server("s2"), behave=slow_s1)
        for n in range(12):
            await service.queue.run(items(f"r{n}", 2))
        assert [call[0] for call in service.calls].count("s1") <= 2
