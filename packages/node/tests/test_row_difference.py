"""Changes of a large row are sent as differences to nodes that have the old row."""

import base64
import random
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from eelgrass_node.connection.peer_calls import PeerCalls
from eelgrass_node.connection.table_feed import TableFeedClient, TableFeedInterface
from eelgrass_node.exceptions import DifferenceMismatch
from eelgrass_node.process.row_difference import apply_difference, compute_difference
from eelgrass_node.process.table_relay import TableRelay
from support.entry import route
from support.fault_proxy import FaultProxy, Link
from support.narrow_links import large_configuration
from support.store_rows import changes, row, table_replica

TABLE = "op"
SEEDS = 300


def configured(version, *more):
    value = msgspec.json.encode(large_configuration(version, 1564, *more))
    return row("config", version, value)


def edited(value, randomness):
    """Return a value with some bytes removed, added, reversed or duplicated."""
    for _ in range(randomness.randint(0, 4)):
        begin, end = sorted(randomness.choices(range(len(value) + 1), k=2))
        part = value[begin:end]
        new = randomness.choice([b"", b"{", part + part, part[::-1], b"{{}x{", b"y"])
        value = value[:begin] + new + value[end:]
    return value


class TestDifference:
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_applying_it_gives_the_new_row(self, seed):
        randomness = random.Random(seed)
        value = bytes(randomness.choices(b"{}ab", k=randomness.randint(0, 60)))
        before = row("config", 1, value)
        after = row("config", 2, edited(value, randomness))
        assert apply_difference(before, compute_difference(before, after)) == after

    def test_a_small_change_of_a_large_configuration_is_small(self):
        before = configured(5)
        after = configured(6, route("newest", "idempotent", "desk"))
        sent = msgspec.json.encode(compute_difference(before, after))
        assert len(sent) < 1000 < 400_000 < len(after.value)

    @pytest.mark.parametrize(
        "known", [None, row("config", 5, None), row("config", 4, b"{a}{b}")]
    )
    def test_it_is_rejected_for_another_row(self, known):
        base = row("config", 5, b"{a}{b}")
        difference = compute_difference(base, row("config", 6, b"{a}{c}"))
        with pytest.raises(DifferenceMismatch):
            apply_difference(known, difference)

    def test_it_is_rejected_for_another_value_of_the_same_version(self):
        difference = compute_difference(
            row("config", 5, b"{a}{b}"), row("config", 6, b"{a}{c}")
        )
        with pytest.raises(DifferenceMismatch):
            apply_difference(row("config", 5, b"{x}{b}"), difference)


class TestFeed:
    """A relay that has seen two versions, and a follower with a row of its own."""

    @pytest.fixture
    async def feed(self):
        older, newer = configured(5), configured(6)
        table = table_replica(None, TABLE)
        table._apply_snapshot(changes(5, older))
        table._apply(changes(6, newer))
        app = web.Application()
        TableFeedInterface(TableRelay({TABLE: table}, lambda name: True)).add_routes(
            app
        )
        known = SimpleNamespace(row=older)
        link = Link(1e9)
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            proxy = FaultProxy(f"{server.host}:{server.port}", link)
            address = await proxy.start()
            client = TableFeedClient(PeerCalls(session), lambda table, key: known.row)

            async def ask(after):
                return await client.ask(address, TABLE, after, 0.0)

            yield SimpleNamespace(
                ask=ask,
                url=f"http://{address}/peer/v1/table-feed",
                known=known,
                link=link,
                older=older,
                newer=newer,
            )
            await proxy.stop()

    async def test_a_follower_with_the_previous_row_gets_a_difference(self, feed):
        assert await feed.ask(5) == changes(6, feed.newer)
        assert feed.link.sent < 2000

    async def test_a_follower_with_another_row_gets_the_full_row(self, feed):
        feed.known.row = row("config", 4, b"{}")
        assert await feed.ask(5) == changes(6, feed.newer)

    async def test_a_follower_with_a_newer_row_gets_no_row(self, feed):
        feed.known.row = row("config", 9, b"{}")
        assert await feed.ask(5) == changes(6)

    async def test_no_difference_for_a_follower_older_than_the_previous_row(self, feed):
        table = table_replica(None, TABLE)
        table._apply_snapshot(changes(4))
        table._apply(changes(5, feed.older))
        table._apply(changes(6, feed.newer))
        assert table.previous_large_row("config", 4) is None
        assert table.previous_large_row("config", 5) == feed.older

    async def test_a_full_read_has_full_rows(self, feed):
        assert await feed.ask(None) == changes(6, feed.newer)

    async def test_a_node_of_an_older_release_gets_the_full_row(self, feed):
        """It does not declare support for differences, and would ignore them."""
        asked = {"table": TABLE, "after": 5, "wait_s": 0.0}
        async with (
            aiohttp.ClientSession() as session,
            session.post(feed.url, json=asked) as got,
        ):
            reply = await got.json()
        assert reply["differences"] == []
        [sent] = reply["changes"]["rows"]
        assert base64.b64decode(sent["value"]) == feed.newer.value
