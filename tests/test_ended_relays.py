"""Answers without a length that pass through another node, which ends or goes on."""

import asyncio

import aiohttp
import pytest

from eelgrass_node.connection import relays
from eelgrass_standins.ports import free_addresses
from support.connections import connect, listen
from support.entry import until
from support.host_links import LinkedDeployment, cut_off
from support.paced_engine import BODY, PIECE_S, STREAM, PacedEngine
from support.processes import Process, listens, support_environment

BODY_BY_TARGET = {
    "/safe/x": BODY,
    "/once/x": BODY,
    "/stream/resumed/x": STREAM,
    "/stream/single/x": STREAM,
}
REQUESTS = 4
HEAD_END = b"\r\n\r\n"


class Deployment(LinkedDeployment):
    """Three nodes; servers send answers without a length."""

    def __init__(self, nodes=3):
        super().__init__(nodes)

    async def start_engine(self, service, server_id, **options):
        [address] = free_addresses(1)
        engine = PacedEngine(server_id, address)
        await engine.start()
        self.engines_by_service.setdefault(service, []).append(engine)
        self.list_engine(service, engine)
        return engine

    async def __aexit__(self, *exc):
        for engines in self.engines_by_service.values():
            for engine in engines:
                engine.end_process()
        await super().__aexit__(*exc)


@pytest.fixture
def old_relays(monkeypatch):
    """Have relays close connections regularly, however they end, and say nothing."""
    monkeypatch.setattr(relays, "set_reset_on_close", lambda opened, is_reset: None)
    opened = b"HTTP/1.1 200 Connection established\r\n\r\n"
    monkeypatch.setattr(relays, "OPENED", opened)


async def ask_all(deployment, target):
    """Return status and body of several requests; status 0 if one was broken off."""

    async def ask():
        try:
            status, _, body = await deployment.ask(target)
        except aiohttp.ClientError:
            return 0, b""
        return status, body

    return await asyncio.gather(*(ask() for _ in range(REQUESTS)))


async def end_relays(deployment):
    """Close what the relays have open, as at the end of a process."""
    servers = [node.server_links.server for node in deployment.nodes[1:]]
    await until(lambda: sum(s.connections for s in servers) >= REQUESTS)
    await asyncio.sleep(3 * PIECE_S)
    for server in servers:
        await server.close()


class TestRelayEnds:
    """The node reaches servers only through relays, which end within answers."""

    # Guards against a part of an answer that is taken for the whole because a relay
    # has closed the connection regularly.
    @pytest.mark.parametrize("target", BODY_BY_TARGET)
    async def test_a_relay_of_the_release_before(self, target, old_relays):
        async with Deployment() as deployment:
            await cut_off(deployment)
            ending = asyncio.create_task(end_relays(deployment))
            answers = await ask_all(deployment, target)
            await ending
            expected = BODY_BY_TARGET[target]
            assert [b for s, b in answers if s == 200 and b != expected] == []
            assert any(status != 200 for status, _ in answers)

    # Guards the same for nodes of the release before, to which only a reset tells.
    async def test_its_connections_are_reset_at_a_stop(self):
        async with Deployment(nodes=2) as deployment:
            reader, writer = await relayed(deployment)
            assert await reader.readuntil(b"piece 03")
            await deployment.nodes[0].server_links.server.close()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    # Guards the same where the kernel closes the connections of a killed relay.
    @pytest.mark.processes
    async def test_its_connections_are_reset_as_its_process_is_killed(self, tmp_path):
        [address] = free_addresses(1)
        process = Process(
            ["support.relay_process", address],
            tmp_path / "relay.log",
            support_environment(),
        )
        [server_address] = free_addresses(1)
        engine = PacedEngine("one", server_address)
        await engine.start()
        process.start()
        try:
            await until(lambda: listens(address))
            reader, writer = await connect(address)
            await ask_through(writer, reader, server_address)
            assert await reader.readuntil(b"piece 03")
            await process.kill()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()
        finally:
            await process.kill()
            engine.end_process()


class TestRelayGoesOn:
    # Guards against whole answers that are refused for want of proof.
    @pytest.mark.parametrize("target", BODY_BY_TARGET)
    async def test_answers_are_whole(self, target):
        async with Deployment() as deployment:
            await cut_off(deployment)
            expected = [(200, BODY_BY_TARGET[target])] * REQUESTS
            assert await ask_all(deployment, target) == expected

    @pytest.mark.parametrize("target", BODY_BY_TARGET)
    async def test_answers_are_whole_through_the_release_before(
        self, target, old_relays
    ):
        async with Deployment() as deployment:
            await cut_off(deployment)
            expected = [(200, BODY_BY_TARGET[target])] * REQUESTS
            assert await ask_all(deployment, target) == expected

    # Guards against a reset that discards the last bytes of an answer.
    async def test_the_end_of_an_answer_is_passed_on_regularly(self):
        whole = b"x" * 3_000_000

        async def answer_at_once(reader, writer):
            await reader.readuntil(HEAD_END)
            writer.write(whole)
            await writer.drain()
            writer.close()

        async with Deployment(nodes=2) as deployment:
            server, address = await listen(answer_at_once)
            [engine, _] = deployment.engines_by_service["desk"]
            deployment.list_engine("desk", engine, address=address)
            backends = deployment.nodes[0].backends
            await until(lambda: backends.at_address(address) is not None)
            reader, writer = await relayed(deployment, address)
            # Bytes wait in all buffers on the way.
            await asyncio.sleep(0.1)
            assert await reader.read(-1) == whole
            writer.close()
            server.close()


async def relayed(deployment, address=None):
    """Send a plain request to a server through a node; return the connection."""
    address = address or deployment.engines_by_service["desk"][0].address
    reader, writer = await connect(deployment.nodes[0].settings.gossip)
    await ask_through(writer, reader, address)
    return reader, writer


async def ask_through(writer, reader, address):
    """Have a relay connect to a server, and send a request there."""
    writer.write(f"CONNECT {address} HTTP/1.1\r\n\r\n".encode())
    assert (await reader.readuntil(HEAD_END)).startswith(b"HTTP/1.1 200 ")
    writer.write(b"GET /safe/x HTTP/1.1\r\nHost: x\r\n\r\n")
