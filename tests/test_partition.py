"""A data centre partitioned from the others and the platform serves what it can."""

import asyncio

import pytest
import pytest_asyncio

from eelgrass_coordination import MemberState
from support.history import History, violations
from support.local import LocalDeployment
from support.network_partition import NetworkPartition
from support.processes import until
from test_configuration_in_force import amend_deadline

pytestmark = pytest.mark.asyncio(loop_scope="module")

DATA_CENTRES = ("cau-giay", "long-bien", "ha-dong")
PARTITIONED = "ha-dong"


class Partition:
    """Blocks traffic of one data centre with the others and the platform."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._cuts = [NetworkPartition(node) for node in deployment.nodes]

    def cut(self):
        """Block all traffic between the data centre and the rest."""
        inside, outside = set(), {self._deployment.stand_ins.spec.platform.address}
        for settings in self._deployment.settings:
            group = inside if settings["data_centre"] == PARTITIONED else outside
            group |= {settings["listen"]["internal"], settings["listen"]["gossip"]}
        for backend in self._deployment.stand_ins.spec.backends:
            group = inside if backend.data_centre == PARTITIONED else outside
            group.add(backend.address)
        for settings, cuts in zip(self._deployment.settings, self._cuts, strict=True):
            cuts.block(outside if settings["data_centre"] == PARTITIONED else inside)

    def heal(self):
        """Unblock all traffic."""
        for cuts in self._cuts:
            cuts.block(())


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment():
    timing = {"heartbeat_ms": 200}
    async with LocalDeployment(
        nodes=6, data_centres=DATA_CENTRES, timing=timing
    ) as running:
        await asyncio.sleep(1.0)
        yield running


def states_seen_by(node):
    members = node.membership.members.by_id.values()
    return {member.data_centre: member.state for member in members}


class TestPartition:
    async def test_it_serves_with_its_old_revision_and_catches_up(self, deployment):
        history = History()
        partition = Partition(deployment)
        inside, outside = 2, 0
        partition.cut()

        async def dead_to_each_other():
            return (
                states_seen_by(deployment.nodes[outside])[PARTITIONED]
                is MemberState.DEAD
                and states_seen_by(deployment.nodes[inside])["cau-giay"]
                is MemberState.DEAD
            )

        await until(dead_to_each_other, 15.0)
        report = await amend_deadline(deployment, outside, 1888, "during-the-cut")
        assert report["result"]["outcome"] == "accepted"
        newest = report["result"]["revision"]

        for number in range(4):
            reply = await history.call(
                deployment, inside, "current-issue", f"inside-{number}"
            )
            assert reply.status == 200, reply
            assert int(reply.headers["Eelgrassward-Revision"]) == newest - 1
            assert int(reply.headers["Eelgrassward-Revision-Age-Ms"]) > 1000
        reply = await history.call(
            deployment, inside, "transmittal", "cut-keyed", key="cut-keyed"
        )
        assert reply.body["type"].endswith("platform-down")
        reply = await history.call(
            deployment, outside, "transmittal", "cut-keyed", key="cut-keyed"
        )
        assert reply.status == 200

        partition.heal()

        async def caught_up():
            return all(
                node.configuration.follower.revision == newest
                and all(
                    member.state is MemberState.ALIVE
                    for member in node.membership.members.by_id.values()
                )
                for node in deployment.nodes
            )

        await until(caught_up, 15.0)
        reply = await history.call(
            deployment, inside, "transmittal", "cut-keyed", key="cut-keyed"
        )
        assert reply.status == 200
        assert violations(history.calls, deployment.journal()) == []
        assert deployment.runs_of("register-desk", "<cut-keyed>") == 1
