"""Large answers to other nodes are compressed, once for all that ask."""

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from eelgrass_node.connection.peer_answers import peer_answer
from eelgrass_node.connection.peer_calls import PeerCalls
from eelgrass_node.process.store_tables import TableChanges
from support.narrow_links import large_configuration
from support.store_rows import changes, row

LARGE = msgspec.json.encode(large_configuration(5, 1564))


@pytest.fixture
async def answering():
    """Give a server whose every answer is what stands in ``answer``."""

    async def answer(request):
        return peer_answer(request, answer.message)

    app = web.Application()
    app.router.add_post("/peer/v1/any", answer)
    async with TestServer(app) as server:
        answer.address = f"{server.host}:{server.port}"
        yield answer


class TestPeerAnswer:
    async def test_a_large_configuration_is_sent_as_a_tenth(self, answering):
        answering.message = changes(5, row("config", 5, LARGE))
        url = f"http://{answering.address}/peer/v1/any"
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.post(url, headers={"Accept-Encoding": "gzip, deflate"}) as got,
        ):
            sent = await got.read()
        assert got.headers["Content-Encoding"] == "deflate"
        assert len(sent) < len(LARGE) / 10

    @pytest.mark.parametrize("value", [b"x", LARGE, bytes(range(256)) * 50])
    async def test_another_node_reads_what_was_meant(self, answering, value):
        answering.message = changes(7, row("a", 6, None), row("b", 7, value))
        async with aiohttp.ClientSession() as session:
            calls = PeerCalls(session)
            got = await calls.ask(answering.address, "any", None, TableChanges, 1.0)
        assert got == answering.message

    async def test_one_that_takes_no_coding_gets_it_plain(self, answering):
        answering.message = changes(5, row("config", 5, LARGE))
        url = f"http://{answering.address}/peer/v1/any"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers={"Accept-Encoding": "identity"}) as got,
        ):
            assert "Content-Encoding" not in got.headers
            assert await got.read() == msgspec.json.encode(answering.message)

    async def test_newer_rows_are_not_answered_with_older_ones(self, answering):
        async with aiohttp.ClientSession() as session:
            calls = PeerCalls(session)
            for version in range(20):
                value = LARGE + b" " * version
                answering.message = changes(version, row("config", version, value))
                got = await calls.ask(answering.address, "any", None, TableChanges, 1.0)
                assert got == answering.message
