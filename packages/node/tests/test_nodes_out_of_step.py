"""Nodes that have heard nothing for some seconds, while a version was listed."""

import asyncio

import pytest

from support.datagram_network import run_network
from support.origin_fleet import CALLER_TIMEOUT_S, V1, OriginFleet

NODES = 9
# Nodes beyond a cut are considered dead by then.
OUT_OF_TOUCH_S = 15.0


async def follow_one_version(fleet):
    """Have all nodes list one version for longer than any stream lasts."""
    for node in fleet.nodes:
        node.list_servers("v1")
    await asyncio.sleep(2 * CALLER_TIMEOUT_S)


def list_everywhere(fleet, *versions):
    """List versions at all nodes but the first, and in the store."""
    for node in fleet.nodes:
        node.listed_in_store = versions
    for node in fleet.nodes[1:]:
        node.list_servers(*versions)


class TestNodeThatHearsNothing:
    # Guards against a node that takes its old list for the whole truth, as there is
    # nobody left who could say otherwise.
    @pytest.mark.parametrize("is_list_current", [False, True])
    def test_it_does_not_know_the_version(self, is_list_current):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await follow_one_version(fleet)
                [node, *_] = fleet.nodes
                fleet.isolate(0)
                node.is_list_current = is_list_current
                node.reaches_store = False
                list_everywhere(fleet, "v1", "v2")
                await asyncio.sleep(OUT_OF_TOUCH_S)
                assert await node.find("unknown") is None

        run_network(main())

    # Guards against several of them that confirm each other.
    def test_a_group_does_not_know_the_version(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await follow_one_version(fleet)
                group = [fleet.nodes[number] for number in (0, 3, 6)]
                fleet.cut(0)
                for node in group:
                    node.is_list_current = node.reaches_store = False
                await asyncio.sleep(OUT_OF_TOUCH_S)
                assert all(len(n.membership.members.reachable()) == 2 for n in group)
                assert [await node.find("unknown") for node in group] == [None] * 3

        run_network(main())


class TestNodeThatHearsOfTheStoreAgain:
    # Guards against a list that counts as current because its last call has not
    # failed: the call waits, or the node has stood still.
    def test_it_learns_of_the_version_before_it_decides(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await follow_one_version(fleet)
                [node, *_] = fleet.nodes
                fleet.isolate(0)
                list_everywhere(fleet, "v1", "v2")
                await asyncio.sleep(OUT_OF_TOUCH_S)
                assert await node.find("unknown") is None

        run_network(main())

    # Guards against streams that are refused although the store says that there is
    # no other version.
    def test_the_only_version_goes_on(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await follow_one_version(fleet)
                [node, *_] = fleet.nodes
                fleet.isolate(0)
                await asyncio.sleep(OUT_OF_TOUCH_S)
                assert await node.find("unknown") == V1

        run_network(main())

    # Guards the same against the store and other nodes that do not answer.
    def test_the_only_version_goes_on_if_all_nodes_answer(self):
        async def main():
            async with OriginFleet(NODES) as fleet:
                await follow_one_version(fleet)
                for node in fleet.nodes:
                    node.is_list_current = node.reaches_store = False
                assert await fleet.nodes[0].find("unknown") == V1

        run_network(main())
