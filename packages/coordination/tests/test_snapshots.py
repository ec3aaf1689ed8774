"""Snapshots in the object store."""

import pytest

from eelgrass_coordination import Snapshot, SnapshotStore
from eelgrass_coordination.exceptions import PlatformUnavailable
from eelgrass_standins.platform import TableStandIn


class Objects:
    """An in-memory object store that can be made unavailable."""

    def __init__(self):
        self.by_name = {}
        self.unavailable = False

    async def put(self, name, body):
        if self.unavailable:
            raise PlatformUnavailable("unavailable")
        self.by_name[name] = body

    async def get(self, name):
        if self.unavailable:
            raise PlatformUnavailable("unavailable")
        return self.by_name[name]


class TestSnapshotStore:
    async def test_it_is_saved_after_enough_changes_and_read_back(self):
        objects = Objects()
        store = SnapshotStore(TableStandIn(), objects, every=10)
        saved = [await store.save_if_due(Snapshot(n, {})) for n in range(1, 26)]
        assert saved.count(True) == 2
        assert (await store.newest()).revision == 20

    async def test_an_older_snapshot_does_not_replace_a_newer_one(self):
        store = SnapshotStore(TableStandIn(), Objects(), every=10)
        assert await store.save_if_due(Snapshot(30, {}))
        assert not await store.save_if_due(Snapshot(20, {}))
        assert (await store.newest()).revision == 30

    async def test_a_later_change_saves_it_after_an_outage(self):
        objects = Objects()
        store = SnapshotStore(TableStandIn(), objects, every=10)
        objects.unavailable = True
        assert not await store.save_if_due(Snapshot(10, {}))
        with pytest.raises(PlatformUnavailable):
            await SnapshotStore(FailingTable(), objects).newest()
        objects.unavailable = False
        assert await store.save_if_due(Snapshot(11, {}))


class FailingTable(TableStandIn):
    """A table that cannot be read."""

    async def read(self, keys, timeout=None):
        raise PlatformUnavailable("unavailable")
