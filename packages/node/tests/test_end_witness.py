"""Idle connections that tell whether a server's process has ended."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from eelgrass_node.connection.end_witness import (
    LATE_END_S,
    TOGETHER_S,
    EndWitnesses,
)
from support.connections import listen


class Server:
    """Holds the connections that are opened to it."""

    def __init__(self):
        self.writers = []

    async def accept(self, reader, writer):
        self.writers.append(writer)
        await reader.read()
        writer.close()


class Answering:
    """A connection on which an answer comes, until :meth:`end` is called."""

    def __init__(self):
        self.ended_at = float("inf")
        self._callbacks = []

    def on_end(self, callback):
        self._callbacks.append(callback)

    def end(self):
        self.ended_at = asyncio.get_running_loop().time()
        for callback in self._callbacks:
            callback()


async def confirmed():
    return True


@asynccontextmanager
async def witnessed():
    """Yield a server, and the witnesses of its process."""
    server = Server()
    listener, address = await listen(server.accept)
    host, _, port = address.rpartition(":")

    async def connect():
        opened = socket.socket()
        opened.setblocking(False)
        await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
        return opened

    witnesses = EndWitnesses(connect)
    try:
        yield server, witnesses
    finally:
        witnesses.close()
        listener.close()


async def until_open(server, count=1):
    async with asyncio.timeout(5):
        while len(server.writers) < count:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
    await asyncio.sleep(2 * TOGETHER_S)


class TestProcessGoesOn:
    async def test_it_does_while_the_witness_is_open(self):
        async with witnessed() as (server, witnesses):
            connection = Answering()
            lease = witnesses.hold(connection, confirmed)
            await until_open(server)
            connection.end()
            assert await lease.process_goes_on() is True

    async def test_it_does_not_if_both_connections_end(self):
        async with witnessed() as (server, witnesses):
            connection = Answering()
            lease = witnesses.hold(connection, confirmed)
            await until_open(server)
            connection.end()
            server.writers[0].close()
            assert await lease.process_goes_on() is False

    # Guards against whole answers of which the process ends before their caller has
    # read them.
    async def test_what_happens_later_does_not_matter(self):
        async with witnessed() as (server, witnesses):
            connection = Answering()
            lease = witnesses.hold(connection, confirmed)
            await until_open(server)
            connection.end()
            await asyncio.sleep(2 * TOGETHER_S)
            server.writers[0].close()
            await asyncio.sleep(TOGETHER_S)
            assert await lease.process_goes_on() is True


class TestWitnessThatTellsNothing:
    # Guards against a connection to another process than that of the answer.
    @pytest.mark.parametrize("confirmation", [False, None])
    async def test_its_process_is_not_confirmed(self, confirmation):
        async def confirm():
            return confirmation

        async with witnessed() as (server, witnesses):
            connection = Answering()
            lease = witnesses.hold(connection, confirm)
            await until_open(server)
            connection.end()
            assert await lease.process_goes_on() is None

    # Guards against a connection to the next run, opened as the answer ended.
    async def test_it_has_just_been_opened(self):
        async with witnessed() as (_, witnesses):
            connection = Answering()
            lease = witnesses.hold(connection, confirmed)
            connection.end()
            assert await lease.process_goes_on() is None

    # Guards against the next witness, which may be one of the next run, while bytes of
    # the process before it are still on their way.
    async def test_it_was_opened_after_the_answer_had_begun(self):
        async with witnessed() as (server, witnesses):
            connection = Answering()
            lease = witnesses.hold(connection, confirmed)
            await until_open(server)
            server.writers[0].close()
            await asyncio.sleep(2 * LATE_END_S)
            other = witnesses.hold(Answering(), confirmed)
            await until_open(server, count=2)
            connection.end()
            assert await lease.process_goes_on() is None
            other.release()


class TestUseByManyAnswers:
    async def test_they_share_one_connection(self):
        async with witnessed() as (server, witnesses):
            for _ in range(3):
                connections = [Answering() for _ in range(3)]
                leases = [witnesses.hold(c, confirmed) for c in connections]
                await until_open(server)
                for connection, lease in zip(connections, leases, strict=True):
                    connection.end()
                    assert await lease.process_goes_on() is True
                    lease.release()
            assert len(server.writers) == 1

    # Guards against short answers without a witness.
    async def test_a_request_finds_it_open(self):
        async with witnessed() as (server, witnesses):
            assert witnesses.hold_open(Answering()) is None
            witnesses.hold(Answering(), confirmed).release()
            await until_open(server)
            connection = Answering()
            lease = witnesses.hold_open(connection)
            connection.end()
            assert await lease.process_goes_on() is True
