"""The client of the platform's store against answers as its page describes them."""

import asyncio
import base64

import pytest
from aiohttp import web

from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.platform.store import RowStore
from eelgrass_standins.row_store import RowStoreStandIn
from support.fault_proxy import FaultProxy
from support.serving import served


def row(key, version):
    return {"Key": key, "Ver": version, "Value": base64.b64encode(b"x").decode()}


class PagedStore:
    """Answers whole reads row by row; a first row changes between two pages."""

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


class TestWholeReads:
    async def test_a_change_between_two_pages_is_not_skipped(self):
        """Changes are asked for from the version on that is returned here.

        With that of the last page, a change of a row on an earlier one was never
        heard of; a table of more than 500 rows takes two pages.
        """
        paged = PagedStore()
        async with served(paged.add_routes) as address:
            store = RowStore(address)
            whole = await store.read_table("servers")
            await store.close()
        assert [(r.key, r.version) for r in whole.rows] == [("a", 1), ("b", 2)]
        assert whole.version == 2


class TestSilentConnections:
    async def test_only_one_call_is_lost_to_connections_that_have_gone_silent(self):
        """A call on another kept connection would be lost, too, and both waits add up.

        Open connections may go silent for good while new ones work. Nodes that read
        two tables at their start kept two connections, and took the second, just as
        silent, after the first. With the pauses that is 3.1 s; 2 s are promised.
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
