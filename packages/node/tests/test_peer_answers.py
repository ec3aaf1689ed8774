"""Large answers to other nodes are compressed once for all callers."""

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
    """Serve ``answer.message`` for every call; yield ``answer`` with the address."""

    async def answer(request):
        return peer_answer(request, answer.message)

    app = web.Application()
    app.router.add_post("/peer/v1/any", answer)
    async with TestServer(app) as server:
        answer.address = f"{server.host}:{server.port}"
        yield answer


class TestPeerAnswer:
    async def test_a_large_configuration_is_compressed_to_a_tenth(self, answering):
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
    async def test_a_peer_decodes_the_original_message(self, answering, value):
        answering.message = changes(7, row("a", 6, None), row("b", 7, value))
        async with aiohttp.ClientSession() as session:
            calls = PeerCalls(session)
            got = await calls.ask(answering.address, "any", None, TableChanges, 1.0)
        assert got == answering.message

    async def test_a_client_without_compression_gets_plain_json(self, answering):
        answering.message = changes(5, row("config", 5, LARGE))
        url = f"http://{answering.address}/peer/v1/any"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers={"Accept-Encoding": "identity"}) as got,
        ):
            assert "Content-Encoding" not in got.headers
            assert await got.read() == msgspec.json.encode(answering.message)

    async def test_a_new_answer_is_not_served_from_the_cache_of_an_old_one(
        self, answering
    ):
        async with aiohttp.ClientSession() as session:
            calls = PeerCalls(session)
            for version in range(20):
                value = LARGE + b" " * version
                answering.message = changes(version, row("config", version, value))
                got = await calls.ask(answering.address, "any", None, TableChanges, 1.0)
                assert got == answering.message
