"""The search for the origin of a stream at nodes that have just started."""

import asyncio
from types import SimpleNamespace

import pytest

from eelgrass_node.exceptions import RequestRefused
from eelgrass_node.process.stream_origins.stream_origins import (
    ALL_NODES_TIMEOUT_S,
    REPLICA_TIMEOUT_S,
    SETTLE_S,
)
from eelgrass_node.request.stream_resumption import with_stream_origin
from support import datagram_network
from support.datagram_network import ONE_WAY_DELAY_S, run_network
from support.origin_fleet import (
    CALLER_TIMEOUT_S,
    SERVICE,
    UNIX_MS,
    V1,
    V2,
    OriginFleet,
)

# The time that a node takes to decide once all nodes have answered.
AT_ONCE_S = 6 * ONE_WAY_DELAY_S
NODES = 9
# For how long servers have run that were there before any stream of a test.
LONG_MS = 600_000
# Time in which the origin of a stream is written to the store.
WRITTEN_S = 2.0


def now():
    return asyncio.get_running_loop().time()


async def restart_all_but_last(fleet):
    """Restart all nodes but one at once; return them."""
    restarted = range(NODES - 1)
    for number in restarted:
        await fleet.nodes[number].stop()
    return [await fleet.add(number) for number in restarted]


class TestNodesThatHaveJustStarted:
    # Guards against a node that takes "nobody to ask" for "nobody knows".
    @pytest.mark.parametrize("number", range(NODES))
    def test_a_node_that_has_heard_of_nobody_finds_the_origin(self, number):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await fleet.nodes[3].origins.record("s", V1, CALLER_TIMEOUT_S)
                started = await fleet.restart(number)
                assert started.membership.members.reachable() == []
                assert await started.find("s") == V1
                assert now() - started.started_at < SETTLE_S

        run_network(main())

    # Guards against a search that ends with the first nodes that are heard of.
    @pytest.mark.parametrize("seed", range(3))
    def test_the_first_that_are_heard_of_have_just_started_too(self, seed):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await fleet.nodes[-1].origins.record("s", V1, CALLER_TIMEOUT_S)
                started = await restart_all_but_last(fleet)
                origins = await asyncio.gather(*(node.find("s") for node in started))
                assert set(origins) == {V1}

        run_network(main(), seed=seed)

    # Guards against answers that are dropped because a busy node reads them late.
    def test_answers_that_arrive_late_count(self, monkeypatch):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await fleet.nodes[3].origins.record("s", V1, CALLER_TIMEOUT_S)
                await asyncio.sleep(1.0)
                started = await fleet.restart(4)
                assert await started.find("s") == V1

        late_s = REPLICA_TIMEOUT_S + ALL_NODES_TIMEOUT_S
        monkeypatch.setattr(datagram_network, "ONE_WAY_DELAY_S", late_s / 2 + 0.02)
        run_network(main())

    # Guards against answers that the end of the wait delays.
    def test_the_search_ends_with_the_node_that_knows(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await fleet.nodes[3].origins.record("s", V1, CALLER_TIMEOUT_S)
                started = await fleet.restart(4)
                find = asyncio.create_task(started.find("s"))
                while not started.membership.members.reachable():  # noqa: ASYNC110
                    await asyncio.sleep(0.001)
                heard_at = now()
                assert await find == V1
                assert now() - heard_at < 0.1

        run_network(main())

    # Guards against a version that is guessed: the servers of the one that began the
    # stream were withdrawn before the node started, and all others have run for long.
    @pytest.mark.parametrize("restarted", [1, NODES - 1])
    def test_the_only_version_listed_is_not_taken_for_the_only_one(self, restarted):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await fleet.nodes[-1].origins.record("s", V2, CALLER_TIMEOUT_S)
                for number in range(restarted):
                    await fleet.nodes[number].stop()
                started = [
                    await fleet.add(number, ("v1",), UNIX_MS - LONG_MS)
                    for number in range(restarted)
                ]
                origins = await asyncio.gather(*(node.find("s") for node in started))
                assert set(origins) == {V2}

        run_network(main())

    # Guards against a version that is guessed although the store tells another one.
    @pytest.mark.parametrize("up_s", [0.0, SETTLE_S])
    def test_the_store_counts_more_than_the_only_version_listed(self, up_s):
        async def main():
            async with OriginFleet(NODES) as fleet:
                fleet.store.is_reachable = True
                await fleet.nodes[0].origins.record("s", V2, CALLER_TIMEOUT_S)
                await asyncio.sleep(WRITTEN_S)
                for node in fleet.nodes:
                    await node.stop()
                for number in range(NODES):
                    await fleet.add(number, ("v1",), UNIX_MS - LONG_MS)
                await asyncio.sleep(up_s)
                assert await fleet.nodes[0].find("s") == V2

        run_network(main())

    def test_what_nobody_knows_is_refused_once_the_node_has_settled(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                started = await fleet.restart(4)
                assert await started.find("unknown") is None
                waited_s = now() - started.started_at
                assert SETTLE_S <= waited_s < SETTLE_S + AT_ONCE_S

        run_network(main())

    def test_a_settled_node_holds_nothing_up(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await asyncio.sleep(SETTLE_S)
                asked_at = now()
                assert await fleet.nodes[0].find("unknown") is None
                # A read that failed is made again once.
                assert now() - asked_at < AT_ONCE_S + 2 * fleet.store.delay_s

        run_network(main())


def resumption(deadline_s):
    """Return a request that resumes an unknown stream, as the search sees it."""
    return SimpleNamespace(
        resumes_stream=True,
        route=SimpleNamespace(service_names=(SERVICE,)),
        incoming=SimpleNamespace(resumes="unknown"),
        caller_timeout_s=CALLER_TIMEOUT_S,
        deadline=now() + deadline_s,
    )


class TestCallersOfNodesThatHaveJustStarted:
    # Guards against refusals that arrive after their callers' deadline.
    def test_the_search_ends_with_the_deadline(self):
        async def main():
            async with OriginFleet(nodes=1) as fleet:
                started = await fleet.restart(0)
                with pytest.raises(RequestRefused):
                    await with_stream_origin(started.origins, resumption(0.3))
                assert now() - started.started_at == pytest.approx(0.3, abs=0.01)

        run_network(main())

    # Guards against searches that go on for callers who have left.
    def test_a_caller_who_leaves_ends_it(self):
        async def main():
            async with OriginFleet(nodes=1) as fleet:
                started = await fleet.restart(0)
                tasks = asyncio.all_tasks()
                search = asyncio.create_task(
                    with_stream_origin(started.origins, resumption(3.0))
                )
                await asyncio.sleep(0.2)
                search.cancel()
                await asyncio.wait({search})
                assert search.cancelled()
                assert asyncio.all_tasks() <= tasks

        run_network(main())
