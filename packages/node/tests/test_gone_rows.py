"""Removed rows are remembered for followers that are behind, up to a limit."""

import asyncio

import pytest

from eelgrass_node.exceptions import HistoryGone
from eelgrass_node.process import store_tables as store_tables_module
from support.entry import until
from support.store_rows import changes, row, table_replica

MAX_REMOVED = 3


class EndlessStore:
    """Adds a row and removes it again in each call, up to a version."""

    def __init__(self, until_version):
        self.version = 0
        self._until_version = until_version

    async def read_table(self, table):
        return changes(0)

    async def feed(self, table, after, wait_s):
        if self.version >= self._until_version:
            await asyncio.Event().wait()
        self.version += 2
        key = f"k{self.version}"
        added = row(key, self.version - 1)
        return changes(self.version, added, row(key, self.version, None))


@pytest.fixture
async def table(monkeypatch):
    monkeypatch.setattr(store_tables_module, "MAX_REMOVED_ROWS", MAX_REMOVED)
    store = EndlessStore(40)
    replica = table_replica(store, "t")
    task = asyncio.create_task(replica.run())
    await until(lambda: len(replica.rows()) and replica.snapshot().version == 40)
    yield replica
    task.cancel()


class TestRemovedRows:
    async def test_their_number_is_bounded(self, table):
        """Keys are never reused, so a node that runs for weeks would keep them all."""
        assert len(table.rows()) == MAX_REMOVED

    async def test_a_follower_that_is_far_behind_must_read_the_whole_table(self, table):
        with pytest.raises(HistoryGone):
            table.changes_after(20)

    async def test_a_follower_that_is_a_little_behind_gets_the_removals(self, table):
        gone = table.changes_after(36).rows
        assert [(r.version, r.value) for r in gone] == [(38, None), (40, None)]
