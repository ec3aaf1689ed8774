"""Answers of sound servers that fall silent for a moment, beside changes."""

import asyncio

import aiohttp
import pytest
import pytest_asyncio

from support.entry import COMPLETE_STREAM, configuration
from support.silent_servers import SilentServersDeployment

STREAMS = 120
# Between two events; a stream then lasts long enough to meet the silence.
EVENT_S = 0.4
# After this time all streams have begun.
BEGUN_S = 1.0
CHANGE_EVERY_S = 0.4
HEADERS = {"Eelgrassward-Deadline-Ms": "9000"}
ROUTE_TIMEOUT_MS = 9000


async def change_configuration(deployment):
    """Store a new version of the configuration at short intervals, until cancelled."""
    version = 2
    while True:
        changed = configuration(version)
        for route in changed["Routes"]:
            route["TimeoutMs"] = ROUTE_TIMEOUT_MS + version
        deployment.store.put("op", "config", changed)
        version += 1
        await asyncio.sleep(CHANGE_EVERY_S)


async def outcomes(deployment, target, count=STREAMS):
    """Send requests at all nodes; return status and body of each, or its error."""

    async def ask(number):
        try:
            status, _, body = await deployment.ask(
                target, number % len(deployment.nodes), **HEADERS
            )
        except aiohttp.ClientError as error:
            return repr(error)
        return status, body

    return await asyncio.gather(*(ask(number) for number in range(count)))


@pytest_asyncio.fixture
async def silent():
    async with SilentServersDeployment(event_s=EVENT_S) as deployment:
        changes = asyncio.create_task(change_configuration(deployment))
        await asyncio.sleep(1.0)
        yield deployment
        changes.cancel()


class TestSilentServers:
    # Guards against streams that are cut because a server is silent for longer than
    # the idle timeout, while no other server can continue them.
    @pytest.mark.parametrize("for_s", [1.2, 2.2])
    @pytest.mark.parametrize("target", ["/stream/resumed/x", "/stream/single/x"])
    async def test_no_stream_is_cut_if_all_are_silent(self, silent, target, for_s):
        asking = asyncio.create_task(outcomes(silent, target))
        await asyncio.sleep(BEGUN_S)
        await silent.silence("readers", for_s)
        answers = await asking
        whole = answers.count((200, COMPLETE_STREAM))
        assert whole == STREAMS, [a for a in answers if a != (200, COMPLETE_STREAM)][:3]
