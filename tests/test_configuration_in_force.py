"""An accepted configuration change takes effect on every node and stays in force."""

import asyncio

import pytest
import pytest_asyncio

from eelgrass_standins.faults import Fault, FaultAction as Action
from support.local import LocalDeployment
from support.processes import until

pytestmark = pytest.mark.asyncio(loop_scope="module")

DATA_CENTRES = ("cau-giay", "long-bien", "ha-dong")
IN_FORCE_S = 6.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment():
    timing = {"head_poll_ms": 1000, "heartbeat_ms": 500}
    async with LocalDeployment(
        nodes=9, data_centres=DATA_CENTRES, timing=timing
    ) as running:
        yield running


async def amend_deadline(deployment, node, deadline_ms, change_id):
    return await deployment.client.amend(
        deployment.internal(node),
        "templates",
        "current-issue",
        change_id,
        deadline_ms=deadline_ms,
    )


class TestInForce:
    async def test_a_change_reaches_every_node(self, deployment):
        loop = asyncio.get_running_loop()
        began = loop.time()
        report = await amend_deadline(deployment, 4, 1900, "reach")
        assert report["not_yet"] == []
        assert len(report["in_force"]) == 9
        assert loop.time() - began < IN_FORCE_S
        for number in range(9):
            reply = await deployment.client.call(
                deployment.callers(number), "current-issue", "x", deadline_ms=1950
            )
            assert reply.body["type"].endswith("bad-deadline")

    async def test_one_of_two_conflicting_changes_at_two_nodes_is_refused(
        self, deployment
    ):
        reports = await asyncio.gather(
            amend_deadline(deployment, 0, 1800, "team-a"),
            amend_deadline(deployment, 8, 1700, "team-b"),
        )
        outcomes = sorted(report["result"]["outcome"] for report in reports)
        assert outcomes == ["accepted", "refused"]

    async def test_reads_of_the_head_do_not_grow_with_nodes(self, deployment):
        reads = [node.change_log.head_reads for node in deployment.nodes]
        await asyncio.sleep(3.1)
        after = [node.change_log.head_reads for node in deployment.nodes]
        polling = sum(b > a for a, b in zip(reads, after, strict=True))
        assert polling == 2 * len(DATA_CENTRES)

    async def test_requests_in_an_outage_are_served_with_the_revision_age(
        self, deployment
    ):
        deployment.fault("platform", Fault(Action.REFUSE))
        await asyncio.sleep(1.5)
        reply = await deployment.client.call(
            deployment.callers(3), "current-issue", "x"
        )
        assert reply.status == 200
        assert int(reply.headers["Eelgrassward-Revision-Age-Ms"]) >= 1000
        deployment.fault("platform")

        async def confirmed():
            ages = [n.configuration.follower.age() for n in deployment.nodes]
            return max(ages) < 2.5

        await until(confirmed)

    async def test_a_node_starts_in_an_outage_with_the_revision_of_its_peers(
        self, deployment
    ):
        newest = deployment.nodes[0].configuration.follower.revision
        deployment.fault("platform", Fault(Action.REFUSE))
        await deployment.nodes[5].close()
        try:
            node = await deployment.start_node(5)
            deployment.nodes[5] = deployment.nodes.pop()
            assert node.configuration.follower.revision == newest
            assert await deployment.client.health(deployment.callers(5)) == 200
        finally:
            deployment.fault("platform")

    async def test_an_older_revision_from_a_peer_is_ignored(self, deployment):
        sync = deployment.nodes[1].configuration
        newest = sync.follower.revision
        member = deployment.nodes[2].membership.own
        sync.on_revision_announced(1, member, 0.0)
        sync.advance(list(sync.follower.recent_changes)[:1])
        assert sync.follower.revision == newest

    async def test_a_node_starts_alone_from_a_snapshot_and_the_changes_since(
        self, deployment
    ):
        for node in deployment.nodes:
            node.snapshots._every = 1
        await amend_deadline(deployment, 0, 1600, "with-snapshot")
        for node in deployment.nodes:
            node.snapshots._every = 1000
        await amend_deadline(deployment, 0, 1500, "after-snapshot")
        newest = deployment.nodes[0].configuration.follower.revision
        new_deployment = LocalDeployment(nodes=1)
        new_deployment.settings[0]["platform"] = deployment.settings[0]["platform"]
        node = await new_deployment.start_node(0)
        try:
            assert node.configuration.follower.revision == newest
            replayed = [c.revision for c in node.configuration.follower.recent_changes]
            assert replayed == [newest]
        finally:
            await node.close()
