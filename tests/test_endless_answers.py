"""A server beside two sound ones whose answers have no end.

The nodes, the store and the servers run in the test's event loop.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from eelgrass_standins.entry_engines import EngineStandIn
from eelgrass_standins.ports import free_addresses
from support.endless_server import Endless, EndlessServer
from support.entry import EntryDeployment, until

CALLS = 60
CALLS_PER_S = 30
# Eight stage calls each, all of whose sides run in this process.
STAGED_CALLS_PER_S = 5
# Those that the server spoils are answered by another one.
SHARE_SERVED = 0.97
# It is taken for failing, for a second at first, by each of two nodes.
MOST_CALLS = 10
# What may be on its way when a node closes the connection: buffers of both sides.
IN_TRANSIT_BYTES = 6 << 20
MOST_BODY_BYTES = (4 << 20) + IN_TRANSIT_BYTES
MOST_OTHER_BYTES = (1 << 20) + IN_TRANSIT_BYTES
WHOLE_BODIES = {Endless.SIGNED_BODY, Endless.SIGNED_CHUNKS, Endless.SIGNED_ERROR}
STAGED = {"Eelgrassward_Segments": "2,1,5", "Eelgrassward_Segment_Key": "key"}


@asynccontextmanager
async def deployment_with(endless, service):
    """Start a deployment with one endless server of a service; yield both."""
    async with EntryDeployment() as deployment:
        [address] = free_addresses(1)
        server = EndlessServer(address, endless)
        await server.start()
        try:
            entry = EngineStandIn(f"{service}-endless", address)
            deployment.list_engine(service, entry)
            await until(
                lambda: all(
                    entry.server_id in node.backends.by_id for node in deployment.nodes
                )
            )
            yield deployment, server
        finally:
            server.stop()


async def statuses_of(
    deployment, target, calls_per_s=CALLS_PER_S, at_once=1, **headers
):
    """Send calls at a steady rate to both nodes; return how they ended."""
    asking = []
    for number in range(CALLS):
        if number % at_once == 0:
            await asyncio.sleep(at_once / calls_per_s)
        call = deployment.ask(target, node=number % 2, **headers)
        asking.append(asyncio.create_task(call))
    ended = await asyncio.gather(*asking, return_exceptions=True)
    return [e if isinstance(e, Exception) else e[0] for e in ended]


def check(statuses, server, most_bytes):
    assert statuses.count(200) >= SHARE_SERVED * CALLS, statuses
    assert 1 <= len(server.taken) <= MOST_CALLS
    assert max(server.taken) <= most_bytes


class TestEndlessAnswers:
    # Guards against hosts that read without end, wait for an end, or go on sending
    # requests to a server that answers at once with bytes that are no answer.
    @pytest.mark.parametrize("endless", Endless)
    async def test_to_requests(self, endless):
        async with deployment_with(endless, "desk") as (deployment, server):
            statuses = await statuses_of(deployment, "/safe/x")
            is_whole = endless in WHOLE_BODIES
            check(statuses, server, MOST_BODY_BYTES if is_whole else MOST_OTHER_BYTES)

    @pytest.mark.parametrize(
        "endless",
        [
            Endless.UNSIGNED_BODY,
            Endless.INTERIM_ANSWERS,
            Endless.HEADER_LINES,
            Endless.CHUNK_LINE,
            Endless.REFUSAL,
        ],
    )
    async def test_to_stage_calls(self, endless):
        async with deployment_with(endless, "portal") as (deployment, server):
            # Several at once, so that the queue uses all servers.
            statuses = await statuses_of(
                deployment, "/stream/staged/x", STAGED_CALLS_PER_S, 10, **STAGED
            )
            check(statuses, server, MOST_OTHER_BYTES)


class TestEndlessEvents:
    # Guards against an event of a stream that is kept until it ends.
    async def test_a_stream_goes_on_elsewhere(self):
        async with deployment_with(Endless.SIGNED_BODY, "readers") as found:
            deployment, server = found
            statuses = await statuses_of(deployment, "/stream/resumed/x")
            check(statuses, server, MOST_OTHER_BYTES)
