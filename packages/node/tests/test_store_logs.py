"""The log lines about a node's calls to the store.

When a configuration comes into force late, the logs must show whether the store was not
called, did not answer, or returned an old state.
"""

import asyncio

from eelgrass_node.process.table_relay import RelayedReader
from support.clock import Clock
from support.log_lines import log_lines
from support.members import member
from support.store_rows import UnreachableStore, changes, row, table_replica

TABLE = "op"


def of(lines, sentence):
    return [line for line in lines if line.get("message") == f"store: {sentence}"]


class TestFailures:
    async def test_each_failure_is_logged_with_its_reason_and_the_next_retry(self):
        table = table_replica(UnreachableStore("TimeoutError"), TABLE)
        with log_lines() as lines:
            task = asyncio.create_task(table.run())
            await asyncio.sleep(0.6)
            task.cancel()
        assert len(of(lines, "The table cannot be read.")) == 1
        again = of(lines, "The table still cannot be read.")
        assert again
        for line in again:
            assert "TimeoutError" in line["error"]
            assert line["lost_s"] > 0.1 and line["again_s"] > 0.1

    async def test_rows_from_another_node_are_logged_with_their_source(self):
        sources = []
        table = table_replica(
            UnreachableStore("TimeoutError"),
            TABLE,
            on_rows=lambda rows, source: sources.append(source),
        )
        with log_lines() as lines:
            table.apply_peer_rows((row("config", 7),), "10.0.0.2:1")
        [line] = of(lines, "Rows came from another node.")
        assert (line["node"], line["newest"], line["complete_to"]) == (
            "10.0.0.2:1",
            7,
            -1,
        )
        assert sources == ["node 10.0.0.2:1"]


class TestSources:
    async def test_a_change_of_the_source_is_logged_once(self):
        async def ask(address, table, after, wait_s):
            return changes(5)

        relays = [member("relay"), member("relay"), None, None]

        class Store(UnreachableStore):
            async def feed(self, table, after, wait_s):
                return changes(5)

        reader = RelayedReader(
            Store("TimeoutError"),
            lambda table: _listed(relays.pop(0)),
            ask,
            {},
            Clock(10.0),
        )
        with log_lines() as lines:
            for _ in range(4):
                await reader.feed(TABLE, 4, 1.0)
        found = of(lines, "A table is read from another source.")
        assert [line["source"] for line in found] == ["relay", "store"]


def _listed(relay):
    return [] if relay is None else [relay]
