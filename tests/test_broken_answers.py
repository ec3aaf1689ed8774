"""Broken heads are no answers and broken bodies are cut ones, wherever they come from.

The client library's parsers are lenient, each in its own way, so that the tests of what
counts run with both of them.
"""

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import http_parser

from eelgrass_coordination import Member
from eelgrass_coordination.ids import DataCentre, NodeId
from eelgrass_node.connection.relay_client import RelayClient
from eelgrass_node.connection.sockets import new_session
from eelgrass_node.exceptions import CallFailed, RelayUnavailable
from eelgrass_node.platform import requests
from eelgrass_node.request.incarnation_check import reported_start
from eelgrass_node.request.reasons import RetryReason
from eelgrass_standins.ports import free_addresses
from support.broken_answers import (
    BROKEN_BODIES,
    BROKEN_HEADS,
    LEAK,
    SOUND_ANSWERS,
    TYPICAL_HEADS,
    sending,
)
from support.connections import connect, listen
from support.entry import COMPLETE_STREAM, EntryDeployment, until
from support.host_links import LinkedDeployment, cut_off
from support.log_lines import log_lines
from support.other_calls import expect_no_answers
from support.raw_calls import request_bytes
from support.raw_engine import RawEngine, only_server

LINE = "hosts: A peer's answer is malformed; closing its connection."
STAGED = {"Eelgrassward-Segments": "2,1,5", "Eelgrassward-Segment-Key": "key"}
DEADLINE_S = 3.0
CALLS = 8
# A call that is still waiting by then would wait for its caller's deadline.
WAIT_S = 1.0
TARGETS_BY_SERVICE = {
    "desk": ("/safe/x", "/once/x"),
    "readers": ("/stream/resumed/x", "/stream/single/x"),
}


@pytest.fixture(
    params=[http_parser.HttpResponseParser, http_parser.HttpResponseParserPy],
    ids=["default", "pure-python"],
)
def parser(request, monkeypatch):
    """Have the client library parse answers with one of its parsers."""
    monkeypatch.setattr("aiohttp.client_proto.HttpResponseParser", request.param)


with_both_parsers = pytest.mark.usefixtures("parser")


def cases(answer_by_name):
    """Parametrize a test with answers by name."""
    return pytest.mark.parametrize(
        "answer", answer_by_name.values(), ids=answer_by_name.keys()
    )


def written(lines):
    return [line for line in lines if line["message"] == LINE]


async def raw_answer(deployment, target, headers=None):
    """Send a request to the first node; return all bytes of its answer."""
    reader, writer = await connect(deployment.nodes[0].settings.callers)
    sent = {"Connection": "close", **(headers or {})}
    number = next(deployment._numbers)
    writer.write(request_bytes(target, f"id-{number}", b"body", DEADLINE_S, sent))
    try:
        async with asyncio.timeout(DEADLINE_S + 1.0):
            return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


@with_both_parsers
class TestSessions:
    """All sessions of a host, those to the store and to other hosts as well."""

    @staticmethod
    async def get(answer, closed, lines=1):
        [address] = free_addresses(1)
        engine = RawEngine("engine", address, sending(answer, closed))
        await engine.start()
        try:
            with log_lines() as written_lines:
                async with new_session(10.0) as session:
                    url = f"http://{address}/x"
                    async with asyncio.timeout(WAIT_S), session.get(url) as response:
                        return response.status, await response.read()
        finally:
            await until(lambda: closed)
            engine.stop()
            assert len(written(written_lines)) == lines

    # Guards against a head that counts as an answer because a parser lets it through.
    @cases(BROKEN_HEADS)
    async def test_a_broken_head_is_no_answer(self, answer):
        closed = []
        with pytest.raises(aiohttp.ClientResponseError):
            await self.get(answer, closed)
        assert closed == [True]

    # Guards against a body that raises errors which no caller expects, or that ends
    # where the parser in use gives up.
    @cases(BROKEN_BODIES)
    async def test_a_broken_body_is_a_cut_one(self, answer):
        closed, is_cut = [], answer.endswith((b"he", b"hello\r\n", b"X-Trailer: a\r\n"))
        with pytest.raises(aiohttp.ClientPayloadError):
            await self.get(answer, closed, lines=0 if is_cut else 1)
        assert closed == [not is_cut]

    # Guards against sound answers that a rule for broken ones refuses.
    @cases(SOUND_ANSWERS)
    async def test_a_sound_answer_counts(self, answer):
        _, body = await self.get(answer, [], lines=0)
        assert body in (b"hello", b"hellohello", b"\r\n\r\n0\r\n\r\n")


@with_both_parsers
class TestPieces:
    # Guards against a decision that depends on how an answer is cut into packets.
    @pytest.mark.parametrize("name", ["trailers", "interim answers", "extensions"])
    async def test_a_sound_answer_arrives_byte_by_byte(self, name):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for byte in SOUND_ANSWERS[name].replace(b"@", b""):
                writer.write(bytes([byte]))
                await asyncio.sleep(0.001)
            await reader.read()

        server, address = await listen(serve)
        async with (
            new_session(10.0) as session,
            session.get(f"http://{address}/") as response,
        ):
            assert (response.status, await response.read()) == (200, b"hello")
        server.close()


class TestRequests:
    # Guards against broken heads that reach clients, as whole answers, as begun
    # streams or as errors.
    @with_both_parsers
    @cases(TYPICAL_HEADS)
    async def test_nothing_is_passed_on(self, answer):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            with log_lines() as lines:
                for service, targets in TARGETS_BY_SERVICE.items():
                    closed = []
                    send = sending(answer, closed)
                    async with only_server(deployment, service, send) as server:
                        for target in targets:
                            answered = await raw_answer(deployment, target)
                            assert answered.startswith(b"HTTP/1.1 502 "), answered
                            assert LEAK not in answered
                        await until(lambda: len(closed) == len(server.answered))  # noqa: B023
                        assert all(closed)
                        assert server.answered.count(targets[1]) == 1
                        assert len(written(lines)) == len(server.answered)
                        lines.clear()

    # Guards against requests that fail though another server would answer them.
    @cases(TYPICAL_HEADS)
    async def test_another_server_is_tried(self, answer):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            for service in TARGETS_BY_SERVICE:
                [address] = free_addresses(1)
                server = RawEngine(f"{service}-faulty", address, sending(answer))
                await server.start()
                deployment.list_engine(service, server)
                backends = deployment.nodes[0].backends
                await until(lambda: server.server_id in backends.by_id)  # noqa: B023
                target = TARGETS_BY_SERVICE[service][0]
                asked = [deployment.ask(target) for _ in range(CALLS)]
                for status, _, body in await asyncio.gather(*asked):
                    assert status == 200
                    assert body in (b"answer of body", COMPLETE_STREAM)
                assert server.answered
                server.stop()

    # Guards against callers who are told that a request has not run by a head that
    # counts for nothing.
    @pytest.mark.parametrize("line", [b"HTTP/2.0 503 Full", b"HTTP/1.1 503 Fu\0ll"])
    async def test_a_broken_refusal_is_none(self, line):
        answer = (
            line + b"\r\n@Eelgrassward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        async with (
            EntryDeployment(nodes=1, servers=1) as deployment,
            only_server(deployment, "desk", sending(answer)),
        ):
            answered = await raw_answer(deployment, "/once/x")
            assert answered.startswith(b"HTTP/1.1 502 ")

    # Guards against clients that get 500, or a part of a body as whole.
    @pytest.mark.parametrize(
        "name",
        [
            "letters as a size",
            "blank before a size",
            "chunk longer than its size",
            "trailer without a colon",
            "cut before the last chunk",
        ],
    )
    async def test_a_broken_body_is_a_cut_one(self, name):
        send = sending(BROKEN_BODIES[name])
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            for service, targets in TARGETS_BY_SERVICE.items():
                async with only_server(deployment, service, send):
                    answered = await raw_answer(deployment, targets[1])
                    if service == "desk":
                        assert answered.startswith(b"HTTP/1.1 502 "), answered
                    else:
                        assert not answered.endswith(b"\r\n0\r\n\r\n")
                        assert b" 500 " not in answered


class TestRelayedRequests:
    # Guards against the same on connections through another host.
    async def test_nothing_is_passed_on(self):
        async with LinkedDeployment(nodes=2, servers=1) as deployment:
            await cut_off(deployment)
            for name, answer in TYPICAL_HEADS.items():
                async with only_server(deployment, "desk", sending(answer)) as server:
                    answered = await raw_answer(deployment, "/once/x")
                    assert answered.startswith(b"HTTP/1.1 502 "), name
                    assert LEAK not in answered, name
                    assert server.answered == ["/once/x"]
                    backend = deployment.nodes[0].backends.by_id[server.server_id]
                    assert backend.is_relayed


class TestStageCalls:
    # Guards against results of stages that are taken from a broken answer, and against
    # requests that fail with them.
    @pytest.mark.parametrize(
        ("old", "new"),
        [
            (b"HTTP/1.1", b"HTTP/2.0"),
            (b"OK", b"O\0K"),
            (b"200 OK\r\n", b"200 OK\r\n X-Indented: a\r\n"),
            (b"200 OK\r\n", b"200 OK\r\nTransfer-Encoding: xchunked\r\n"),
        ],
    )
    async def test_another_server_is_tried(self, old, new):
        async def send(head, body, reader, writer):
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            writer.write(head.replace(old, new) + length + body)
            return False

        async with EntryDeployment(nodes=1, servers=1) as deployment:
            async with only_server(deployment, "portal", send) as server:
                answered = await raw_answer(deployment, "/stream/staged/x", STAGED)
                assert not answered.startswith(b"HTTP/1.1 200 ")
                assert server.answered
                crashes = deployment.nodes[0].poison_requests.quarantine.crashes()
                assert list(crashes) == []
                await deployment.start_engine("portal", "portal-sound")
                backends = deployment.nodes[0].backends
                await until(lambda: "portal-sound" in backends.by_id)
                for _ in range(CALLS):
                    answered = await raw_answer(deployment, "/stream/staged/x", STAGED)
                    assert answered.startswith(b"HTTP/1.1 200 ")


class TestReports:
    # Guards against a start of a server that is read from a broken answer.
    async def test_a_broken_head_reports_nothing(self):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            for name, answer in TYPICAL_HEADS.items():
                async with only_server(deployment, "desk", sending(answer)) as server:
                    backend = deployment.nodes[0].backends.by_id[server.server_id]
                    with pytest.raises(CallFailed) as failed:
                        await reported_start(requests, backend, DEADLINE_S)
                    assert failed.value.reason is RetryReason.BAD_ANSWER, name


@with_both_parsers
class TestOtherCalls:
    """Calls to the store, to other hosts and to the product's own platform."""

    # Guards against a table, or a state, that is read from a broken answer.
    @cases(TYPICAL_HEADS)
    async def test_a_broken_head_is_no_answer(self, answer):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await sending(answer.replace(LEAK, b"{}    "))(b"", b"", reader, writer)
            writer.close()

        server, address = await listen(serve)
        await expect_no_answers(address)
        server.close()


class TestAnswersOfRelays:
    # Guards against a relay's answer that ends the request with an error of its own,
    # or that counts although it is broken.
    @pytest.mark.parametrize(
        "head",
        [
            b"",
            b"HTTP/1.1",
            b"HTTP/2.0 200 Connection established",
            b"HTTP/1.1 200 Connection\0established",
            b"HTTP/1.1 200 Connection established\r\nA Name: x",
            b"garbage 200",
        ],
    )
    async def test_a_broken_head_opens_nothing(self, head):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + b"\r\n\r\n")

        server, address = await listen(serve)
        relay = Member(NodeId("relay"), DataCentre("a"), address, address, 1)
        unfit = []
        client = RelayClient(
            SimpleNamespace(on_unfit=unfit.append, on_fit=lambda member: None)
        )
        with log_lines() as lines:
            with pytest.raises(RelayUnavailable):
                await client.open_through(relay, "127.0.0.1:1")
            assert not await client.answers(relay, "127.0.0.1:1")
        assert unfit == [relay]
        assert len(written(lines)) == 2
        server.close()
