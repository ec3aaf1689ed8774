"""Answers without a length to uploads that their server has not read."""

import asyncio
import socket
from enum import Enum

import pytest

from eelgrass_node.connection.sockets import set_reset_on_close
from support.connections import connect
from support.entry import CLOSED_UNREAD, EntryDeployment, configuration, until
from support.host_links import LinkedDeployment, cut_off
from support.raw_calls import request_bytes
from support.raw_engine import RawEngine, only_server

UPLOAD_BYTES = 4 << 20
DEADLINE_S = 3.0
# Bytes of the upload that the server reads before it resets or closes the connection.
READ_BYTES = 1 << 16
MOST_TRIES = 10
LAST_CHUNK = b"\r\n0\r\n\r\n"
SERVICE_BY_TARGET = {"/once/x": "desk", "/stream/single/x": "readers"}


class EarlyEngine(RawEngine):
    """Answers as soon as it has the head of a request."""

    async def _read_body(self, reader, length):
        return b""


class Ending(Enum):
    """How a server ends the connection.

    If a close leaves nothing unread, the kernel closes the connection regularly at
    first, and resets it once more of the upload arrives.
    """

    READ_ALL = "read all, then close"
    CLOSE_AND_READ_ALL = "close the answer, then read all"
    RESET = "reset"
    CLOSE = "close"
    CLOSE_BEFORE_RESET = "close before reset"
    CLOSE_WELL_BEFORE_RESET = "close well before reset"

    @property
    def is_sound(self):
        """Whether the server gets the whole request, so that its answer is whole."""
        return self in (Ending.READ_ALL, Ending.CLOSE_AND_READ_ALL)


# For how long the server's direction is closed before the reset.
CLOSED_S = {Ending.CLOSE_BEFORE_RESET: 0.05, Ending.CLOSE_WELL_BEFORE_RESET: 0.6}


def part(number):
    """Return a part of a body, which is an event of a stream as well."""
    return b"id: %d\ndata: piece\n\n" % (number + 1)


def early(delay_s, ending, pieces):
    """Return how a part of an answer is sent before its connection ends."""

    async def send(head, body, reader, writer):
        writer.write(head + b"\r\n" + part(0))
        for number in range(1, pieces + 1):
            await asyncio.sleep(delay_s)
            writer.write(part(number))
        opened = writer.get_extra_info("socket")
        if ending is Ending.CLOSE_AND_READ_ALL:
            opened.shutdown(socket.SHUT_WR)
        if ending.is_sound:
            await reader.readexactly(UPLOAD_BYTES)
            return False
        await reader.read(READ_BYTES)
        if ending in CLOSED_S:
            opened.shutdown(socket.SHUT_WR)
            await asyncio.sleep(CLOSED_S[ending])
        set_reset_on_close(opened, ending is not Ending.CLOSE)
        writer.transport.abort()
        return False

    return send


async def upload(deployment, target, is_chunked):
    """Send a long request to the first node; return all bytes of its answer.

    No two are alike, as one that is cut often counts as one that crashes servers.
    """
    reader, writer = await connect(deployment.nodes[0].settings.callers)
    number = next(deployment._numbers)
    sent = {"Connection": "close"}
    request = request_bytes(target, f"id-{number}", b"", DEADLINE_S, sent)
    body = b"%8d" % number * (UPLOAD_BYTES // 8)
    framing = b"Content-Length: %d" % UPLOAD_BYTES
    if is_chunked:
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (UPLOAD_BYTES, body)
        framing = b"Transfer-Encoding: chunked"
    try:
        writer.write(request.replace(b"Content-Length: 0", framing) + body)
        async with asyncio.timeout(DEADLINE_S + 1.0):
            return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


async def upload_until_read(deployment, target, is_chunked, server):
    """Send a long request again while the node closes its connection unread.

    It does so while the event loop is late, and counts it; nothing has run then.
    """
    counts = deployment.nodes[0].counters.totals
    for _ in range(MOST_TRIES):
        unread = counts[CLOSED_UNREAD]
        answered = await upload(deployment, target, is_chunked)
        if answered or server.answered or counts[CLOSED_UNREAD] == unread:
            break
    return answered


async def check(deployment, is_chunked, ending):
    """Fail if a part of an answer is passed off as whole."""
    large = configuration(2)
    large["Limits"]["MaxBodyBytes"] = UPLOAD_BYTES
    deployment.store.put("op", "config", large)
    nodes = deployment.nodes
    await until(lambda: all(n.deployments.current.number == 2 for n in nodes))
    for target, service in SERVICE_BY_TARGET.items():
        for delay_s, pieces in ((0.0, 0), (0.02, 3), (0.2, 1)):
            send = early(delay_s, ending, pieces)
            async with only_server(deployment, service, send, EarlyEngine) as server:
                answered = await upload_until_read(
                    deployment, target, is_chunked, server
                )
                case = (target, delay_s, pieces, answered)
                assert server.answered.count(target) == 1, case
                if ending.is_sound:
                    assert answered.startswith(b"HTTP/1.1 200 "), case
                    assert answered.count(b"piece") == 1 + pieces, case
                    assert service == "desk" or answered.endswith(LAST_CHUNK), case
                elif service == "desk":
                    assert answered.startswith(b"HTTP/1.1 502 "), case
                else:
                    assert not answered.endswith(LAST_CHUNK), case


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
class TestUploads:
    # Guards against a part of an answer that counts as whole because its server began
    # or closed it before it reset the connection, and against a whole one that does
    # not because its server read the upload later.
    async def test_directly(self, is_chunked, ending):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            await check(deployment, is_chunked, ending)

    # Guards against the same on connections through another host.
    async def test_through_another_host(self, is_chunked, ending):
        async with LinkedDeployment(nodes=2, servers=1, proxied=False) as deployment:
            await cut_off(deployment)
            await check(deployment, is_chunked, ending)
