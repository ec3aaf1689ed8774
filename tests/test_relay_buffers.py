"""What relays hold of answers, if the node that they relay to reads late."""

import asyncio
import socket

import pytest

from eelgrass_node.connection import relays
from support.connections import listen
from support.entry import EntryDeployment, until

LARGE_BYTES = 20_000_000
# Less than what makes a writer wait by default, and more than the buffers below hold.
SMALL_BYTES = 60_000
NARROW_BYTES = 4096
READ_BYTES = 16_384


class RelayedAnswer:
    """An answer of so many bytes, which a node asks for through a relay.

    ``sent`` is set once the server has written all of it and closed its connection.
    """

    def __init__(self, deployment, size):
        self._deployment = deployment
        self._size = size
        self.node = deployment.nodes[0]
        self.sent = asyncio.Event()

    async def __aenter__(self):
        self._server, address = await listen(self._answer)
        engine = self._deployment.engines_by_service["desk"][0]
        self._deployment.list_engine("desk", engine, address=address)
        await until(lambda: self.node.backends.at_address(address) is not None)
        self._reader, self._writer = await open_narrow(self.node.settings.gossip)
        self._writer.write(f"CONNECT {address} HTTP/1.1\r\n\r\n".encode())
        assert b" 200 " in await self._reader.readuntil(b"\r\n\r\n")
        self._writer.write(b"answer\n")
        return self

    async def __aexit__(self, *exc):
        self._writer.close()
        self._server.close()

    async def read(self):
        """Return how many bytes come until the connection is closed."""
        count = 0
        while data := await self._reader.read(1 << 20):
            count += len(data)
        return count

    async def _answer(self, reader, writer):
        await reader.readuntil(b"\n")
        writer.write(b"x" * self._size)
        await writer.drain()
        writer.close()
        self.sent.set()


async def open_narrow(address):
    """Open a connection whose reader takes little until it is asked to."""
    host, _, port = address.rpartition(":")
    narrow = socket.socket()
    narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BYTES)
    narrow.setblocking(False)
    await asyncio.get_running_loop().sock_connect(narrow, (host, int(port)))
    return await asyncio.open_connection(sock=narrow, limit=READ_BYTES)


class TestPauses:
    # Guards against relayed streams that are cut because their caller, and so the node
    # that asked for them, reads nothing for some seconds.
    @pytest.mark.parametrize("pause_s", [2.0, 6.0])
    async def test_a_relayed_answer_outlasts_a_pause_of_its_reader(self, pause_s):
        async with (
            EntryDeployment(nodes=1) as deployment,
            RelayedAnswer(deployment, LARGE_BYTES) as answer,
        ):
            await asyncio.sleep(pause_s)
            assert await answer.read() == LARGE_BYTES


class TestPlannedStops:
    # Guards against relays that end while they still hold the end of an answer.
    async def test_a_relay_waits_until_it_has_passed_an_answer_on(self, monkeypatch):
        set_timeouts = relays.set_timeouts

        def narrow(opened, *timeouts):
            set_timeouts(opened, *timeouts)
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, NARROW_BYTES)

        monkeypatch.setattr(relays, "set_timeouts", narrow)
        async with (
            EntryDeployment(nodes=1) as deployment,
            RelayedAnswer(deployment, SMALL_BYTES) as answer,
        ):
            await answer.sent.wait()
            await asyncio.sleep(0.3)
            assert answer.node.stopping.count == 1
            assert await answer.read() == SMALL_BYTES
            await until(lambda: answer.node.stopping.count == 0)
