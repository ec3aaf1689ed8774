"""Callers that end their own direction of a connection and still wait for answers."""

import asyncio

import pytest

from eelgrass_standins.entry_engines import EngineFault
from support.connections import connect
from support.entry import (
    COMPLETE_STREAM,
    HOST,
    KEY,
    EntryDeployment,
    configuration,
    until,
)

pytestmark = pytest.mark.asyncio

# By the rules, work for a caller that has left ends within this time.
GONE_S = 0.5


def request_bytes(target, request_id, body=b"body"):
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Eelgrassward-Attempt-Id: {request_id}\r\nEelgrassward-Deadline-Ms: 3000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def half_close(entry, *requests):
    """Send requests, end the own direction, and return all that is answered."""
    reader, writer = await connect(entry.nodes[0].settings.callers)
    try:
        writer.write(b"".join(requests))
        writer.write_eof()
        return await asyncio.wait_for(reader.read(), 2.0)
    finally:
        writer.close()


async def change_configuration(entry):
    """Write a new version every 50 ms until cancelled."""
    version = 1
    while True:
        version += 1
        entry.store.put("op", "config", configuration(version))
        await asyncio.sleep(0.05)


def hang_all(entry, service):
    for engine in entry.engines_by_service[service]:
        engine.faults = [EngineFault.HANG] * 4


def cancelled(entry, service):
    return sum(engine.cancelled for engine in entry.engines_by_service[service])


class TestPlainRequests:
    # Guards against a closed connection in place of the answer to a whole request.
    async def test_a_whole_request_is_answered(self):
        async with EntryDeployment(nodes=1) as entry:
            answer = await half_close(entry, request_bytes("/safe/x", "one"))
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.endswith(b"\r\n\r\nanswer of body")

    # Guards against the same while the configuration changes.
    async def test_they_are_answered_beside_changes_of_configuration(self):
        async with EntryDeployment(nodes=1) as entry:
            changes = asyncio.create_task(change_configuration(entry))
            for number in range(30):
                request = request_bytes("/once/x", f"id-{number}")
                answer = await half_close(entry, request)
                assert answer.startswith(b"HTTP/1.1 200 "), number
                await asyncio.sleep(0.02)
            changes.cancel()

    # Guards against an answer to the first of two requests only, and against a
    # connection that stays open.
    async def test_pipelined_requests_are_all_answered(self):
        async with EntryDeployment(nodes=1) as entry:
            first = request_bytes("/safe/x", "one", b"first")
            second = request_bytes("/safe/x", "two", b"second")
            answer = await half_close(entry, first, second)
            assert answer.count(b"HTTP/1.1 200 ") == 2
            assert answer.index(b"answer of first") < answer.index(b"answer of second")

    # Guards against no refusal at the end of the grace period, and against one that
    # says of a request at a server that it has not run.
    async def test_a_request_that_takes_too_long_is_refused_as_it_may_have_run(self):
        async with EntryDeployment(nodes=1) as entry:
            hang_all(entry, "desk")
            answer = await half_close(entry, request_bytes("/once/x", "one"))
            assert answer.startswith(b"HTTP/1.1 502 ")
            assert b"Engine-Signature" not in answer

    # Guards against a request that waits behind a slow one and begins after the grace
    # period.
    async def test_a_request_behind_a_slow_one_is_refused_without_running(self):
        async with EntryDeployment(nodes=1) as entry:
            hang_all(entry, "desk")
            first = request_bytes("/once/x", "one")
            second = request_bytes("/once/x", "two")
            answer = await half_close(entry, first, second)
            assert answer.startswith(b"HTTP/1.1 502 ")
            assert answer.count(b"HTTP/1.1 503 ") == 1
            assert answer.partition(b"HTTP/1.1 503 ")[2].count(b"Retry-After: ") == 1
            assert [run.request_id for run in entry.runs("desk")] == ["one"]

    # Guards against a part of a body that is taken for a whole one, and against a
    # connection that stays open.
    async def test_a_request_without_its_whole_body_does_not_run(self):
        async with EntryDeployment(nodes=1) as entry:
            whole = request_bytes("/safe/x", "one")
            answer = await half_close(
                entry, whole, request_bytes("/safe/x", "two")[:-1]
            )
            assert answer.count(b"HTTP/1.1 ") == 1
            assert await half_close(entry, request_bytes("/safe/x", "two")[:-1]) == b""
            assert [run.request_id for run in entry.runs("desk")] == ["one"]


class TestStreams:
    # Guards against a short stream that is cut, and against a connection that stays
    # open after its end.
    async def test_a_short_stream_is_whole(self):
        async with EntryDeployment(nodes=1, event_s=0.02) as entry:
            answer = await half_close(entry, request_bytes("/stream/single/x", "one"))
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.count(b"data: piece-") == COMPLETE_STREAM.count(b"data: ")
            assert answer.endswith(b"\r\n0\r\n\r\n")

    # Guards against a stream that ends early and looks complete, and against a server
    # that goes on with it.
    async def test_a_long_stream_is_closed_and_its_server_stops(self):
        async with EntryDeployment(nodes=1, event_s=0.2) as entry:
            answer = await half_close(entry, request_bytes("/stream/single/x", "one"))
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert not answer.endswith(b"\r\n0\r\n\r\n")
            await until(lambda: cancelled(entry, "readers") == 1, GONE_S)


class TestCallersThatLeave:
    # Guards against a grace period that lets servers work on for callers that left.
    @pytest.mark.parametrize("target", ["/stream/single/x", "/stream/resumed/x"])
    async def test_servers_stop_within_half_a_second(self, target):
        async with EntryDeployment(nodes=1, event_s=0.25) as entry:
            _, writer = await connect(entry.nodes[0].settings.callers)
            writer.write(request_bytes(target, "one"))
            await until(lambda: entry.runs("readers"))
            writer.close()
            await until(lambda: cancelled(entry, "readers") == 1, GONE_S)
            await until(lambda: entry.nodes[0].stopping.count == 0, 0.1)

    # Guards against callers that left and are counted as answers that a host cut.
    async def test_a_resumable_stream_is_not_counted_as_cut(self):
        async with EntryDeployment(nodes=1, event_s=0.05) as entry:
            [node] = entry.nodes
            reader, writer = await connect(node.settings.callers)
            writer.write(request_bytes("/stream/resumed/x", "one"))
            await reader.readuntil(b"data: ")
            writer.close()
            await until(lambda: node.stopping.count == 0, GONE_S)
            assert node.counters.totals["caller.gone"] == 1
            assert node.counters.totals["answer.cut"] == 0

    # Guards against a reset that is taken for a half-close, so that work goes on for
    # the grace period.
    async def test_a_reset_ends_the_work_at_once(self):
        async with EntryDeployment(nodes=1, event_s=0.5) as entry:
            _, writer = await connect(entry.nodes[0].settings.callers)
            writer.write(request_bytes("/stream/single/x", "one"))
            await until(lambda: entry.runs("readers"))
            writer.transport.abort()
            await until(lambda: cancelled(entry, "readers") == 1, GONE_S)

    # Guards against an idle connection that stays open after its caller's end.
    async def test_an_idle_connection_is_closed(self):
        async with EntryDeployment(nodes=1) as entry:
            assert await half_close(entry) == b""
