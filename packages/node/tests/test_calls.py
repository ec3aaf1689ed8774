"""Whether answers belong to the calls on whose connections they arrive."""

import asyncio
import gc
import itertools
import socket
import weakref
from contextlib import asynccontextmanager

import pytest
from multidict import CIMultiDict

from eelgrass_node.connection.backend import BackendConnections
from eelgrass_node.connection.calls import (
    ATTEMPT_HEADER,
    MisattributedAnswer,
)

HEAD_END = b"\r\n\r\n"


class Server:
    """Answers call after call with the next of some answers.

    ``connections`` has the number of calls that each connection has carried.
    """

    def __init__(self, answers):
        self.connections = []
        self._answers = iter(answers)

    async def serve(self, reader, writer):
        number = len(self.connections)
        self.connections.append(0)
        try:
            while True:
                await reader.readuntil(HEAD_END)
                self.connections[number] += 1
                writer.write(next(self._answers))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def answer(names=None, status=200, body=b"body"):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    if names is not None:
        head += f"{ATTEMPT_HEADER}: {names}\r\n"
    return head.encode() + b"\r\n" + body


@asynccontextmanager
async def connected(answers):
    """Yield connections to a server, the server, and the heads that were reported."""
    opened = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{opened.getsockname()[1]}"
    server, heads = Server(answers), []
    listener = await asyncio.start_server(server.serve, sock=opened)
    connections = BackendConnections(address, on_answer=heads.append)
    try:
        yield connections, server, heads
    finally:
        await connections.close()
        listener.close()


async def call(connections, attempt=None, reuse=True, decides=True):
    """Make a call; return the status and body of its answer."""
    context = connections.request(
        "GET", "/x", CIMultiDict(), b"", 1.0, attempt, reuse, decides
    )
    async with context as response:
        return response.status, await response.read()


class TestCallsThatNameAnAttempt:
    # Guards against a connection for each call, which costs a round trip.
    async def test_they_share_a_connection(self):
        async with connected(map(answer, "abc")) as (connections, server, heads):
            for attempt in "abc":
                assert await call(connections, attempt) == (200, b"body")
            assert server.connections == [3]
            assert len(heads) == 3

    # Guards against an answer to an earlier call that counts for this one, and against
    # what it says of its server.
    @pytest.mark.parametrize("names", ["a", None], ids=["of another", "of none"])
    @pytest.mark.parametrize("body", [b"", b"body", b"x" * 200_000])
    async def test_an_answer_that_may_be_of_another_call(self, names, body):
        answers = [answer("a"), answer(names, 503, body), answer("c"), answer("d")]
        async with connected(answers) as (connections, server, heads):
            await call(connections, "a")
            with pytest.raises(MisattributedAnswer):
                await call(connections, "b")
            for attempt in "cd":
                assert await call(connections, attempt) == (200, b"body")
            # Others may be out of step as well, so none is kept for now.
            assert server.connections == [2, 1, 1]
            assert [head.status for head in heads] == [200, 200, 200]

    # Guards against kept connections that keep their last request in memory.
    async def test_a_kept_connection_does_not_hold_the_call_before(self):
        class Request:
            def on_sent(self):
                pass

        async def send(connections):
            request = Request()
            context = connections.request(
                "POST",
                "/x",
                CIMultiDict(),
                b"body",
                1.0,
                attempt="a",
                reuse=True,
                on_sent=request.on_sent,
            )
            async with context as response:
                await response.read()
            return weakref.ref(request)

        async with connected([answer("a")]) as (connections, server, _):
            request = await send(connections)
            await asyncio.sleep(0)
            gc.collect()
            assert request() is None
            assert server.connections == [1]

    # Guards against refusals that are ignored because they name no attempt.
    async def test_the_first_answer_may_name_none(self):
        answers = [answer(None, 503), answer("b")]
        async with connected(answers) as (connections, server, heads):
            assert await call(connections, "a") == (503, b"body")
            assert await call(connections, "b") == (200, b"body")
            assert server.connections == [1, 1]
            assert [head.status for head in heads] == [503, 200]

    # Guards against a copy of an answer that names none, taken for the next one.
    async def test_its_connection_gets_no_further_call_if_it_is_long(self):
        answers = [answer(None, body=b"x" * 200_000), answer("b")]
        async with connected(answers) as (connections, server, _):
            assert len((await call(connections, "a"))[1]) == 200_000
            assert await call(connections, "b") == (200, b"body")
            assert server.connections == [1, 1]


class TestCallsThatNameNone:
    # Guards against an answer that counts by its place on a kept connection.
    async def test_they_get_a_connection_each(self):
        bodies = [b"%d" % number for number in range(3)]
        answers = [answer(body=body) for body in bodies]
        async with connected(answers) as (connections, server, _):
            assert [await call(connections) for _ in bodies] == [
                (200, body) for body in bodies
            ]
            assert server.connections == [1, 1, 1]

    # Guards against the answer to a request that counts for another kind of call.
    async def test_an_answer_that_names_an_attempt(self):
        async with connected(map(answer, "ab")) as (connections, _, heads):
            with pytest.raises(MisattributedAnswer):
                await call(connections)
            assert heads == []


class TestCallsWhoseAnswersDecideNothing:
    # Guards against such an answer that counts for another kind of call, and against
    # what it says of its server if it may have come again.
    async def test_they_share_connections_with_no_other_call(self):
        answers = [answer(status=200 + number) for number in range(4)]
        async with connected(answers) as (connections, server, heads):
            for _ in range(2):
                await call(connections, decides=False)
            assert await call(connections) == (202, b"body")
            await call(connections, decides=False)
            assert server.connections == [3, 1]
            assert [head.status for head in heads] == [200, 202]


class TestOwnProtocol:
    # Guards against front doors that take the answer to one call for that to another.
    async def test_an_answer_of_another_attempt(self):
        async with connected(itertools.repeat(answer("a"))) as (connections, server, _):
            for attempt, is_whole in (("a", True), ("b", False), ("a", True)):
                try:
                    async with connections.post("/x", b"", attempt, 1.0, True):
                        assert is_whole
                except MisattributedAnswer:
                    assert not is_whole
            assert server.connections == [2, 1]
