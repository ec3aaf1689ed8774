"""Servers that send answers again, where those to other calls are expected."""

import asyncio
import contextlib
import itertools
import random

import pytest

from support.entry import EntryDeployment
from support.host_links import LinkedDeployment, cut_off
from support.raw_engine import only_server
from support.repeating_engine import RepeatingEngine, Repetition, Results, repeating

CALLS = 40
CALLS_PER_S = 40
SHARE = 0.3
SERVICES = ("portal", "clerks", "readers")
# Many calls have equally many items, so that a copy fits the call behind it.
ITEMS = ("2,1,4", "1,1,4", "2,2,4", "1,2,4")


def with_repetitions(function):
    return pytest.mark.parametrize("repetition", Repetition, ids=lambda r: r.name)(
        function
    )


async def serve_staged(deployment, repetition, share):
    """Send staged requests; return their results, and the statuses of the answers."""
    choose = random.Random(1)
    results = Results()
    send = repeating(repetition, lambda: choose.random() < share)
    numbers = itertools.cycle(ITEMS)

    async def ask(number):
        await asyncio.sleep(number / CALLS_PER_S)
        sent = {
            "Eelgrassward_Segments": next(numbers),
            "Eelgrassward_Segment_Key": f"key-{number}",
        }
        status, _, _ = await deployment.ask(
            "/stream/staged/x", request_id=f"request-{number}", **sent
        )
        return status

    async with contextlib.AsyncExitStack() as servers:
        for service in SERVICES:
            server = only_server(deployment, service, send, RepeatingEngine)
            (await servers.enter_async_context(server)).results = results
        statuses = await asyncio.gather(*map(ask, range(CALLS)))
    return results, statuses


class TestStageCalls:
    # Guards against results of another request as inputs: a second copy of an answer
    # was taken for the answer to the next call on the connection.
    @with_repetitions
    async def test_directly(self, repetition):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            results, statuses = await serve_staged(deployment, repetition, SHARE)
        assert results.foreign == []
        assert results.used
        assert statuses == [200] * CALLS

    # Guards against the same on connections through another host.
    @with_repetitions
    async def test_through_another_host(self, repetition):
        async with LinkedDeployment(nodes=2, servers=1) as deployment:
            await cut_off(deployment)
            results, statuses = await serve_staged(deployment, repetition, SHARE)
        assert results.foreign == []
        assert results.used
        assert statuses == [200] * CALLS

    # Guards against requests that fail because no kept connection is in step.
    @pytest.mark.parametrize(
        "repetition", [Repetition.AT_NEXT_CALL, Repetition.OF_OTHER_CALLS]
    )
    async def test_every_answer_comes_again(self, repetition):
        async with EntryDeployment(nodes=1, servers=1) as deployment:
            results, statuses = await serve_staged(deployment, repetition, 1.0)
        assert results.foreign == []
        assert statuses == [200] * CALLS
