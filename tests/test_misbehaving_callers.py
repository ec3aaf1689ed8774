"""What a process holds for callers that send, or do not read, as much as they can.

The machine of these tests is small, and so are the crowds. What a process holds, with
what the kernel has for it, must fit into the machine's memory, and an ordinary caller
is answered while the crowd is connected.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator

import msgspec
import pytest
from aiohttp import web

from eelgrass_standins.entry_engines import EngineStandIn
from eelgrass_standins.samples import ACCOUNT_KEY, sample_deployment
from support.crowds import (
    Crowd,
    LimitedDeployment,
    Usage,
    UsageWatch,
    chunk,
    is_answered,
    ordinary_request,
    request_head,
)
from support.processes import ProcessDeployment
from support.raw_calls import read_answer, request_bytes

MAX_BODY_BYTES = LimitedDeployment.max_body_bytes
LARGE = b"x" * (MAX_BODY_BYTES - 1)
MEDIUM = b"x" * 200_000
SMALL = b"x" * 262_143
PIECE = b"x" * (1 << 18)
# Bytes of a body that come one by one.
TRICKLED = 200
LENGTH = f"Content-Length: {MAX_BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"
SEGMENTS = ("Eelgrassward-Segments: 2,1,5", "Eelgrassward-Segment-Key: key")
LARGE_FIELD = "x" * 15_000
MANY_PARTS = ",".join("a:1" for _ in range(3_700))
LARGE_ANSWER = b"x" * 3_000_000
LARGE_EVENT = b"data: %s\n\n" % (b"x" * 60_000)
# The bound of the product's own program, whose machine is that of the users.
DEFAULT_MEMORY_BYTES = 300_000_000

pytestmark = pytest.mark.processes


class Case(msgspec.Struct, frozen=True):
    """A crowd: its size, and what the member of a number sends."""

    size: int
    parts: Callable[[int], Iterator[bytes]]
    pause_s: float = 0.0
    stagger_s: float = 0.0


def by_length(path: str, body: bytes, *fields: str):
    def parts(number):
        yield request_head(path, number, LENGTH, *fields)
        yield body

    return parts


def by_chunks(pieces: int, piece: bytes):
    def parts(number):
        yield request_head("/safe/x", number, CHUNKED)
        for _ in range(pieces):
            yield chunk(piece)

    return parts


def in_pieces(number):
    yield request_head("/safe/x", number, LENGTH)
    for _ in range(MAX_BODY_BYTES // len(PIECE)):
        yield PIECE[:-1]


def trickling(number):
    yield request_head("/safe/x", number, LENGTH)
    yield LARGE[:-TRICKLED]
    yield from [b"x"] * TRICKLED


def ahead(count: int, body: bytes, *fields: str):
    def parts(number):
        for n in range(count):
            length = f"Content-Length: {len(body)}"
            yield request_head("/safe/x", number * count + n, length, *fields) + body

    return parts


def unended_head(field_bytes: int):
    def parts(number):
        yield b"POST /safe/x HTTP/1.1\r\n"
        for n in range(120):
            yield b"Field-%d: %s\r\n" % (n, b"x" * field_bytes)

    return parts


def once(path: str, *fields: str):
    def parts(number):
        yield request_head(path, number, "Content-Length: 0", *fields)

    return parts


WHOLE = LARGE + b"x"
MODERATE = b"x" * 10_000
ANSWER = b"answer of "
BODIES = {
    "one byte short": Case(150, by_length("/safe/x", LARGE)),
    "one byte short, in chunks": Case(150, by_chunks(1, LARGE)),
    "one byte short, in pieces": Case(150, in_pieces, 0.15),
    "one byte short, after a trickle": Case(150, trickling, 0.15),
    "no route": Case(150, by_length("/none/x", LARGE)),
    "larger than allowed": Case(8, by_chunks(96, PIECE)),
    "many small ones": Case(600, by_length("/safe/x", SMALL)),
    "whole": Case(150, by_length("/safe/x", WHOLE)),
    "whole, of streams": Case(150, by_length("/stream/resumed/x", WHOLE)),
    "whole, with stages": Case(150, by_length("/stream/staged/x", WHOLE, *SEGMENTS)),
}
AHEAD = {
    "large bodies": Case(8, ahead(200, WHOLE)),
    "medium bodies": Case(40, ahead(100, MEDIUM)),
    "large heads": Case(150, ahead(100, b"", f"Field: {LARGE_FIELD}")),
    "no bodies": Case(40, ahead(2000, b"")),
    "no bodies, many connections": Case(250, ahead(4000, b"")),
    "unended heads": Case(60, unended_head(30_000)),
}
HEADS = {
    "many parts": Case(
        400, once("/stream/single/x", f"Eelgrassward-Prompt-Prefix: {MANY_PARTS}")
    ),
    "many items": Case(
        250,
        once(
            "/stream/staged/x",
            "Eelgrassward-Segments: 10000,10000,10000",
            "Eelgrassward-Segment-Key: key",
        ),
    ),
}


async def never(engine, request, headers):
    """Answer with nothing, as a server with a long queue does."""
    await asyncio.Event().wait()


async def large_answer(engine, request):
    """Answer with a large body, whatever is asked for."""
    await request.read()
    return web.Response(headers=engine._headers(request), body=LARGE_ANSWER)


async def endless_stream(engine, request, headers):
    """Answer with large events, without end."""
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    for number in itertools.count(1):
        await response.write(b"id: %d\n%s" % (number, LARGE_EVENT))


async def check_crowd(deployment, case: Case, address: str) -> Usage:
    [node] = deployment.soak_nodes
    async with UsageWatch(node.process.pid) as watch:
        async with Crowd(address, case.size, case.parts, case.pause_s, case.stagger_s):
            assert await is_answered(node.callers, ordinary_request)
        assert await is_answered(node.callers, ordinary_request)
        watch.sample()
    assert node.process.running()
    assert watch.peak.bytes <= deployment.memory_bytes
    assert watch.peak.descriptors <= deployment.max_descriptors
    return watch.peak


@pytest.mark.parametrize("name", BODIES)
class TestBodies:
    # Guards against bodies that are read without a bound for all of them together.
    async def test_a_crowd_of_them(self, tmp_path, name):
        async with LimitedDeployment(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            await check_crowd(deployment, BODIES[name], address)


@pytest.mark.parametrize("name", AHEAD)
class TestRequestsSentAhead:
    # Guards against requests that pile up behind one whose answer is not read.
    async def test_their_answers_are_not_read(self, tmp_path, name):
        async with LimitedDeployment(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            await check_crowd(deployment, AHEAD[name], address)


class TestWaitingRequests:
    # Guards against whole requests that pile up while their server does not answer.
    @pytest.mark.parametrize("path", ["/stream/resumed/x", "/stream/single/x"])
    async def test_bodies_of_calls_in_flight(self, tmp_path, monkeypatch, path):
        monkeypatch.setattr(EngineStandIn, "_stream", never)
        async with LimitedDeployment(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            case = Case(150, by_length(path, WHOLE))
            await check_crowd(deployment, case, address)

    # Guards against heads that take many times their size once they are decoded.
    @pytest.mark.parametrize("name", HEADS)
    async def test_heads_of_calls_in_flight(self, tmp_path, monkeypatch, name):
        monkeypatch.setattr(EngineStandIn, "_stream", never)
        async with LimitedDeployment(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            await check_crowd(deployment, HEADS[name], address)


class TestUnreadAnswers:
    # Guards against answers that are kept for callers which do not read them.
    async def test_whole_answers(self, tmp_path, monkeypatch):
        handle = EngineStandIn._handle

        async def answer(engine, request):
            is_large = request.path.startswith("/safe/large")
            return await (large_answer if is_large else handle)(engine, request)

        monkeypatch.setattr(EngineStandIn, "_handle", answer)
        async with LimitedDeployment(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            await check_crowd(deployment, Case(100, once("/safe/large")), address)

    # Guards against events that pile up in buffers between a server and its caller.
    @pytest.mark.parametrize(
        ("path", "size"),
        [
            ("/stream/resumed/x", 150),
            ("/stream/single/x", 150),
            ("/stream/resumed/x", 390),
        ],
    )
    async def test_streams(self, tmp_path, monkeypatch, path, size):
        monkeypatch.setattr(EngineStandIn, "_stream", endless_stream)
        async with LimitedDeployment(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            await check_crowd(deployment, Case(size, once(path)), address)


class TestOrdinaryCallers:
    # Guards against limits that a single largest legal request meets.
    @pytest.mark.parametrize("head", [LENGTH, CHUNKED])
    async def test_a_largest_request_is_served_in_calm(self, tmp_path, head):
        async with LimitedDeployment(tmp_path) as deployment:
            body = WHOLE if head == LENGTH else chunk(WHOLE) + chunk(b"")
            request = request_head("/safe/x", 0, head) + body
            [answer] = await answers_to(deployment, [request])
            assert (answer.status, len(answer.body)) == (200, len(ANSWER + WHOLE))

    # Guards against limits that an ordinary burst meets.
    async def test_a_burst_is_served_in_calm(self, tmp_path):
        async with LimitedDeployment(tmp_path) as deployment:
            length = f"Content-Length: {len(MODERATE)}"
            answers = await answers_to(
                deployment,
                [request_head("/safe/x", n, length) + MODERATE for n in range(100)],
            )
            assert [answer.status for answer in answers] == [200] * 100

    # Guards against a slow honest caller that is refused for others that stopped.
    async def test_a_slow_one_is_served_among_others_that_stopped(self, tmp_path):
        async with LimitedDeployment(tmp_path) as deployment:
            case = BODIES["one byte short"]
            address = deployment.soak_nodes[0].callers
            async with Crowd(address, case.size, case.parts, stagger_s=0.02):
                pieces = [WHOLE[n : n + 50_000] for n in range(0, len(WHOLE), 50_000)]
                request = [request_head("/safe/x", 0, LENGTH), *pieces]
                [answer] = await answers_to(deployment, [request], pause_s=0.1)
                assert answer.status == 200


async def answers_to(deployment, requests, pause_s=0.0):
    """Send requests at once, each on its connection, in parts if it is a list."""
    host, _, port = deployment.soak_nodes[0].callers.rpartition(":")

    async def answer_to(request):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for part in request if isinstance(request, list) else [request]:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
            return await read_answer(reader)
        finally:
            writer.close()

    return await asyncio.gather(*map(answer_to, requests))


class FewDescriptors(LimitedDeployment):
    """A node that may open few connections."""

    max_descriptors = 600
    # What callers' connections may use of them, beside those for files.
    caller_descriptors = 200 + 120


class TestDescriptors:
    # Guards against connections that use up all descriptors and are never closed.
    @pytest.mark.parametrize("sent", [b"", b"POST /safe/x HTTP/1.1\r\n"])
    async def test_connections_that_send_no_request(self, tmp_path, sent):
        async with LimitedDeployment(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            await check_crowd(deployment, Case(1500, lambda _: iter([sent])), address)

    # Guards against refused connections that stay open while others take their place.
    async def test_connections_that_are_evicted(self, tmp_path):
        async with FewDescriptors(tmp_path) as deployment:
            address = deployment.soak_nodes[0].callers
            case = Case(3000, by_length("/safe/x", b"x"), stagger_s=0.001)
            peak = await check_crowd(deployment, case, address)
            assert peak.descriptors <= deployment.caller_descriptors


DOORS = ("readiness", "internal", "metrics")


class TestOtherDoors:
    # Guards against bodies that are read at the listeners of a node besides callers'.
    @pytest.mark.parametrize("door", DOORS)
    @pytest.mark.parametrize("how", ["length", "chunks", "head"])
    async def test_a_crowd_of_bodies(self, tmp_path, door, how):
        async with LimitedDeployment(tmp_path) as deployment:
            path, address = deployment.door(door)

            def parts(number):
                if how == "head":
                    yield from unended_head(8_000)(number)
                    return
                fields = (
                    ("Content-Length: 60000000",) if how == "length" else (CHUNKED,)
                )
                yield request_head(path, number, *fields)
                for _ in range(16):
                    yield PIECE if how == "length" else chunk(PIECE)

            await check_crowd(deployment, Case(150, parts), address)

    # Guards against relays that hold what their clients do not read.
    async def test_relayed_answers_that_are_not_read(self, tmp_path, monkeypatch):
        monkeypatch.setattr(EngineStandIn, "_stream", endless_stream)
        async with LimitedDeployment(tmp_path) as deployment:
            [engine] = deployment.engines_by_service["readers"]

            def parts(number):
                yield b"CONNECT %s HTTP/1.1\r\n\r\n" % engine.address.encode()
                expects = f"Eelgrassward-Expect-Engine: {engine.server_id}"
                yield request_head("/stream/x", number, expects, "Content-Length: 0")

            _, address = deployment.door("gossip")
            await check_crowd(deployment, Case(100, parts), address)


OWN_BODY_BYTES = 4 << 20
MEMBER = b'{"":1},'
OWN_PATH = "/v1/pipelines/current-issue/requests"


def own_request(body: bytes, length: int, path: str = OWN_PATH) -> bytes:
    fields = {"Authorization": f"Bearer {ACCOUNT_KEY}", "Content-Length": str(length)}
    return request_bytes(path, "own", b"", 3.0, fields) + body


def stopping_short(path: str):
    def parts(number):
        yield own_request(b"x" * (OWN_BODY_BYTES - 1), OWN_BODY_BYTES, path)

    return parts


def many_members(number):
    """Send a body that takes many times its size once it is decoded."""
    count = OWN_BODY_BYTES // len(MEMBER)
    body = b'{"account": "permit-clerks", "input": [%s0]}' % (MEMBER * (count - 10))
    yield own_request(body, len(body))


def own_ordinary_request(number: int) -> bytes:
    body = msgspec.json.encode({"account": "permit-clerks", "input": "A-101"})
    return own_request(body, len(body))


OWN = {
    "callers": ("callers", stopping_short(OWN_PATH)),
    "internal": ("internal", stopping_short("/peer/v1/changes")),
    "decoded": ("callers", many_members),
}


@pytest.mark.parametrize("name", OWN)
class TestOwnFrontDoor:
    # Guards against bodies that the product's own program reads without such a bound.
    async def test_a_crowd_of_bodies(self, tmp_path, name):
        door, parts = OWN[name]
        spec = sample_deployment(engines=1, pool_size=1)
        limits = {"limits": {"max_body_bytes": OWN_BODY_BYTES}}
        async with ProcessDeployment(
            spec, tmp_path, nodes=1, settings=limits
        ) as deployment:
            [process] = deployment.nodes
            address, callers = getattr(deployment, door)(0), deployment.callers(0)
            async with UsageWatch(process.pid) as watch:
                async with Crowd(address, 100, parts):
                    assert await is_answered(callers, own_ordinary_request)
                assert await is_answered(callers, own_ordinary_request)
                watch.sample()
            assert process.running()
            assert watch.peak.bytes <= DEFAULT_MEMORY_BYTES
