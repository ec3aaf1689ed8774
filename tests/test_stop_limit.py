"""Requests that are still in flight when the time of a planned stop is over."""

import asyncio
import itertools
import re

import pytest

from eelgrass_node.connection import listeners
from eelgrass_node.entry_node import STOP_RESERVE_S
from eelgrass_node.process import stopping
from eelgrass_node.process.stream_origins import durable_origins
from eelgrass_standins.entry_engines import EngineFault
from support.connections import connect
from support.entry import HOST, KEY, EntryDeployment, until
from support.raw_calls import AnswerCut, read_answer

pytestmark = pytest.mark.asyncio

LIMIT_S = 0.3
PIPELINED = 4
LATE_CALLERS = 20
SERVICES = ("desk", "readers")


def request_bytes(target, body=b"body", length=4):
    return (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
        "Eelgrassward-Attempt-Id: one\r\nEelgrassward-Deadline-Ms: 9000\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode() + body


async def answer_of_stopping_node(entry, request, is_in_flight):
    """Send a request, stop its node, and return the answer and whether it is clean."""
    node = entry.nodes[0]
    node.stopping._notice_s, node.stopping._limit_s = 0.0, LIMIT_S
    reader, writer = await connect(node.settings.callers)
    try:
        writer.write(request)
        await until(is_in_flight)
        node.stopping.request()
        clean = await node.run_until_stopped()
        # The process closes the node and ends as soon as the stop is over.
        await node.close()
        return await asyncio.wait_for(reader.read(), 2.0), clean
    finally:
        writer.close()


class TestRequestsAtServers:
    # Guards against a closed connection in place of a refusal, where a server hangs
    # for longer than the stop may take.
    async def test_a_request_that_may_have_run_is_refused_with_502(self):
        async with EntryDeployment(nodes=1) as entry:
            for engine in entry.engines_by_service["desk"]:
                engine.faults = [EngineFault.HANG]
            answer, clean = await answer_of_stopping_node(
                entry, request_bytes("/once/x"), lambda: entry.runs("desk")
            )
            assert answer.startswith(b"HTTP/1.1 502 ")
            [length] = re.findall(rb"Content-Length: (\d+)", answer)
            assert len(answer.partition(b"\r\n\r\n")[2]) == int(length)
            assert clean is False
            servers = entry.nodes[0].backends.by_id.values()
            assert [server.in_flight for server in servers if server.in_flight] == []


class TestRequestsThatHaveNotRun:
    # Guards against a closed connection in place of a refusal that says that the
    # request has not run.
    async def test_they_are_refused_with_503(self):
        async with EntryDeployment(nodes=1) as entry:
            node = entry.nodes[0]
            answer, clean = await answer_of_stopping_node(
                entry, request_bytes("/once/x", b"bo"), lambda: node.stopping.count
            )
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: " in answer
            assert clean is False
            assert entry.runs("desk") == []


class TestStreams:
    # Guards against a stream that a stop breaks off and that looks complete.
    async def test_a_begun_stream_is_closed(self):
        async with EntryDeployment(nodes=1, event_s=0.5) as entry:
            answer, clean = await answer_of_stopping_node(
                entry, request_bytes("/stream/single/x"), lambda: entry.runs("readers")
            )
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert not answer.endswith(b"\r\n0\r\n\r\n")
            assert clean is False
            engines = entry.engines_by_service["readers"]
            await until(lambda: sum(engine.cancelled for engine in engines) == 1, 0.5)


class TestPipelinedRequests:
    # Guards against an answer that announces the close of its connection though whole
    # requests wait behind it, which then get none.
    @pytest.mark.parametrize("notice_s", [0.0, 1.0])
    async def test_all_are_answered(self, notice_s):
        async with EntryDeployment(nodes=1, event_s=0.05) as entry:
            node = entry.nodes[0]
            node.stopping._notice_s, node.stopping._limit_s = notice_s, 3.0
            reader, writer = await connect(node.settings.callers)
            if notice_s:
                node.stopping.request()
            requests = ["/stream/single/x", *["/once/x"] * (PIPELINED - 1)]
            for target in requests:
                writer.write(request_bytes(target))
            await until(lambda: entry.runs("readers"))
            node.stopping.request()
            stop = asyncio.create_task(node.run_until_stopped())
            answers = [await read_answer(reader) for _ in requests]
            later = 200 if notice_s else 503
            expected = [200] + [later] * (PIPELINED - 1)
            assert [answer.status for answer in answers] == expected
            stays_open = [answer.stays_open for answer in answers]
            assert stays_open == [True] * (PIPELINED - 1) + [False]
            writer.close()
            assert await stop


class TestRequestsThatComeLate:
    # Guards against requests that are taken late in a planned stop, passed on and then
    # cut, so that they have run without an answer.
    @pytest.mark.parametrize("target", ["/once/x", "/stream/single/x"])
    async def test_each_is_answered_or_has_not_run(self, target):
        async with EntryDeployment(nodes=1, event_s=0.05) as entry:
            node = entry.nodes[0]
            node.stopping._notice_s, node.stopping._limit_s = 0.5, 2.0
            outcomes: dict[str, int] = {}

            async def call_on(caller):
                reader, writer = await connect(node.settings.callers)
                try:
                    for number in itertools.count():
                        request_id = f"{caller}-{number}"
                        outcomes[request_id] = 0
                        writer.write(
                            request_bytes(target).replace(
                                b": one", f": {request_id}".encode()
                            )
                        )
                        answer = await read_answer(reader)
                        outcomes[request_id] = answer.status
                        if not answer.stays_open:
                            return
                except (AnswerCut, OSError):
                    pass
                finally:
                    writer.close()

            callers = [asyncio.create_task(call_on(n)) for n in range(LATE_CALLERS)]
            await until(lambda: len(outcomes) > 2 * LATE_CALLERS)
            node.stopping.request()
            assert await node.run_until_stopped()
            await node.close()
            await asyncio.wait_for(asyncio.gather(*callers), 2.0)
            runs = [
                run.request_id for service in SERVICES for run in entry.runs(service)
            ]
            assert len(runs) == len(set(runs))
            assert set(runs) == {n for n, status in outcomes.items() if status == 200}
            assert set(outcomes.values()) <= {0, 200, 503}


class TestTime:
    # Guards against a wait for refusals that takes time that the stop does not have.
    async def test_it_is_within_the_reserve_of_the_stop(self):
        assert stopping.REFUSAL_WAIT_S < STOP_RESERVE_S / 2

    # Guards against a stop that is killed before it ends because callers, servers and
    # the store all hang.
    async def test_the_last_write_and_the_close_are_within_the_reserve(self):
        ending_s = stopping.REFUSAL_WAIT_S + 2 * listeners.CLOSE_S
        assert ending_s + durable_origins.FLUSH_TIMEOUT_S < STOP_RESERVE_S
