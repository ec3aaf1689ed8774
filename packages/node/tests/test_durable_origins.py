"""Origins of streams in the store, which outlive all nodes that know them."""

import asyncio
from collections import Counter

import pytest

from eelgrass_coordination import Member
from eelgrass_node.process.stream_origins import (
    AbandonedRows,
    DurableOrigins,
    StreamOrigin,
    write_pace_s,
)
from eelgrass_node.process.stream_origins.abandoned_rows import (
    KEY_DIGITS,
    PART_INTERVAL_S,
)
from eelgrass_node.process.stream_origins.durable_origins import MIN_INTERVAL_S
from eelgrass_node.process.stream_origins.origin_rows import MAX_ENTRIES
from support.origin_fleet import SERVICE, V1, V2
from support.origin_rows import StoredOrigins
from support.simulated_time import run_in_simulated_time

NODES = 4
UNCERTAIN = StreamOrigin(SERVICE, None)
# A write follows after the interval and its jitter.
WRITTEN_S = 2 * MIN_INTERVAL_S
ROUND_S = (len(KEY_DIGITS) + 1) * PART_INTERVAL_S


def now():
    return asyncio.get_running_loop().time()


class Writer:
    """The durable origins of one node, with the number of versions that it lists."""

    def __init__(self, store, name="node-0/1", pace_s=0.0):
        self.versions = 2
        self.store = store
        self.counts = Counter()
        self.origins = DurableOrigins(
            name,
            store,
            lambda service, ttl_s: self.versions > 1,
            lambda: pace_s,
            now,
            lambda name: self.counts.update([name]),
        )

    async def find(self, stream):
        """Find an origin as a node does that has asked all others."""
        others = asyncio.get_running_loop().create_future()
        others.set_result(None)
        return await self.origins.find(stream, others, is_store_answering=True)

    async def __aenter__(self):
        self._task = asyncio.create_task(self.origins.run())
        return self

    async def __aexit__(self, *exc):
        self._task.cancel()
        await asyncio.wait({self._task})


class TestRows:
    # Guards against writes of the streams of services with a single version.
    def test_they_are_written_once_a_second_version_is_listed(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store) as writer:
                writer.versions = 1
                writer.origins.add("s", V1, 13.0)
                await asyncio.sleep(3.0)
                assert store.written_at == []
                writer.versions = 2
                await asyncio.sleep(WRITTEN_S)
                assert await writer.find("s") == V1

        run_in_simulated_time(main())

    def test_those_of_many_streams_are_written_together(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store) as writer:
                for number in range(MAX_ENTRIES):
                    writer.origins.add(f"s{number}", V1, 13.0)
                await asyncio.sleep(WRITTEN_S)
                assert len(store.written_at) == 1
                assert len(store.row_by_key) == store.largest == MAX_ENTRIES

        run_in_simulated_time(main())

    # Guards against versions that end with all nodes soon after their streams began.
    def test_those_of_a_node_that_was_idle_are_written_soon(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store, pace_s=write_pace_s(9, 400.0)) as writer:
                await asyncio.sleep(3.3)
                for number in range(10):
                    writer.origins.add(f"s{number}", V1, 13.0)
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                for number in range(10):
                    assert await writer.find(f"s{number}") == V1

        run_in_simulated_time(main())

    # Guards against the removal of a row whose stream goes on.
    def test_a_stream_that_goes_on_after_its_row_expired(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store) as writer:
                writer.origins.add("s", V1, 5.0)
                await asyncio.sleep(4.9)
                while len(store.written_at) < 2:  # noqa: ASYNC110
                    await asyncio.sleep(0.001)
                writer.origins.add("s", V1, 13.0)
                await asyncio.sleep(WRITTEN_S)
                assert await writer.find("s") == V1
                await asyncio.sleep(13.0 + WRITTEN_S)
                assert store.row_by_key == {}

        run_in_simulated_time(main())

    # Guards against rows that pile up in the store and in the memory of nodes.
    def test_they_are_removed_when_they_expire(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store) as writer:
                for number in range(5):
                    writer.origins.add(f"s{number}", V1, 13.0)
                await asyncio.sleep(13.0)
                assert len(store.row_by_key) == 5
                await asyncio.sleep(WRITTEN_S)
                assert len(store.row_by_key) == len(writer.origins) == 0

        run_in_simulated_time(main())

    # Guards against a node that removes the row of another one where a stream goes on.
    def test_each_node_removes_its_own(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store, "a/1") as first, Writer(store, "b/1") as second:
                first.origins.add("s", V1, 5.0)
                second.origins.add("s", V1, 13.0)
                await asyncio.sleep(10.0)
                assert len(store.row_by_key) == 1
                assert await first.find("s") == V1

        run_in_simulated_time(main())

    def test_writes_are_tried_again(self):
        async def main():
            store = StoredOrigins(is_reachable=False)
            async with Writer(store) as writer:
                writer.origins.add("s", V1, 30.0)
                await asyncio.sleep(10.0)
                assert 3 <= len(store.written_at) <= 10
                store.is_reachable = True
                await asyncio.sleep(5.0)
                assert await writer.find("s") == V1

        run_in_simulated_time(main())

    def test_streams_that_expired_unwritten_are_forgotten(self):
        async def main():
            async with Writer(StoredOrigins()) as writer:
                writer.versions = 1
                writer.origins.add("s", V1, 13.0)
                await asyncio.sleep(13.0 + WRITTEN_S)
                assert len(writer.origins) == 0

        run_in_simulated_time(main())


class TestUncertainOrigins:
    def test_an_origin_that_becomes_uncertain_is_written_at_once(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store, pace_s=10.0) as writer:
                writer.origins.add("s", UNCERTAIN, 13.0)
                await asyncio.sleep(0.1)
                assert await writer.find("s") == UNCERTAIN

        run_in_simulated_time(main())

    # Guards against a version that is guessed where two are recorded.
    @pytest.mark.parametrize("second", [V2, UNCERTAIN])
    def test_two_recorded_origins_are_an_uncertain_one(self, second):
        async def main():
            store = StoredOrigins()
            async with Writer(store, "a/1") as first, Writer(store, "b/1") as other:
                first.origins.add("s", V1, 13.0)
                other.origins.add("s", second, 13.0)
                await asyncio.sleep(WRITTEN_S)
                assert await first.find("s") == UNCERTAIN

        run_in_simulated_time(main())


class TestRateOfWrites:
    # Guards against nodes that use up the store's rate, which all share.
    def test_400_nodes_use_a_quarter_of_the_rate(self):
        nodes, writes_per_s, streams_per_s, seconds = 400, 400.0, 5.5, 20

        async def main():
            store = StoredOrigins()
            pace_s = write_pace_s(nodes, writes_per_s)
            writers = [Writer(store, f"{n}/1", pace_s) for n in range(nodes)]
            for writer in writers:
                await writer.__aenter__()
            for number in range(int(seconds * streams_per_s)):
                for writer in writers:
                    writer.origins.add(f"s{number}", V1, 13.0)
                await asyncio.sleep(1 / streams_per_s)
            for writer in writers:
                await writer.__aexit__()
            assert len(store.written_at) / seconds <= writes_per_s / 4
            assert max(Counter(map(int, store.written_at)).values()) <= writes_per_s / 2
            assert store.largest <= MAX_ENTRIES
            # What waits is what began since the last write.
            unwritten = nodes * seconds * streams_per_s - store.written
            assert unwritten <= nodes * streams_per_s * pace_s * 1.25

        run_in_simulated_time(main())

    # Guards against a busy node of a small site that falls behind.
    def test_a_node_with_many_streams_keeps_up(self):
        async def main():
            store = StoredOrigins()
            pace_s = write_pace_s(nodes=9, writes_per_s=400.0)
            async with Writer(store, pace_s=pace_s) as writer:
                for number in range(5000):
                    writer.origins.add(f"s{number}", V1, 8.0)
                    await asyncio.sleep(1 / 250)
                assert len(writer.origins) <= 250 * (8.0 + WRITTEN_S)

        run_in_simulated_time(main())


class TestAbandonedRows:
    def nodes(self, store):
        members = [Member(f"node-{n}", "a", "", "", 1) for n in range(NODES)]
        return [
            AbandonedRows(
                lambda own=own: own,
                lambda own=own: [m for m in members if m is not own],
                store,
            )
            for own in members
        ]

    async def run_for(self, nodes, seconds):
        tasks = [asyncio.create_task(node.run()) for node in nodes]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    # Guards against rows that stay for good because their node has ended.
    def test_one_node_removes_the_rows_of_nodes_that_have_ended(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store) as writer:
                for number in range(250):
                    writer.origins.add(f"s{number}", V1, 1e6)
                await asyncio.sleep(5 * WRITTEN_S)
            writes = len(store.written_at)
            await self.run_for(self.nodes(store), 2 * ROUND_S)
            assert store.row_by_key == {}
            assert len(store.written_at) - writes == len(KEY_DIGITS)

        run_in_simulated_time(main())

    # Guards against the removal of rows that are in use.
    def test_rows_that_are_not_old_stay(self):
        async def main():
            store = StoredOrigins()
            nodes = self.nodes(store)
            running = asyncio.create_task(self.run_for(nodes, 4 * ROUND_S))
            async with Writer(store) as writer:
                for number in range(int(2 * ROUND_S)):
                    writer.origins.add(f"s{number}", V1, 60.0)
                    await asyncio.sleep(1.0)
                assert len(store.row_by_key) >= 60 - 2 * WRITTEN_S
                assert await writer.find(f"s{number - 50}") == V1
            await running
            assert store.row_by_key == {}

        run_in_simulated_time(main())

    def test_the_store_does_not_answer(self):
        async def main():
            store = StoredOrigins()
            async with Writer(store) as writer:
                writer.origins.add("s", V1, 1e6)
                await asyncio.sleep(WRITTEN_S)
            store.is_reachable = False
            running = asyncio.create_task(
                self.run_for(self.nodes(store), 3 * ROUND_S + 1)
            )
            await asyncio.sleep(ROUND_S)
            store.is_reachable = True
            await running
            assert store.row_by_key == {}

        run_in_simulated_time(main())
