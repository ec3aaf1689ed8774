"""The client of the platform's store against answers as its page describes them."""

import base64

import pytest_asyncio
from aiohttp import web

from eelgrass_node.platform.store import RowStore
from eelgrass_standins.ports import free_addresses


def row(key, version):
    return {"Key": key, "Ver": version, "Value": base64.b64encode(b"x").decode()}


class PagedStore:
    """Answers whole reads row by row; a first row changes between two pages."""

    def __init__(self):
        self.version_by_key = {"a": 1, "b": 2}
        self.version = 2

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


@pytest_asyncio.fixture
async def paged():
    [address] = free_addresses(1)
    app = web.Application()
    app.router.add_get("/-/rows-get", PagedStore().handle_get)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    store = RowStore(address)
    yield store
    await store.close()
    await runner.cleanup()


class TestWholeReads:
    async def test_a_change_between_two_pages_is_not_skipped(self, paged):
        """Changes are asked for from the version on that is returned here.

        With that of the last page, a change of a row on an earlier one was never
        heard of; a table of more than 500 rows takes two pages.
        """
        whole = await paged.read_table("servers")
        assert [(r.key, r.version) for r in whole.rows] == [("a", 1), ("b", 2)]
        assert whole.version == 2
