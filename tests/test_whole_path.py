"""End to end, as separate processes: platform, backend servers and three nodes."""

import signal

import pytest
import pytest_asyncio

from eelgrass_standins.samples import sample_deployment
from support.processes import ProcessDeployment

pytestmark = [pytest.mark.processes, pytest.mark.asyncio(loop_scope="module")]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment(tmp_path_factory):
    folder = tmp_path_factory.mktemp("whole-path")
    spec = sample_deployment(engines=2, pool_size=2)
    settings = {"timing": {"drain_notice_ms": 200}}
    async with ProcessDeployment(spec, folder, settings=settings) as running:
        yield running


class TestWholePath:
    async def test_each_node_answers_through_four_stages(self, deployment):
        for number in range(3):
            reply = await deployment.client.call(
                deployment.callers(number), "revision-check", f"sheet {number}"
            )
            assert reply.status == 200, reply
            assert reply.body["complete"]
            assert reply.body["pieces"] == 16
            assert len(reply.body["costs"]) == 4
            assert reply.headers["Eelgrassward-Revision"] == "1"

    async def test_a_stream_ends_with_its_count(self, deployment):
        reply = await deployment.client.call(
            deployment.callers(1), "revision-check", "a stream", stream=True
        )
        *chunks, final = reply.body
        assert [chunk["seq"] for chunk in chunks] == list(range(16))
        assert final["final"] and final["complete"] and final["count"] == 16
        text = "".join(chunk["text"] for chunk in chunks)
        assert final["answer"]["output"]["text"] == text

    async def test_a_key_runs_once_wherever_it_arrives(self, deployment):
        replies = [
            await deployment.client.call(
                deployment.callers(number), "transmittal", "once", key="key-once"
            )
            for number in (0, 1, 2)
        ]
        assert [reply.status for reply in replies] == [200, 200, 200]
        assert replies[0].body == replies[1].body == replies[2].body
        journal = await deployment.journal("register-desk")
        assert sum("once" in entry.input_text for entry in journal) == 1

    async def test_sigterm_is_a_clean_stop(self, deployment):
        node = deployment.nodes[2]
        node.signal(signal.SIGTERM)
        assert await node.wait() == 0
        assert "node: Stopped." in node.log_text()
