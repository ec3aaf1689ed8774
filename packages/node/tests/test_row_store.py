"""The client of the platform's store against a store with the documented API."""

import asyncio
import base64

import pytest
from aiohttp import web

from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.platform.store import RowStore, StoredTable
from eelgrass_standins.row_store import RowStoreStandIn
from support.fault_proxy import FaultProxy
from support.serving import served


def row(key, version):
    return {"Key": key, "Ver": version, "Value": base64.b64encode(b"x").decode()}


class PagedStore:
    """Serves full reads one row per page; the first row changes between two pages."""

    def __init__(self):
        self.version_by_key = {"a": 1, "b": 2}
        self.version = 2

    def add_routes(self, app):
        app.router.add_get("/-/rows-get", self.handle_get)

    async def handle_get(self, request):
        first = request.query["FromKey"]
        keys = sorted(key for key in self.version_by_key if key >= first)
        page = {
            "Rows": [row(keys[0], self.version_by_key[keys[0]])],
            "HasMore": len(keys) > 1,
            "Ver": self.version,
        }
        if keys[0] == "a":
            self.version += 1
            self.version_by_key["a"] = self.version
        return web.json_response(page)


class TestFullReads:
    async def test_a_change_between_two_pages_is_not_skipped(self):
        """The feed continues from the version that the full read returns.

        If that were the version of the last page, a change of a row on an earlier page
        would be missed. A table of more than 500 rows takes two pages.
        """
        paged = PagedStore()
        async with served(paged.add_routes) as address:
            store = RowStore(address)
            table = await store.read_table("servers")
            await store.close()
        assert [(r.key, r.version) for r in table.rows] == [("a", 1), ("b", 2)]
        assert table.version == 2


class TestRangesOfRows:
    async def test_they_do_not_include_the_key_at_their_end(self):
        stand_in = RowStoreStandIn()
        async with served(stand_in.add_routes) as address:
            store = RowStore(address)
            table = StoredTable(store, "origins")
            await table.write({"a-1": b"1", "a-2": b"2", "a.": b"3", "b": b"4"}, [])
            rows = await table.read("a-", "a.")
            await store.close()
        assert [(row.key, row.value) for row in rows] == [("a-1", b"1"), ("a-2", b"2")]


class TestSilentConnections:
    async def test_only_one_call_fails_on_silent_connections(self):
        """After a timeout, the next call must not use another pooled connection.

        Open connections may stop working for good while new ones work. Nodes read two
        tables at their start and so have two connections in the pool; trying the second
        after the first takes 3.1 s with the backoff, and the deadline is 2 s.
        """
        stand_in = RowStoreStandIn()
        stand_in.put("op", "config", {})
        async with served(stand_in.add_routes) as address:
            proxy = FaultProxy(address)
            store = RowStore(await proxy.start())
            await asyncio.gather(store.read_table("op"), store.read_table("servers"))
            proxy.silence()
            with pytest.raises(StoreUnavailable):
                await store.feed("op", 0, 0.0)
            assert (await store.feed("op", 0, 0.0)).version == 1
            await store.close()
            await proxy.stop()
