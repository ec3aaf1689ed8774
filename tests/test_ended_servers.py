"""Answers without a length, from servers whose process ends or goes on.

The kernel closes the connections of a process that ends as regularly as the process
itself does behind a whole answer.
"""

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from eelgrass_standins.ports import free_addresses
from support.entry import EntryDeployment, until
from support.paced_engine import BODY, PIECE_S, PIECES, STREAM, PacedEngine
from support.processes import Process, listens, support_environment

BODY_BY_TARGET = {
    "/safe/x": BODY,
    "/once/x": BODY,
    "/stream/resumed/x": STREAM,
    "/stream/single/x": STREAM,
}
REPEATABLE = ("/safe/x", "/stream/resumed/x")
SERVICE_BY_TARGET = {
    target: "readers" if "stream" in target else "desk" for target in BODY_BY_TARGET
}
REQUESTS = 6
# The end of an answer may follow its last byte by this time, in seconds.
PROMPT_S = 0.1


class Deployment(EntryDeployment):
    """One node, and two servers of each service."""

    def __init__(self):
        super().__init__(nodes=1)

    async def start_engine(self, service, server_id, **options):
        [address] = free_addresses(1)
        engine = PacedEngine(server_id, address)
        await engine.start()
        self.engines_by_service.setdefault(service, []).append(engine)
        self.list_engine(service, engine)
        return engine

    def of(self, target):
        """Return the servers that answer a target."""
        return self.engines_by_service[SERVICE_BY_TARGET[target]]


@asynccontextmanager
async def deployed():
    async with Deployment() as deployment:
        try:
            yield deployment
        finally:
            for engines in deployment.engines_by_service.values():
                for engine in engines:
                    engine.end_process()


async def answer(deployment, target):
    """Return status and body; status 0 if the answer was broken off."""
    try:
        status, _, body = await deployment.ask(target)
    except aiohttp.ClientError:
        return 0, b""
    return status, body


def not_whole(target, answers):
    """Return the answers that look complete and are not."""
    expected = BODY_BY_TARGET[target]
    return [body for status, body in answers if status == 200 and body != expected]


class TestServerProcessEnds:
    """Half of the servers of a service end while they answer."""

    # Guards against a part of an answer that is taken for the whole because its
    # connection was closed regularly.
    @pytest.mark.parametrize("target", BODY_BY_TARGET)
    @pytest.mark.parametrize("piece", [1, PIECES - 1])
    @pytest.mark.parametrize("successor", [None, "that reports", "without reports"])
    async def test_no_part_of_an_answer_looks_complete(self, target, piece, successor):
        async with deployed() as deployment:
            for engine in deployment.of(target):
                engine.reports = successor == "that reports"
            [ending, _] = deployment.of(target)
            starting = []

            def on_piece(number):
                if number != piece or starting:
                    return
                ending.end_process()
                starting.append(ending)
                if successor:
                    # A new run at once, before the host can have noticed the end.
                    run = PacedEngine("next", ending.address, started=2)
                    run.reports = ending.reports
                    deployment.of(target).append(run)
                    starting.append(asyncio.ensure_future(run.start()))

            ending.on_piece = on_piece
            answers = await asyncio.gather(
                *(answer(deployment, target) for _ in range(REQUESTS))
            )
            assert starting
            assert not_whole(target, answers) == []
            if target in REPEATABLE:
                assert [status for status, _ in answers] == [200] * REQUESTS


class TestKilledServer:
    """The same with a real process and its kernel."""

    # Guards against what a server in the test's own process cannot show.
    @pytest.mark.processes
    @pytest.mark.parametrize("target", BODY_BY_TARGET)
    async def test_no_part_of_an_answer_looks_complete(self, target, tmp_path):
        async with deployed() as deployment:
            service = SERVICE_BY_TARGET[target]
            [address] = free_addresses(1)
            killed = PacedEngine("killed", address)
            process = Process(
                ["support.paced_engine", address, "killed", "1"],
                tmp_path / "killed.log",
                support_environment(),
            )
            process.start()
            try:
                await until(lambda: listens(address))
                deployment.list_engine(service, killed)
                for engine in deployment.of(target):
                    deployment.store.remove("servers", engine.server_id)
                backends = deployment.nodes[0].backends
                await until(lambda: len(backends.by_service[service]) == 1)
                asking = [
                    asyncio.create_task(answer(deployment, target))
                    for _ in range(REQUESTS)
                ]
                await asyncio.sleep(4 * PIECE_S)
                assert backends.at_address(address).connections.is_used
                await process.kill()
                answers = await asyncio.gather(*asking)
            finally:
                await process.kill()
            assert not_whole(target, answers) == []


class TestServerGoesOn:
    """Answers that are whole, and end as soon as their last byte is there."""

    # Guards against whole answers that are held back, or refused, for want of proof.
    @pytest.mark.parametrize("target", BODY_BY_TARGET)
    @pytest.mark.parametrize("reports", [False, True])
    async def test_they_are_whole_and_prompt(self, target, reports):
        now = asyncio.get_running_loop().time
        last_pieces = []

        def on_piece(number):
            if number == PIECES - 1:
                last_pieces.append(now())

        async with deployed() as deployment:
            for engine in deployment.of(target):
                engine.reports = reports
                engine.on_piece = on_piece
            for _ in range(2):
                answers = await asyncio.gather(
                    *(answer(deployment, target) for _ in range(REQUESTS))
                )
                assert now() - max(last_pieces) < PROMPT_S
                assert answers == [(200, BODY_BY_TARGET[target])] * REQUESTS

    # Guards against answers of servers that leave, which are taken for cut because
    # their address belongs to another server by now.
    @pytest.mark.parametrize("target", BODY_BY_TARGET)
    async def test_they_are_whole_if_the_address_has_another_server(self, target):
        async with deployed() as deployment:
            service = SERVICE_BY_TARGET[target]
            asking = [
                asyncio.create_task(answer(deployment, target)) for _ in range(REQUESTS)
            ]
            await asyncio.sleep(3 * PIECE_S)
            for engine in list(deployment.of(target)):
                deployment.store.remove("servers", engine.server_id)
                engine.stop_listening()
                run = PacedEngine(f"next-{engine.server_id}", engine.address, 2)
                await run.start()
                deployment.of(target).append(run)
                deployment.list_engine(service, run)
            answers = await asyncio.gather(*asking)
            assert [body for _, body in answers] == (
                [BODY_BY_TARGET[target]] * REQUESTS
            )
