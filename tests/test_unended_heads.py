"""Answers that end within their head are no answers, wherever they come from."""

import asyncio
import socket
import struct
from enum import Enum

import aiohttp
import pytest

from support.connections import listen
from support.entry import COMPLETE_STREAM, EntryDeployment
from support.host_links import LinkedDeployment, cut_off
from support.other_calls import expect_no_answers
from support.raw_engine import only_server

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CALLS = 6


class Ending(Enum):
    """The bytes that are sent before the connection is closed.

    ``@`` stands for the status line and the headers of a sound answer.
    """

    STATUS = b"HTTP/1.1 200"
    STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
    SIGNED = b"@"
    INSIDE_NAME = b"@Content-Le"
    INSIDE_VALUE = b"@Content-Length: 1"
    LENGTH = b"@Content-Length: 0\r\n"
    LENGTH_AND_HALF_END = b"@Content-Length: 0\r\n\r"
    CHUNKED = b"@Transfer-Encoding: chunked\r\n"
    CLOSING = b"@Connection: close\r\n"
    CLOSING_AND_HALF_END = b"@Connection: close\r\n\r"
    AFTER_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n@"


def ending(ending, resets):
    """Return how a server sends such answers; every second one ends in a reset."""

    async def send(head, body, reader, writer):
        writer.write(ending.value.replace(b"@", head))
        await writer.drain()
        if resets.append(len(resets)) or len(resets) % 2:
            # Lets the bytes arrive before the reset discards them.
            await asyncio.sleep(0.01)
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False

    return send


async def statuses_of(deployment, target, **headers):
    """Send calls one after the other; return the status of each, 0 for none."""

    async def status():
        try:
            return (await deployment.ask(target, **headers))[0]
        except aiohttp.ClientError:
            return 0

    return [await status() for _ in range(CALLS)]


@pytest.mark.parametrize("how", Ending)
class TestAnswersOfServers:
    # Guards against a caller that gets 200 with an empty or short body, framed as
    # complete.
    async def test_to_requests_and_streams(self, how):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            for service, targets in (
                ("desk", ("/safe/x", "/once/x")),
                ("readers", ("/stream/resumed/x", "/stream/single/x")),
            ):
                async with only_server(deployment, service, ending(how, [])) as server:
                    for target in targets:
                        assert 200 not in await statuses_of(deployment, target)
                    assert server.answered

    # Guards against the same on connections through another host.
    async def test_to_relayed_requests(self, how):
        async with LinkedDeployment(nodes=2, servers=1) as deployment:
            await cut_off(deployment)
            async with only_server(deployment, "desk", ending(how, [])) as server:
                for target in ("/safe/x", "/once/x"):
                    assert 200 not in await statuses_of(deployment, target)
                assert server.answered

    # Guards against results of stages that no server has made.
    async def test_to_stage_calls(self, how):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            headers = {"Eelgrassward_Segments": "2,1,5"}
            status, _, body = await deployment.ask("/stream/staged/x", **headers)
            assert (status, body) == (200, COMPLETE_STREAM)
            async with only_server(deployment, "portal", ending(how, [])) as server:
                statuses = await statuses_of(deployment, "/stream/staged/x", **headers)
                assert 200 not in statuses
                assert server.answered


@pytest.mark.parametrize("how", Ending)
class TestOtherCalls:
    """Calls to the store, to other nodes and to the product's own platform."""

    # Guards against a table, or a state, that seems to be empty.
    async def test_they_fail(self, how):
        send = ending(how, [])

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await send(b"HTTP/1.1 200 OK\r\n", b"", reader, writer)
            writer.close()

        server, address = await listen(serve)
        for _ in range(2):
            await expect_no_answers(address)
        server.close()
