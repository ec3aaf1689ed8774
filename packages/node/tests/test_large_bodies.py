"""A large body on a slow link is not mistaken for a silent connection.

What a node stores and sends to backend servers grows with the deployment and with
callers' requests, and a link of 5 Mbit/s carries 0.6 MB in a second. A call that timed
out while its body was still being sent was retried and timed out again.
"""

import asyncio
import time
from contextlib import asynccontextmanager

import aiohttp
import msgspec
import pytest
from aiohttp import web

from eelgrass_coordination import HttpObjects, HttpTable, Transaction, Write
from eelgrass_coordination.exceptions import PlatformUnavailable
from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.exceptions import CallFailed
from eelgrass_node.platform import names, requests
from eelgrass_node.process.backends import Backend, HostEntry
from eelgrass_node.request.attempt import Attempt, AttemptOutcome, run_call
from eelgrass_node.request.engine_call import EngineCall
from eelgrass_node.request.model import CallerRequest
from eelgrass_node.request.retry_limits import PLAIN_HEAD_TIMEOUT_S
from eelgrass_node.version import Pipeline, Stage, StageKind
from eelgrass_standins.ports import free_addresses
from support.batching import routed
from support.fault_proxy import Direction, FaultProxy, Link

# A link of 5 Mbit/s.
LINK_BYTES_PER_S = 0.6e6
MAX_BODY_BYTES = 1 << 26
SILENCE_S = 0.3


class Server:
    """Answers each call once its complete body has arrived; a context manager.

    ``output`` is the answer to a stage. ``bodies`` holds the bodies received.
    """

    def __init__(self, output="done"):
        self._output = output
        self.bodies = []

    async def __aenter__(self):
        [address] = free_addresses(1)
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/run", self._run)
        app.router.add_post("/v1/transactions", self._commit)
        app.router.add_post("/{path:.*}", self._answer_request)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self.proxy = FaultProxy(address, Link(LINK_BYTES_PER_S), Link(LINK_BYTES_PER_S))
        self.address = await self.proxy.start()
        return self

    async def __aexit__(self, *exc):
        await self.proxy.stop()
        await self._runner.cleanup()

    def backend(self):
        return Backend(
            HostEntry(BackendId("s1"), "desk", self.address, DataCentre("a"))
        )

    async def _run(self, request):
        call = msgspec.json.decode(await request.read())
        answer = {"attempt_id": call["attempt_id"], "output": self._output}
        return web.Response(body=msgspec.json.encode(answer))

    async def _commit(self, request):
        self.bodies.append(await request.read())
        return web.json_response({"committed": True, "rows": []})

    async def _answer_request(self, request):
        self.bodies.append(await request.read())
        headers = {
            names.ATTEMPT_ID: request.headers.get(names.ATTEMPT_ID, ""),
            names.ENGINE_SIGNATURE: "s",
        }
        return web.Response(headers=headers)


@asynccontextmanager
async def client_of(kind, server, *timeout):
    async with aiohttp.ClientSession() as session:
        yield kind(session, f"http://{server.address}", *timeout)


def change_of(size):
    return Transaction((), (Write("changes", "1", {"change": "x" * size}),))


class TestPlatform:
    async def test_an_object_that_is_sent_slowly_is_written(self):
        """A configuration of 48,000 accounts has 18 MB."""
        body = b"x" * 1_200_000
        async with Server() as server, client_of(HttpObjects, server, 1.0) as objects:
            await objects.put("configuration/1.json", body)
        assert server.bodies == [body]

    async def test_a_change_that_is_sent_slowly_is_committed(self):
        async with Server() as server, client_of(HttpTable, server) as table:
            result = await table.commit(change_of(600_000))
        assert result.committed

    async def test_a_server_that_stops_reading_the_body_times_out(self):
        async with Server() as server, client_of(HttpObjects, server, 0.5) as objects:
            server.proxy.blocked.add(Direction.TO_SERVER)
            began = time.monotonic()
            with pytest.raises(PlatformUnavailable):
                await objects.put("configuration/1.json", b"x" * 300_000)
        # Sending the body takes half a second on the link, and may take as long again.
        assert time.monotonic() - began < 2.0


def new_attempt(server):
    stage = Stage("call", StageKind.CALL, "desk", True, operation="lodge")
    pipeline = Pipeline("p", "account", "", (stage,), 4000, 0, False)
    deadline = asyncio.get_running_loop().time() + 4.0
    request = CallerRequest("r1", pipeline, "in", deadline, 4000, False, None, "")
    return Attempt(
        "a1",
        request,
        stage,
        server.backend(),
        SILENCE_S,
        on_leaving=lambda backend: None,
        on_discard=lambda reason: None,
        on_cost_unknown=lambda attempt: None,
    )


class TestAttempts:
    async def outcome(self, server, stage_input):
        attempt = new_attempt(server)
        result = await run_call(attempt, stage_input)
        await attempt.backend.connections.close()
        return result.outcome

    async def test_an_input_that_is_sent_slowly_is_run(self):
        async with Server() as server:
            outcome = await self.outcome(server, "x" * 400_000)
        assert outcome is AttemptOutcome.COMPLETED

    async def test_an_output_that_arrives_slowly_is_accepted(self):
        async with Server(output="x" * 400_000) as server:
            outcome = await self.outcome(server, "in")
        assert outcome is AttemptOutcome.COMPLETED

    async def test_an_output_that_stops_midway_times_out(self):
        async with Server(output="x" * 400_000) as server:
            call = asyncio.create_task(self.outcome(server, "in"))
            await asyncio.sleep(0.2)
            server.proxy.silence()
            silent_at = time.monotonic()
            assert await call is AttemptOutcome.UNKNOWN
        assert time.monotonic() - silent_at < 2 * SILENCE_S


class TestEngineCalls:
    @asynccontextmanager
    async def call(self, server, body):
        deadline = asyncio.get_running_loop().time() + 6.0
        request = routed(deadline_s=deadline)
        incoming = msgspec.structs.replace(
            request.incoming, headers=((names.ATTEMPT_ID, "id"),), body=body
        )
        request = msgspec.structs.replace(request, incoming=incoming)
        backend = server.backend()
        call = EngineCall(
            requests, request, backend, (), PLAIN_HEAD_TIMEOUT_S, lambda: None
        )
        yield call
        call.close()
        await backend.connections.close()

    async def test_a_body_that_is_sent_slowly_is_answered(self):
        body = b"x" * 1_000_000
        async with Server() as server, self.call(server, body) as call:
            head = await call.open()
        assert head.status == 200
        assert server.bodies == [body]

    async def test_a_server_that_stops_reading_times_out(self):
        async with Server() as server, self.call(server, b"x" * 300_000) as call:
            server.proxy.blocked.add(Direction.TO_SERVER)
            began = time.monotonic()
            with pytest.raises(CallFailed):
                await call.open()
        assert time.monotonic() - began < PLAIN_HEAD_TIMEOUT_S + 1.5
