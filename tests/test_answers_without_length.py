"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from eelgrass_standins.ports import free_addresses
from support.closing_engine import ClosingEngine, Ending
from support.connections import connect
from support.entry import COMPLETE_STREAM, HOST, KEY, EntryDeployment, until
from support.raw_engine import RawEngine

SEGMENTS = {"Eelgrassward_Segments": "2,1,5", "Eelgrassward_Segment_Key": "key"}
BODY = b"a body of some length"


class Deployment(EntryDeployment):
    """One node, and two servers of each service that send answers without length."""

    def __init__(self):
        super().__init__(nodes=1)
        self.closing: dict[str, list[ClosingEngine]] = {}

    async def start_engine(self, service, server_id, **options):
        [address] = free_addresses(1)
        engine = ClosingEngine(server_id, address)
        engine.version, engine.started = "v1", 1
        await engine.start()
        self.engines_by_service.setdefault(service, []).append(engine)
        self.list_engine(service, engine)
        return engine

    def end(self, service, *endings):
        """Set how the next answer of each server of a service ends."""
        for engine in self.engines_by_service[service]:
            engine.endings = list(endings)


@asynccontextmanager
async def deployed():
    async with Deployment() as deployment:
        try:
            yield deployment
        finally:
            for engines in deployment.engines_by_service.values():
                for engine in engines:
                    await engine.stop()


async def answer(deployment, target, **headers):
    """Return status and body; status 0 if the answer was broken off."""
    try:
        status, _, body = await deployment.ask(target, body=BODY, **headers)
    except aiohttp.ClientError:
        return 0, b""
    return status, body


class TestClose:
    """A close ends an answer; what came before it is whole."""

    @pytest.mark.parametrize(
        ("target", "expected"),
        [
            ("/safe/x", b"answer of " + BODY),
            ("/once/x", b"answer of " + BODY),
            ("/stream/resumed/x", COMPLETE_STREAM),
            ("/stream/single/x", COMPLETE_STREAM),
        ],
    )
    async def test_the_answer_is_whole(self, target, expected):
        async with deployed() as deployment:
            for _ in range(5):
                assert await answer(deployment, target) == (200, expected)

    async def test_results_of_stages_are_used(self):
        async with deployed() as deployment:
            status, body = await answer(deployment, "/stream/staged/x", **SEGMENTS)
            assert (status, body) == (200, COMPLETE_STREAM)
            ran = [e.answered for e in deployment.engines_by_service["portal"]]
            assert any("/-/stage-run" in paths for paths in ran)


class TestReset:
    """A reset breaks an answer off, whatever came before it."""

    # Guards against a part of an answer that is passed off as whole.
    @pytest.mark.parametrize(
        "ending", [Ending.RESET, Ending.RESET_AFTER_ALL, Ending.RESET_AT_ONCE]
    )
    async def test_an_answer_that_may_not_be_repeated_is_not_passed_off_as_whole(
        self, ending
    ):
        async with deployed() as deployment:
            for target, service in (
                ("/once/x", "desk"),
                ("/stream/single/x", "readers"),
            ):
                deployment.end(service, ending)
                status, _ = await answer(deployment, target)
                assert status in (0, 502)

    async def test_one_that_may_be_repeated_is_whole(self):
        async with deployed() as deployment:
            [first, second] = deployment.engines_by_service["desk"]
            for engine in (first, second):
                engine.endings = [Ending.RESET]
                other = second if engine is first else first
                other.endings = []
                status, body = await answer(deployment, "/safe/x")
                assert (status, body) == (200, b"answer of " + BODY)

    # Guards against stage results that are taken from half an answer.
    @pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSE_EARLY])
    async def test_stages_run_again_after_half_an_answer(self, ending):
        async with deployed() as deployment:
            [first, _] = deployment.engines_by_service["portal"]
            first.endings = [ending]
            for _ in range(3):
                status, body = await answer(deployment, "/stream/staged/x", **SEGMENTS)
                assert (status, body) == (200, COMPLETE_STREAM)

    # Guards against a server that crashed in the answer to a batch call and is not
    # recognized as crashed, so that an item that crashes servers is not either.
    async def test_a_server_that_crashed_in_a_batch_answer_is_reported(self):
        async with deployed() as deployment:
            deployment.end("portal", Ending.CRASH)
            await answer(deployment, "/stream/staged/x", **SEGMENTS)
            crashed = {
                engine.server_id
                for engine in deployment.engines_by_service["portal"]
                if engine.answered
            }
            assert crashed
            quarantine = deployment.nodes[0].poison_requests.quarantine
            await until(lambda: {s.id for _, s, _ in quarantine.crashes()} == crashed)


class TestNoBody:
    """An answer that can have no body ends with its head; its connection stays open."""

    # Guards against answers that are taken for cut because nothing ends them.
    @pytest.mark.parametrize(
        ("method", "status"), [("POST", 204), ("GET", 304), ("HEAD", 200)]
    )
    @pytest.mark.parametrize("target", ["/safe/x", "/once/x"])
    async def test_the_answer_is_whole(self, target, method, status):
        async def send(head, body, reader, writer):
            writer.write(head.replace(b"200 OK", b"%d -" % status) + b"\r\n")
            return True

        async with EntryDeployment(nodes=1) as deployment:
            [address] = free_addresses(1)
            engine = RawEngine("bodiless", address, send)
            await engine.start()
            for other in deployment.engines_by_service["desk"]:
                deployment.store.remove("servers", other.server_id)
            deployment.list_engine("desk", engine)
            backends = deployment.nodes[0].backends
            await until(lambda: len(backends.by_service["desk"]) == 1)
            for _ in range(3):
                answered = await deployment.ask(target, method=method)
                assert (answered[0], answered[2]) == (status, b"")
            engine.stop()


class TestCallerWithoutChunks:
    """A caller of HTTP/1.0 gets streams that end with its connection."""

    # Guards against a part of a stream that a regular close passes off as whole.
    async def test_a_stream_that_is_broken_off_is_reset(self):
        async with deployed() as deployment:
            deployment.end("readers", Ending.RESET)
            with pytest.raises(ConnectionResetError):
                await ask_without_chunks(deployment, "/stream/single/x")

    async def test_a_whole_stream_is_closed(self):
        async with deployed() as deployment:
            answered = await ask_without_chunks(deployment, "/stream/single/x")
            assert answered.startswith(b"HTTP/1.0 200 OK")
            assert answered.endswith(b"\r\n\r\n" + COMPLETE_STREAM)


async def ask_without_chunks(deployment, target):
    """Send a request of HTTP/1.0; return all bytes until its connection is closed."""
    reader, writer = await connect(deployment.nodes[0].settings.callers)
    writer.write(
        f"POST {target} HTTP/1.0\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
        "Eelgrassward-Attempt-Id: 1\r\nEelgrassward-Deadline-Ms: 3000\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    try:
        async with asyncio.timeout(5):
            return await reader.read(-1)
    finally:
        writer.close()


class TestStreamEndsInsideAnEvent:
    """A stream that is closed inside an event was broken off."""

    # Guards against a stream without its last events that looks complete.
    async def test_one_that_may_be_resumed_goes_on_elsewhere(self):
        async with deployed() as deployment:
            [first, _] = deployment.engines_by_service["readers"]
            first.endings = [Ending.CLOSE_EARLY]
            for _ in range(3):
                status, body = await answer(deployment, "/stream/resumed/x")
                assert (status, body) == (200, COMPLETE_STREAM)

    async def test_one_that_may_not_be_resumed_is_broken_off(self):
        async with deployed() as deployment:
            deployment.end("readers", Ending.CLOSE_EARLY)
            status, _ = await answer(deployment, "/stream/single/x")
            assert status == 0
