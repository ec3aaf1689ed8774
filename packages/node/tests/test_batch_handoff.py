"""Handing items to queue owners that are dead, frozen, slow or faulty."""

import asyncio

import msgspec
import pytest
from aiohttp import web

from eelgrass_node.connection.batch_handoff import (
    ACCEPT_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    HandoffClient,
    HandoffInterface,
)
from eelgrass_node.exceptions import PeerUnreachable
from eelgrass_node.process.batch_items import BatchItem, ItemOutcome
from eelgrass_node.process.queue_load import QueueLoad
from eelgrass_node.version.deployment import ServiceName
from eelgrass_standins.ports import free_addresses
from support.serving import served

SERVICE = ServiceName("portal")
SLACK_S = 0.25


def now():
    return asyncio.get_running_loop().time()


def item():
    return BatchItem("id1", 0, 0, "key", (), now() + 6, now() + 1, 0, 8_000)


class Owner:
    """A queue owner with a scripted answer, as a context manager."""

    def __init__(self, handle=None, run=None, has_servers=True):
        self.loads = []
        self.freed = []
        self._handle = handle
        self._run = run
        self._has_servers = has_servers

    async def __aenter__(self):
        self._served = served(self._add_routes, handler_cancellation=True)
        self.address = await self._served.__aenter__()
        self.client = HandoffClient(lambda *load: self.loads.append(load))
        return self

    async def __aexit__(self, *exc):
        await self.client.close()
        await self._served.__aexit__(None, None, None)

    def _add_routes(self, app):
        if self._handle is not None:
            app.router.add_post("/peer/v1/pieces", self._handle)
            return
        interface = HandoffInterface(
            self._run,
            lambda service: self._has_servers,
            lambda service: QueueLoad(((0, 0.5),), 0.25),
            lambda service, handles: self.freed.extend(handles),
        )
        interface.add_routes(app)

    async def hand_off(self):
        return await self.client.run(self.address, SERVICE, [item()])


async def run_all(service, items):
    return [ItemOutcome(handle=f"a:1/{p.number}") for p in items]


class TestHandoff:
    async def test_outcomes_and_load_are_returned(self):
        async with Owner(run=run_all) as owner:
            assert await owner.hand_off() == [ItemOutcome(handle="a:1/0")]
            assert owner.loads == [(SERVICE, QueueLoad(((0, 0.5),), 0.25))]

    async def test_an_owner_that_sends_heartbeats_does_not_time_out(self):
        async def slowly(service, items):
            await asyncio.sleep(HEARTBEAT_TIMEOUT_S * 1.5)
            return await run_all(service, items)

        async with Owner(run=slowly) as owner:
            assert await owner.hand_off() == [ItemOutcome(handle="a:1/0")]

    async def test_a_caller_that_is_cancelled_withdraws_its_items(self):
        withdrawn = asyncio.Event()

        async def wait(service, items):
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                withdrawn.set()
                raise

        async with Owner(run=wait) as owner:
            call = asyncio.create_task(owner.hand_off())
            await asyncio.sleep(0.1)
            call.cancel()
            async with asyncio.timeout(1):
                await withdrawn.wait()

    # Guards against results of a caller that has left, which would take up memory until
    # they expire.
    async def test_results_that_cannot_be_delivered_are_freed(self, monkeypatch):
        write = web.StreamResponse.write

        async def lose_outcomes(response, data):
            if b"handle" in data:
                raise ConnectionResetError
            await write(response, data)

        monkeypatch.setattr(web.StreamResponse, "write", lose_outcomes)
        async with Owner(run=run_all) as owner:
            with pytest.raises(PeerUnreachable):
                await owner.hand_off()
            assert owner.freed == ["a:1/0"]


class TestOwnersThatFail:
    async def fails_within(self, owner, seconds):
        began = now()
        with pytest.raises(PeerUnreachable):
            await owner.hand_off()
        assert now() - began < seconds + SLACK_S

    async def test_an_owner_that_never_accepts(self):
        async def hang(request):
            await asyncio.sleep(5)

        async with Owner(handle=hang) as owner:
            await self.fails_within(owner, ACCEPT_TIMEOUT_S)

    async def test_an_owner_that_freezes_after_it_has_accepted(self):
        async def freeze(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b"\n")
            await asyncio.sleep(5)
            return response

        async with Owner(handle=freeze) as owner:
            await self.fails_within(owner, ACCEPT_TIMEOUT_S + HEARTBEAT_TIMEOUT_S)

    async def test_an_owner_that_is_killed_while_items_run(self):
        async def die(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b"\n")
            request.transport.abort()
            return response

        async with Owner(handle=die) as owner:
            await self.fails_within(owner, ACCEPT_TIMEOUT_S)

    async def test_an_owner_that_knows_no_server_of_the_service(self):
        async with Owner(run=run_all, has_servers=False) as owner:
            await self.fails_within(owner, ACCEPT_TIMEOUT_S)

    @pytest.mark.parametrize(
        "answer", [b"nonsense\n", b'{"outcomes": [], "load": []}\n', b""]
    )
    async def test_an_owner_with_a_malformed_answer(self, answer):
        async def garble(request):
            msgspec.json.decode(await request.read())
            return web.Response(body=b"\n" + answer)

        async with Owner(handle=garble) as owner:
            await self.fails_within(owner, ACCEPT_TIMEOUT_S)

    async def test_an_owner_that_is_gone(self):
        async with Owner(run=run_all) as owner:
            [owner.address] = free_addresses(1)
            await self.fails_within(owner, ACCEPT_TIMEOUT_S)
