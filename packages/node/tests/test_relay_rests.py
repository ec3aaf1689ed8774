"""Tests of rests where connections to servers pass through another node."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from eelgrass_coordination import Member
from eelgrass_coordination.ids import BackendId, DataCentre, NodeId
from eelgrass_node.connection.peer_calls import PeerCalls
from eelgrass_node.connection.relay_rests import RelayRests
from eelgrass_node.connection.relays import RelayServer
from eelgrass_node.connection.rest_calls import RestClient, RestInterface
from eelgrass_node.exceptions import PeerUnreachable
from eelgrass_node.process.backends import Backends, HostEntry, ServerIncarnation
from eelgrass_node.process.server_notices import ServerNotices
from eelgrass_node.process.server_paths import Path
from eelgrass_node.process.stopping import Stopping
from support.connections import listen
from support.host_settings import host_budgets

SERVER = ServerIncarnation(BackendId("s1"), 5)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class DirectPaths:
    """The relay reaches all servers."""

    def path(self, address):
        return Path.DIRECT


class TestRelayServer:
    # Guards against requests of other nodes that a relay passes on to a server which
    # has asked the relay's host for rest.
    async def test_a_resting_server_gets_no_further_request(self):
        async def serve(reader, writer):
            while data := await reader.read(1000):
                arrived.append(data)
                writer.write(ANSWER)

        arrived, resting, refused = [], set(), []
        server, address = await listen(serve)
        relay = RelayServer(
            DirectPaths(),
            lambda address: True,
            resting.__contains__,
            Stopping(0.0, 0.0),
            host_budgets(),
            100,
            refused.append,
        )
        await relay.start("127.0.0.1:0")
        relay_port = relay._server.sockets[0].getsockname()[1]

        async def connect():
            reader, writer = await asyncio.open_connection("127.0.0.1", relay_port)
            writer.write(f"CONNECT {address} HTTP/1.1\r\n\r\n".encode())
            return reader, writer, await reader.readuntil(b"\r\n\r\n")

        reader, writer, _ = await connect()
        writer.write(b"first")
        assert await reader.readexactly(len(ANSWER)) == ANSWER
        resting.add(address)
        writer.write(b"second")
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 1.0)
        _, other, head = await connect()
        assert head.startswith(b"HTTP/1.1 504")
        assert arrived == [b"first"]
        other.close()
        writer.close()
        await relay.close()
        server.close()


class TestRelayRests:
    # Guards against a call for each answer of a resting server.
    async def test_a_relay_is_told_once_for_each_rest(self):
        async def tell(relay, server, for_s):
            told.append((relay.id, for_s))
            raise PeerUnreachable(relay.internal, "404")

        told = []
        rests = RelayRests(tell)
        relays = [Member(name, "a", f"{name}:1", f"{name}:2", 0) for name in "ab"]
        for left_s in (3.0, 2.99, 3.0, 3.5):
            rests.tell(relays[:1], SERVER, left_s)
        rests.tell(relays[1:], SERVER, 1.0)
        await asyncio.sleep(0.01)
        assert told == [("a", 3.0), ("a", 3.5), ("b", 1.0)]


class TestRestCalls:
    # Guards against a relay that goes on because it is told in words it cannot read.
    async def test_a_relay_sends_nothing_once_it_is_told(self):
        backends = Backends()
        backends.update(
            [HostEntry(SERVER.id, "desk", "s1:1", DataCentre("a"), started=5)]
        )
        app = web.Application()
        notices = ServerNotices(backends, lambda item: None, lambda kind: None)
        RestInterface(notices).add_routes(app)
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            address = f"{server.host}:{server.port}"
            relay = Member(NodeId("a"), DataCentre("a"), address, "a:2", 0)
            await RestClient(PeerCalls(session)).tell(relay, SERVER, 2.0)
        assert backends.usable("desk") == []
        assert 1.5 < backends.rests.left_s(SERVER) <= 2.0
