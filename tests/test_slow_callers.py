"""Callers that read their answers more slowly than hosts send them."""

import asyncio
import signal
import socket

import pytest
from aiohttp import web

from eelgrass_node.connection.caller_server import _CallerConnection
from eelgrass_standins.entry_engines import EngineStandIn
from support.entry import EntryDeployment, configuration, until
from support.raw_calls import request_bytes
from support.soak_deployment import SoakDeployment

# More than the socket buffers of both sides hold.
BODY = b"x" * 4_000_000
ANSWER = b"answer of " + BODY
# More than the narrow buffers hold, and less than what makes a sender wait.
MODERATE_BODY = b"x" * 50_000
DEADLINE_S = 3.0
RECEIVE_BUFFER_BYTES = 4096
READ_LIMIT_BYTES = 1024
# Longer than a host with nothing in flight takes for a planned stop.
PAUSE_S = 3.5
SHORT_DEADLINE_S = 1.0
SEND_BUFFER_BYTES = 8192
# Less than what makes a stream wait for its caller after each event.
LARGE_EVENT = b"id: 1\ndata: %s\n\n" % (b"x" * 60_000)
STREAM_END = b"\r\n0\r\n\r\n"

connection_made = _CallerConnection.connection_made


class LargeBodies(SoakDeployment):
    """Hosts that accept large bodies; servers repeat these in their answers."""

    async def _start_nodes(self):
        changed = configuration()
        changed["Limits"]["MaxBodyBytes"] = 2 * len(BODY)
        self.store.put("op", "config", changed)
        await super()._start_nodes()


async def begin_call(address, request):
    """Send a request; return the connection once its answer has begun."""
    host, _, port = address.rpartition(":")
    narrow = socket.socket()
    narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    narrow.setblocking(False)
    await asyncio.get_running_loop().sock_connect(narrow, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=narrow, limit=READ_LIMIT_BYTES)
    writer.write(request)
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def read_rest(reader, is_whole):
    """Return all bytes that come until they are whole or the connection ends."""
    received = bytearray()
    while not is_whole(received):
        try:
            data = await reader.read(len(ANSWER))
        except ConnectionResetError:
            # The host has ended; what came before counts.
            break
        if not data:
            break
        received += data
    return bytes(received)


@pytest.mark.processes
class TestPlannedStops:
    # Guards against a host that ends while it still sends answers which are whole.
    async def test_a_slow_caller_gets_its_whole_answer(self, tmp_path):
        async with LargeBodies(tmp_path, seed=91, nodes=1) as deployment:
            [node] = deployment.soak_nodes
            request = request_bytes("/safe/x", "slow", BODY, DEADLINE_S)
            reader, writer = await begin_call(node.callers, request)
            node.process.signal(signal.SIGTERM)
            await asyncio.sleep(PAUSE_S)
            received = await read_rest(reader, lambda data: len(data) >= len(ANSWER))
            assert len(received) == len(ANSWER)
            writer.close()
            assert await node.process.wait() == 0


async def stream_at_once(engine, request, headers):
    """Answer with a stream of one event, which is too large for the buffers."""
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    await response.write(LARGE_EVENT)
    return response


def make_narrow(connection, transport):
    """Begin a connection for whose answers the kernel has little room."""
    connection_made(connection, transport)
    sent_by = transport.get_extra_info("socket")
    sent_by.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


class TestWholeAnswers:
    # Guards against an answer that counts as sent while the process still has its end,
    # so that a planned stop would cut it off.
    async def test_they_are_in_flight_until_they_have_left(self, monkeypatch):
        monkeypatch.setattr(_CallerConnection, "connection_made", make_narrow)
        async with EntryDeployment(nodes=1) as entry:
            [node] = entry.nodes
            request = request_bytes("/safe/x", "slow", MODERATE_BODY, DEADLINE_S)
            reader, writer = await begin_call(node.settings.callers, request)
            await asyncio.sleep(0.5)
            assert node.stopping.count == 1
            size = len(b"answer of " + MODERATE_BODY)
            received = await read_rest(reader, lambda data: len(data) >= size)
            assert len(received) == size
            await until(lambda: node.stopping.count == 0)
            writer.close()


class TestDeadlines:
    """The host has a whole stream, of which the kernel does not take all at once."""

    # Guards against the end of a stream that is broken off, or counted as cut, because
    # the deadline passes before its caller has read it.
    @pytest.mark.parametrize("target", ["/stream/single/x", "/stream/resumed/x"])
    async def test_a_whole_stream_is_sent_whatever_its_caller_reads(
        self, monkeypatch, target
    ):
        monkeypatch.setattr(EngineStandIn, "_stream", stream_at_once)
        monkeypatch.setattr(_CallerConnection, "connection_made", make_narrow)
        async with EntryDeployment(nodes=1) as entry:
            [node] = entry.nodes
            request = request_bytes(target, "slow", b"body", SHORT_DEADLINE_S)
            reader, writer = await begin_call(node.settings.callers, request)
            await asyncio.sleep(1.5 * SHORT_DEADLINE_S)
            assert node.stopping.count == 1
            received = await read_rest(reader, lambda data: data.endswith(STREAM_END))
            assert LARGE_EVENT in received and received.endswith(STREAM_END)
            await until(lambda: node.stopping.count == 0)
            totals = node.counters.totals
            assert totals["answer.cut"] == totals["refusal.deadline-passed"] == 0
            writer.close()
