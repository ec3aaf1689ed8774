"""The queue before a service that runs stages, under the loads of the sheets."""

import asyncio
import time

import pytest

from eelgrass_coordination import StallAwareTimeout
from eelgrass_coordination.ids import BackendId
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.batch_items import ItemFailure, ItemOutcome
from eelgrass_node.process.batch_queue import LATE_BACKLOG_S
from support.batching import LARGE, LIMITS, Service, items, now, server
from support.simulated_time import run_in_simulated_time


def all_of(failure, given):
    return [ItemOutcome(failure=failure)] * len(given)


class TestBatching:
    async def test_calls_fill_while_servers_are_busy(self):
        """24 pieces in calls of one would take 24 calls; here they take 7."""
        service = Service(server("s1"))
        runs = [service.queue.run(items(f"r{n}")) for n in range(24)]
        results = await asyncio.gather(*runs)
        assert all(outcome.handle for [outcome] in results)
        assert len(service.calls) <= 8

    # In simulated time: a busy machine adds half a call to one of 15 ms.
    def test_an_idle_server_takes_a_piece_at_once(self):
        async def took_s():
            service = Service(server("s1"), server("s2"))
            began = now()
            await asyncio.gather(
                service.queue.run(items("a")), service.queue.run(items("b"))
            )
            return now() - began

        assert run_in_simulated_time(took_s()) < 1.9 * LIMITS.call_s

    async def test_urgent_pieces_go_first(self):
        service = Service(server("s1"))
        runs = [asyncio.create_task(service.queue.run(items("busy", 4)))]
        await asyncio.sleep(0.001)
        for name, priority in (("low", 2), ("high", 0)):
            run = service.queue.run(items(name, 4, priority=priority))
            runs.append(asyncio.create_task(run))
        await asyncio.gather(*runs)
        assert [call[1][0].request_id for call in service.calls][1] == "high"

    async def test_late_pieces_get_what_the_others_leave(self):
        service = Service(server("s1"))
        runs = [asyncio.create_task(service.queue.run(items("busy", 4)))]
        await asyncio.sleep(0.001)
        for name, in_s in (("late", 0.001), ("timely", 1.0)):
            run = service.queue.run(items(name, 4, in_s=in_s))
            runs.append(asyncio.create_task(run))
        await asyncio.gather(*runs)
        assert [call[1][0].request_id for call in service.calls][1] == "timely"

    async def test_of_sets_due_together_the_small_one_goes_first(self):
        service = Service(server("s1"))
        runs = [asyncio.create_task(service.queue.run(items("busy", 4)))]
        await asyncio.sleep(0.001)
        for name, count in (("large", 8), ("small", 2)):
            run = service.queue.run(items(name, count))
            runs.append(asyncio.create_task(run))
        await asyncio.gather(*runs)
        assert service.calls[1][1][0].request_id == "small"


class TestResultMemory:
    async def test_sets_that_have_begun_are_completed_first(self):
        """A set of six in a burst: its rest must not wait behind fresh sets,
        since its first four results take up memory until it is complete."""
        service = Service(server("s1"))
        big = asyncio.create_task(service.queue.run(items("big", 6, size=LARGE)))
        await asyncio.sleep(0.001)
        fresh = [
            asyncio.create_task(service.queue.run(items(f"f{n}", 2, in_s=0.5)))
            for n in range(4)
        ]
        await asyncio.gather(big, *fresh)
        assert [call[1][0].request_id for call in service.calls][1] == "big"

    async def test_no_more_is_begun_than_a_server_can_hold(self):
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


class TestPace:
    # A server was taken for slow, and callers refused, after a stall of the queue.
    async def test_a_stall_of_this_process_does_not_make_a_server_slow(self):
        async def stall(backend, given):
            async with StallAwareTimeout(5.0):
                asyncio.get_running_loop().call_soon(time.sleep, 0.5)
                await asyncio.sleep(LIMITS.call_s)
            return [ItemOutcome(handle=f"{p.number}@a") for p in given]

        service = Service(server("s1"), behave=stall)
        await service.queue.run(items("r", 3))
        use = service.queue.use_by_id(now())["s1"]
        # Half a second would make it ten times as slow; a tick of it may count.
        assert use["slowness"] < 3


class TestFailures:
    async def test_a_piece_that_fails_does_not_put_its_server_in_doubt(self):
        """One failure in five hundred took a third of the servers away."""

        async def fail_first(backend, given):
            outcomes = [ItemOutcome(handle=f"{p.number}@a") for p in given]
            if len(service.calls) == 1:
                outcomes[0] = ItemOutcome(failure=ItemFailure.FAILED)
            return outcomes

        service = Service(server("s1"), behave=fail_first)
        outcomes = await service.queue.run(items("r", 3))
        assert all(outcome.handle for outcome in outcomes)
        assert service.servers[0].suspect_until <= now()

    async def test_a_call_that_fails_is_made_elsewhere(self):
        async def fail_s1(backend, given):
            if backend.entry.id == "s1":
                return all_of(ItemFailure.UNREACHABLE, given)
            return None

        service = Service(server("s1"), server("s2"), behave=fail_s1)
        runs = [service.queue.run(items(f"r{n}")) for n in range(8)]
        results = await asyncio.gather(*runs)
        assert all(outcome.handle for [outcome] in results)
        assert [call[0] for call in service.calls].count("s1") == 1

    async def test_nothing_is_repeated_without_budget(self):
        async def fail(backend, given):
            return all_of(ItemFailure.FAILED, given)

        service = Service(server("s1"), behave=fail, may_retry=False)
        [outcome] = await service.queue.run(items("r"))
        assert outcome.failure is ItemFailure.FAILED
        assert len(service.calls) == 1

    async def test_inputs_beyond_a_cut_are_gone_at_once(self):
        service = Service(server("s1"))
        for name in ("x", "y"):
            service.reach.record_timeout("b", name)
        [outcome] = await service.queue.run(items("r", inputs=("h@b",)))
        assert outcome.failure is ItemFailure.INPUT_GONE
        assert service.calls == []

    async def test_a_cancelled_caller_takes_its_waiting_pieces_along(self):
        service = Service(server("s1"))
        busy = asyncio.create_task(service.queue.run(items("busy", 4)))
        await asyncio.sleep(0.001)
        gone = asyncio.create_task(service.queue.run(items("gone", 2)))
        await asyncio.sleep(0.001)
        gone.cancel()
        await busy
        await asyncio.sleep(0.05)
        assert {p.request_id for _, given in service.calls for p in given} == {"busy"}

    # Sets that were given up half made held their servers' memory for seconds.
    async def test_the_half_of_a_set_that_is_made_is_freed_with_its_caller(self):
        service = Service(server("s1"))
        run = asyncio.create_task(service.queue.run(items("half", 6)))
        while len(service.calls) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        run.cancel()
        await asyncio.sleep(0.05)
        assert sorted(service.freed) == [f"half/{n}@a" for n in range(6)]

    async def test_results_that_nobody_waits_for_are_freed(self):
        """Else they take up a server's memory until they expire."""
        service = Service(server("s1"))
        gone = asyncio.create_task(service.queue.run(items("gone", 2, size=LARGE)))
        await asyncio.sleep(0.005)
        gone.cancel()
        await asyncio.sleep(0.1)
        assert service.freed == ["gone/0@a", "gone/1@a"]


class TestRefusals:
    async def test_what_cannot_be_done_in_time_is_refused_at_once(self):
        service = Service(server("s1"))
        waiting = asyncio.create_task(service.queue.run(items("w", 40)))
        await asyncio.sleep(0.001)
        began = now()
        [outcome] = await service.queue.run(items("r", deadline_s=0.02, in_s=0.02))
        assert outcome.failure is ItemFailure.OVERLOADED
        assert outcome.retry_after_s > 0
        assert now() - began < 0.01
        await waiting

    async def test_beyond_a_backlog_of_late_ones_more_are_refused(self):
        service = Service(server("s1"))
        full_call_s = LIMITS.call_s + LIMITS.item_s * LIMITS.batch
        backlog = int(LATE_BACKLOG_S / full_call_s + 3) * LIMITS.batch
        late = items("late", backlog, in_s=0.001, deadline_s=30.0)
        waiting = asyncio.create_task(service.queue.run(late))
        await asyncio.sleep(0.01)
        [refused] = await service.queue.run(items("r", in_s=0.001, deadline_s=30.0))
        assert refused.failure is ItemFailure.OVERLOADED
        waiting.cancel()


class TestNearness:
    @pytest.mark.parametrize("place", ["a", "b"])
    async def test_a_piece_runs_where_its_result_is_fetched(self, place):
        service = Service(server("s1", "a"), server("s2", "b"))
        await service.queue.run(items("r", preferred_data_centre=place, size=LARGE))
        used = {"a": "s1", "b": "s2"}[place]
        assert [call[0] for call in service.calls] == [used]

    @pytest.mark.parametrize("in_s", [0.03, 0.0])
    async def test_also_where_it_has_no_time_to_wait(self, in_s):
        """The near server is idle, so that nothing has to wait.

        Before, whichever idle server came first took a piece without time left,
        and 2 to 4 GB of results went between data centres on a day.
        """
        service = Service(server("s1", "a"), server("s2", "b"))
        runs = [
            service.queue.run(items(n, preferred_data_centre=n, in_s=in_s))
            for n in "bab"
        ]
        await asyncio.gather(*runs)
        places = {
            p.preferred_data_centre: name
            for name, given in service.calls
            for p in given
        }
        assert places == {"a": "s1", "b": "s2"}

    async def test_it_waits_for_a_busy_near_server_as_far_as_it_has_time(self):
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

    async def test_an_idle_near_server_without_room_is_not_waited_for(self):
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
    async def test_it_gets_only_what_the_others_could_not_do_sooner(self):
        """srv_slow makes one of three servers four to eight times as slow."""

        async def slow_s1(backend, given):
            if backend.entry.id == "s1":
                await asyncio.sleep(0.08)
            return

        service = Service(server("s1"), server("s2"), behave=slow_s1)
        for n in range(12):
            await service.queue.run(items(f"r{n}", 2))
        assert [call[0] for call in service.calls].count("s1") <= 2
