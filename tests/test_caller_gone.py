"""A caller that disconnects in the middle of a stream."""

import asyncio

import msgspec
import pytest

from eelgrass_node.exceptions import CallerGone
from eelgrass_node.request.model import CallerRequest
from eelgrass_node.request.stages import StageRun
from support.local import LocalDeployment


async def emit_to_closed_connection(text):
    raise ConnectionResetError


class TestCallerGone:
    async def test_it_does_not_count_as_a_server_failure(self):
        async with LocalDeployment(nodes=1) as deployment:
            node = deployment.nodes[0]
            pipeline = node.configuration.version.pipeline(
                "architects", "revision-check"
            )
            loop = asyncio.get_running_loop()
            request = CallerRequest(
                "r", pipeline, "in", loop.time() + 2.0, 2000, True, None, ""
            )
            stage = msgspec.structs.replace(pipeline.stages[-1], max_tokens=500)
            run = StageRun(
                node.environment, request, stage, 0.0, emit_to_closed_connection
            )
            with pytest.raises(CallerGone):
                await run.run("in")
            await asyncio.sleep(0.2)
            (entry,) = deployment.journal("model-readers")
            assert entry.outcome.value == "cancelled"
            assert deployment.count("retry.connection_lost") == 0
            assert run.cost.attempts == run.cost.unreported == 1
