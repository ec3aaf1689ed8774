"""Callers that read their answers more slowly than hosts send them."""

import asyncio
import signal
import socket

import pytest

from support.entry import configuration
from support.raw_calls import request_bytes
from support.soak_deployment import SoakDeployment

pytestmark = pytest.mark.processes

# More than the socket buffers of both sides hold.
BODY = b"x" * 4_000_000
ANSWER = b"answer of " + BODY
DEADLINE_S = 3.0
RECEIVE_BUFFER_BYTES = 16_384
# Longer than a host with nothing in flight takes for a planned stop.
PAUSE_S = 3.5


class LargeBodies(SoakDeployment):
    """Hosts that accept large bodies; servers repeat these in their answers."""

    async def _start_nodes(self):
        changed = configuration()
        changed["Limits"]["MaxBodyBytes"] = 2 * len(BODY)
        self.store.put("op", "config", changed)
        await super()._start_nodes()


async def begin_call(address):
    """Send a request; return the connection once its answer has begun."""
    host, _, port = address.rpartition(":")
    narrow = socket.socket()
    narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    narrow.setblocking(False)
    await asyncio.get_running_loop().sock_connect(narrow, (host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=narrow, limit=RECEIVE_BUFFER_BYTES
    )
    writer.write(request_bytes("/safe/x", "slow", BODY, DEADLINE_S))
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def read_rest(reader):
    """Return all bytes that come until the answer is whole or the connection ends."""
    received = bytearray()
    while len(received) < len(ANSWER):
        try:
            data = await reader.read(len(ANSWER))
        except ConnectionResetError:
            # The host has ended; what came before counts.
            break
        if not data:
            break
        received += data
    return bytes(received)


class TestPlannedStops:
    # Guards against a host that ends while it still sends answers which are whole.
    async def test_a_slow_caller_gets_its_whole_answer(self, tmp_path):
        async with LargeBodies(tmp_path, seed=91, nodes=1) as deployment:
            [node] = deployment.soak_nodes
            reader, writer = await begin_call(node.callers)
            node.process.signal(signal.SIGTERM)
            await asyncio.sleep(PAUSE_S)
            assert len(await read_rest(reader)) == len(ANSWER)
            writer.close()
            assert await node.process.wait() == 0
