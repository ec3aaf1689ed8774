"""Large answers do not time out while their data keeps arriving.

A table of the store, or a node's state, grows with the deployment, and links of
5 Mbit/s carry 0.6 MB in a second. With a fixed timeout for the complete answer, an
answer that was still being received was discarded and requested again without end.
"""

import asyncio
import json
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from eelgrass_node.connection.peer_calls import PeerCalls
from eelgrass_node.connection.peer_state import STATE_CALL, PeerState
from eelgrass_node.connection.table_feed import TableFeedClient
from eelgrass_node.exceptions import PeerUnreachable, StoreUnavailable
from eelgrass_node.platform.store import RowStore
from eelgrass_standins.row_store import RowStoreStandIn
from support.fault_proxy import FaultProxy, Link
from support.serving import served

# A link of 5 Mbit/s, and rows whose transfer takes two seconds.
BYTES_PER_S = 0.6e6
ROWS = 200
ROW_BYTES = 4500
# An answer that has stopped arriving is given up within this time.
GIVEN_UP_S = 2.0


def large_store():
    store = RowStoreStandIn()
    for number in range(ROWS):
        store.put("servers", f"i{number}", "x" * ROW_BYTES)
    return store


@asynccontextmanager
async def served_narrowly(add_routes):
    """Serve the added routes over a slow link; yield the proxy of the link."""
    async with served(add_routes) as address:
        proxy = FaultProxy(address, Link(BYTES_PER_S))
        try:
            yield proxy
        finally:
            await proxy.stop()


@asynccontextmanager
async def row_store(store):
    async with served_narrowly(store.add_routes) as proxy:
        client = RowStore(await proxy.start())
        yield client, proxy
        await client.close()


class OtherNode:
    """Answers every call with uncompressed rows, or with a part of the answer."""

    def __init__(self, part=1.0):
        rows = [
            {"key": f"i{number}", "version": number + 1, "value": "AAAA" * 1100}
            for number in range(ROWS)
        ]
        changes = {"rows": rows, "version": ROWS}
        self._answers = {
            "table-feed": {"knowledge": "known", "changes": changes},
            STATE_CALL: {"operator": rows[:1], "servers": rows},
        }
        self._part = part

    async def handle(self, request):
        body = json.dumps(self._answers[request.match_info["call"]]).encode()
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: int(len(body) * self._part)])
        await asyncio.sleep(0 if self._part == 1.0 else 10.0)
        return response

    def add_routes(self, app):
        app.router.add_post("/peer/v1/{call}", self.handle)


def unknown(table, key):
    """Return no row: this node has no state of the table."""
    return


@asynccontextmanager
async def peer_calls(other):
    async with (
        served_narrowly(other.add_routes) as proxy,
        aiohttp.ClientSession() as session,
    ):
        yield PeerCalls(session), await proxy.start()


class TestStore:
    async def test_a_full_read_that_arrives_slowly_succeeds(self):
        async with row_store(large_store()) as (client, _):
            changes = await client.read_table("servers")
        assert len(changes.rows) == ROWS

    async def test_a_feed_that_arrives_slowly_succeeds(self):
        async with row_store(large_store()) as (client, _):
            changes = await client.feed("servers", 0, 0.0)
        assert len(changes.rows) == ROWS

    async def test_an_answer_being_received_is_reported(self):
        async with row_store(large_store()) as (client, _):
            call = asyncio.create_task(client.feed("servers", 0, 0.0))
            await asyncio.sleep(0.5)
            assert client.response_started_at("servers") is not None
            assert client.response_started_at("op") is None
            await call
            assert client.response_started_at("servers") is None

    async def test_an_answer_that_trickles_is_given_up(self):
        """Another node may deliver it sooner, but none is asked meanwhile."""
        async with row_store(large_store()) as (client, proxy):
            # Less than the lowest rate, with pauses shorter than the longest one, so
            # that the answer is given up for its rate.
            proxy.link.bytes_per_s = 1000
            proxy.link.packet_bytes = 128
            began = time.monotonic()
            with pytest.raises(StoreUnavailable, match="bytes"):
                await client.feed("servers", 0, 0.0)
        assert time.monotonic() - began < GIVEN_UP_S

    async def test_an_answer_that_stops_midway_is_given_up(self):
        async with row_store(large_store()) as (client, proxy):
            call = asyncio.create_task(client.feed("servers", 0, 0.0))
            await asyncio.sleep(0.3)
            proxy.silence()
            silent_at = time.monotonic()
            with pytest.raises(StoreUnavailable, match="bytes"):
                await call
        assert time.monotonic() - silent_at < GIVEN_UP_S


def suspend_host():
    """Block this process for longer than any read timeout."""
    time.sleep(1.0)


class SuspendedNode(OtherNode):
    """Suspends its own host and the caller's in the middle of an answer."""

    async def handle(self, request):
        body = json.dumps(self._answers[request.match_info["call"]]).encode()
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[:1000])
        await asyncio.sleep(0.1)
        await response.write(body[1000:2000])
        suspend_host()
        await response.write(body[2000:])
        return response


class TestSuspension:
    async def test_data_that_arrived_during_the_suspension_is_read(self):
        """The timeout fired in the same loop turn, and the answer was discarded."""
        async with (
            served(SuspendedNode().add_routes) as address,
            aiohttp.ClientSession() as session,
        ):
            calls = PeerCalls(session)
            state = await calls.ask(address, STATE_CALL, None, PeerState, 0.5)
        assert len(state.servers) == ROWS


class TestOtherNodes:
    async def test_a_relay_answer_that_arrives_slowly_succeeds(self):
        async with peer_calls(OtherNode()) as (calls, address):
            changes = await TableFeedClient(calls, unknown).ask(
                address, "servers", 0, 0.1
            )
        assert len(changes.rows) == ROWS

    async def test_a_state_that_arrives_slowly_succeeds(self):
        async with peer_calls(OtherNode()) as (calls, address):
            state = await calls.ask(address, STATE_CALL, None, PeerState, 0.5)
        assert len(state.servers) == ROWS

    async def test_a_relay_that_stops_midway_is_given_up(self):
        async with peer_calls(OtherNode(part=0.5)) as (calls, address):
            began = time.monotonic()
            with pytest.raises(PeerUnreachable, match="bytes"):
                await TableFeedClient(calls, unknown).ask(address, "servers", 0, 0.1)
        # The transfer of half of the answer takes one second.
        assert time.monotonic() - began < 1.0 + GIVEN_UP_S
