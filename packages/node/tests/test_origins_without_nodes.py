"""Origins of streams that only the store knows, as all nodes that did have ended."""

import asyncio

import pytest

from eelgrass_node.process.stream_origins.durable_origins import (
    AWAY_READ_TIMEOUT_S,
    MIN_INTERVAL_S,
    READ_TIMEOUT_S,
)
from eelgrass_node.process.stream_origins.stream_origins import SETTLE_S
from support.datagram_network import run_network
from support.origin_fleet import CALLER_TIMEOUT_S, V1, OriginFleet

NODES = 4
# A write follows after the interval and its jitter.
WRITTEN_S = 2 * MIN_INTERVAL_S


def now():
    return asyncio.get_running_loop().time()


async def write_and_stop_all(fleet):
    """Let a node write the origin of a stream to the store; then kill all nodes."""
    fleet.store.is_reachable = True
    await fleet.nodes[0].origins.record("s", V1, CALLER_TIMEOUT_S)
    await asyncio.sleep(WRITTEN_S)
    for node in fleet.nodes:
        await node.stop()


async def until_read(store):
    """Wait until the store has been asked."""
    while not store.reads:  # noqa: ASYNC110
        await asyncio.sleep(0.001)


class TestAllNodesThatKnowAnOriginEnd:
    # Guards against versions that end with all nodes that know them.
    @pytest.mark.parametrize("is_planned", [False, True])
    def test_the_nodes_that_start_anew_find_it_in_the_store(self, is_planned):
        async def main():
            async with OriginFleet(NODES) as fleet:
                fleet.store.is_reachable = True
                await fleet.nodes[0].origins.record("s", V1, CALLER_TIMEOUT_S)
                if is_planned:
                    for node in fleet.nodes:
                        await node.leave()
                else:
                    await asyncio.sleep(WRITTEN_S)
                for node in fleet.nodes:
                    await node.stop()
                started = [await fleet.add(number) for number in range(NODES)]
                began = now()
                assert {await node.find("s") for node in started} == {V1}
                assert now() - began < 0.1

        run_network(main())

    # Guards against streams that are refused because the store is slow, which is taken
    # for a store that knows nothing.
    @pytest.mark.parametrize("delay_s", [0.3, 0.8])
    def test_a_slow_store_is_waited_for(self, delay_s):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await write_and_stop_all(fleet)
                started = [await fleet.add(number) for number in range(NODES)]
                await asyncio.sleep(SETTLE_S)
                fleet.store.delay_s = delay_s
                assert {await node.find("s") for node in started} == {V1}

        run_network(main())

    # Guards against streams that are refused because the store is slow, or fails for a
    # moment, though the node waits for other nodes all the while.
    @pytest.mark.parametrize(
        ("delay_s", "away_s"), [(0.6, 0.0), (1.0, 0.0), (0.004, 0.7)]
    )
    def test_they_go_on_asking_the_store_until_they_have_settled(self, delay_s, away_s):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await write_and_stop_all(fleet)
                fleet.store.delay_s = delay_s
                fleet.store.is_reachable = not away_s
                started = [await fleet.add(number) for number in range(NODES)]
                finding = asyncio.gather(*(node.find("s") for node in started))
                await asyncio.sleep(away_s)
                fleet.store.is_reachable = True
                assert set(await finding) == {V1}

        run_network(main())

    # Guards against one failed read that is taken for a store that knows nothing.
    @pytest.mark.parametrize("up_s", [0.0, SETTLE_S])
    def test_a_read_that_failed_is_made_again(self, up_s):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await write_and_stop_all(fleet)
                started = [await fleet.add(number) for number in range(NODES)]
                await asyncio.sleep(up_s)
                fleet.store.is_reachable = False
                finding = asyncio.create_task(started[0].find("s"))
                await until_read(fleet.store)
                fleet.store.is_reachable = True
                assert await finding == V1

        run_network(main())

    # Guards against a store that is away and holds the other ways up.
    @pytest.mark.parametrize(
        ("delay_s", "is_list_current", "timeout_s"),
        [
            (0.0, True, AWAY_READ_TIMEOUT_S),
            (0.0, False, AWAY_READ_TIMEOUT_S),
            (5.0, False, AWAY_READ_TIMEOUT_S),
            # It has just fallen silent.
            (5.0, True, READ_TIMEOUT_S),
        ],
    )
    def test_the_store_does_not_answer(self, delay_s, is_list_current, timeout_s):
        async def main():
            async with OriginFleet(NODES) as fleet:
                fleet.store.delay_s = delay_s
                fleet.nodes[1].is_list_current = is_list_current
                await fleet.nodes[0].origins.record("s", V1, CALLER_TIMEOUT_S)
                began = now()
                assert await fleet.nodes[1].find("s") == V1
                assert now() - began < 0.1
                await asyncio.sleep(SETTLE_S)
                began = now()
                assert await fleet.nodes[1].find("unknown") is None
                assert now() - began < timeout_s + 0.1
                assert fleet.nodes[1].counts["stream.origin-store-unavailable"] == 1

        run_network(main())

    # Guards against reads that streams cost whose origin a node knows.
    def test_the_store_is_not_asked_for_what_a_node_knows(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await fleet.nodes[0].origins.record("s", V1, CALLER_TIMEOUT_S)
                assert await fleet.nodes[1].find("s") == V1
                assert fleet.nodes[1].counts["stream.origin-store-unavailable"] == 0

        run_network(main())
