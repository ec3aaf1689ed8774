"""Hosts that cannot reach the backend servers, while clients and hosts reach them."""

import asyncio
from collections import Counter

import pytest

from eelgrass_node.process.server_paths import Path
from support.entry import until
from support.host_links import Cut, LinkedDeployment

# Longest time in which a host may find out that it is cut off.
CONTACT_S = 3.0
TARGETS = ("/safe/x", "/once/x", "/stream/resumed/x", "/stream/staged/x")
STAGES = {"Eelgrassward_Segments": "2,1,5", "Eelgrassward_Segment_Key": "key"}
CUT_NODES = (0, 1)


async def ask_all(deployment, nodes, targets=TARGETS):
    """Send one request of each kind to each node; return the statuses by node."""
    asked = [(node, target) for node in nodes for target in targets]
    answers = await asyncio.gather(
        *(deployment.ask(target, node=node, **STAGES) for node, target in asked)
    )
    return Counter(
        (node, target, status)
        for (node, target), (status, _, _) in zip(asked, answers, strict=True)
    )


async def served_during_cut(deployment, how):
    """Return the first tries that were not served from CONTACT_S after a cut on."""
    nodes = range(len(deployment.nodes))
    await ask_all(deployment, nodes)
    for node in CUT_NODES:
        deployment.cut(node, how)
    loop = asyncio.get_running_loop()
    found_out_at = loop.time() + CONTACT_S
    while loop.time() < found_out_at:
        await ask_all(deployment, nodes)
        await asyncio.sleep(0.1)
    results = Counter()
    for _ in range(5):
        results += await ask_all(deployment, nodes)
    return {key: count for key, count in results.items() if key[2] != 200}


class TestHostsThatReachNoServer:
    # Guards against refusals by hosts that cannot reach the servers, and against
    # queues that stay with an owner that cannot reach the servers of its stage.
    @pytest.mark.parametrize("how", Cut)
    async def test_requests_are_served_at_the_first_attempt(self, how):
        async with LinkedDeployment(nodes=3) as deployment:
            assert await served_during_cut(deployment, how) == {}

    @pytest.mark.parametrize("how", Cut)
    async def test_no_request_runs_twice_while_the_path_is_lost(self, how):
        async with LinkedDeployment(nodes=3) as deployment:
            await served_during_cut(deployment, how)
            runs = Counter(
                run.request_id
                for run in deployment.runs("desk")
                if run.target.startswith("/once/")
            )
            assert runs and max(runs.values()) == 1


class TestConnectionsThatWereIdle:
    # Guards against calls on connections that were idle when the path was lost, after
    # the path to a server of another service was found to be lost.
    async def test_they_are_not_used_once_a_path_is_lost(self):
        async with LinkedDeployment(nodes=2) as deployment:
            readers = deployment.engines_by_service["readers"]
            while not all(engine.runs for engine in readers):
                await asyncio.gather(
                    *(deployment.ask("/stream/resumed/x") for _ in range(4))
                )
            deployment.cut(0, Cut.SILENT)
            assert (await deployment.ask("/safe/x"))[0] == 200
            paths = deployment.nodes[0].server_links.paths
            await until(lambda: Path.RELAYED in paths.lost().values())
            # Shorter than a stream waits for a server that is silent.
            deadline = {"Eelgrassward_Deadline_Ms": "2000"}
            asking = (deployment.ask("/stream/resumed/x", **deadline) for _ in "1234")
            answers = await asyncio.gather(*asking)
            assert [status for status, _, _ in answers] == [200] * 4


class TestRequestsThatReachNoServer:
    # Guards against a 504, after which a caller may not retry a request that must run
    # once, although no byte of it has been sent to a server.
    async def test_a_deadline_that_passes_while_connecting_is_a_refusal(self):
        async with LinkedDeployment(nodes=1) as deployment:
            deployment.cut(0, Cut.SILENT)
            status, headers, _ = await deployment.ask(
                "/once/x", Eelgrassward_Deadline_Ms="200"
            )
            assert status == 503 and "Retry-After" in headers
            assert deployment.runs("desk") == []
