"""Answers that are lost before their head is complete, and what is sent again."""

import asyncio
import socket
import struct
from collections import Counter
from enum import Enum
from pathlib import Path

import aiohttp
import pytest

import eelgrass_coordination
import eelgrass_ctl
import eelgrass_node
from eelgrass_node.connection.backend import BackendConnections
from eelgrass_node.connection.sockets import new_session
from eelgrass_standins.ports import free_addresses
from support.entry import EntryDeployment, route, until
from support.raw_engine import RawEngine

METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "PATCH", "POST")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REQUESTS = 4


class Loss(Enum):
    """What is sent of an answer, and whether its connection is closed or reset."""

    CLOSE = (b"", False)
    RESET = (b"", True)
    INTERIM_ANSWER = (b"HTTP/1.1 100 Continue\r\n\r\n", False)
    HALF_LINE = (b"HTTP/1.1 200", False)
    HALF_HEAD = (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: ", False)


def losing(loss):
    """Return how a server loses all answers."""
    part, is_reset = loss.value

    async def send(head, body, reader, writer):
        writer.write(part)
        await writer.drain()
        # Lets what was sent arrive before a reset discards it.
        await asyncio.sleep(0.01)
        if is_reset:
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False

    return send


async def losing_server(deployment, service, loss):
    """Have a server that loses its answers take the place of a service's own ones."""
    [address] = free_addresses(1)
    server = RawEngine(f"{service}-losing", address, losing(loss))
    await server.start()
    for engine in deployment.engines_by_service[service]:
        deployment.store.remove("servers", engine.server_id)
    deployment.list_engine(service, server)
    await until(
        lambda: all(
            [s.entry.id for s in node.backends.by_service[service]]
            == [server.server_id]
            for node in deployment.nodes
        )
    )
    return server


async def statuses_of(deployment, target):
    """Send requests of all methods; return the status of each, 0 for none."""

    async def status(method):
        try:
            return (await deployment.ask(target, method=method))[0]
        except aiohttp.ClientError:
            return 0

    return [await status(method) for method in METHODS for _ in range(REQUESTS)]


class TestLostAnswers:
    # Guards against a request that may run once and is sent again by the library, on
    # the same connection or on a new one, whatever its method.
    @pytest.mark.parametrize("loss", Loss)
    @pytest.mark.parametrize("service", ["desk", "readers"])
    async def test_a_request_that_may_run_once_is_sent_once(self, loss, service):
        target = {"desk": "/once/x", "readers": "/stream/single/x"}[service]
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            server = await losing_server(deployment, service, loss)
            statuses = await statuses_of(deployment, target)
            server.stop()
        runs = Counter(server.request_ids)
        assert runs and set(runs.values()) == {1}, runs
        assert 200 not in statuses

    # Guards against repeats that neither the attempts of a route nor the retry budget
    # count.
    @pytest.mark.parametrize("loss", Loss)
    async def test_an_idempotent_request_is_sent_as_often_as_its_route_says(self, loss):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            server = await losing_server(deployment, "desk", loss)
            await statuses_of(deployment, "/safe/x")
            server.stop()
        most = route("safe", "idempotent", "desk")["MaxAttempts"]
        runs = Counter(server.request_ids)
        assert runs and max(runs.values()) <= most, runs


class TestSessions:
    # Guards against a session that sends a call again by itself.
    @pytest.mark.parametrize("keep_alive_s", [None, 10.0])
    @pytest.mark.parametrize("method", METHODS)
    async def test_a_call_is_sent_once(self, method, keep_alive_s):
        [address] = free_addresses(1)
        server = RawEngine("server", address, losing(Loss.CLOSE))
        await server.start()
        async with new_session(keep_alive_s) as session:
            with pytest.raises(aiohttp.ClientError):
                await session.request(method, f"http://{address}/x")
        assert len(server.answered) == 1
        server.stop()

    # Guards against a session that is opened elsewhere, with the library's repeats.
    def test_all_sessions_are_opened_in_one_place(self):
        found = [
            file
            for package in (eelgrass_coordination, eelgrass_ctl, eelgrass_node)
            for file in Path(package.__file__).parent.rglob("*.py")
            if "ClientSession(" in file.read_text()
        ]
        node = Path(eelgrass_node.__file__).parent
        assert found == [node / "connection/sockets.py"]

    # Guards against calls to a server that are sent again after their connection is
    # lost, on a connection of their own.
    @pytest.mark.parametrize("reuse", [True, False])
    async def test_a_call_to_a_server_is_sent_once(self, reuse):
        [address] = free_addresses(1)
        server = RawEngine("server", address, losing(Loss.RESET))
        await server.start()
        connections = BackendConnections(address)
        for method in METHODS:
            with pytest.raises(aiohttp.ClientError):
                await connections.request(method, "/x", {}, b"", 1.0, reuse)
        await connections.close()
        assert len(server.answered) == len(METHODS)
        server.stop()
