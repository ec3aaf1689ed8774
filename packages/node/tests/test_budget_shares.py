"""Tests for the number of nodes that share a budget, reachable or not."""

import msgspec
import pytest

from eelgrass_coordination import MemberState
from eelgrass_coordination.ids import DataCentre, NodeId
from eelgrass_node.process.budget_shares import count_sharing_nodes
from eelgrass_node.process.host_settings import HostSettings, StoreSettings
from support.entry import BOUNDS
from support.members import member

OWN = member("n0")
OTHERS = [member(f"n{n}", "abc"[n % 3]) for n in range(1, 9)]


def settings(seeds=("n1:1",), data_centres="abc"):
    return HostSettings(
        node=NodeId("n0"),
        data_centre=DataCentre("a"),
        callers="n0:3",
        readiness="n0:4",
        internal="n0:1",
        gossip="n0:2",
        seeds=seeds,
        seed_gossip_port=2,
        store=StoreSettings("store:1"),
        memory_bytes=300_000_000,
        max_descriptors=4100,
        bounds=BOUNDS,
        region_by_data_centre=dict.fromkeys(data_centres, "east"),
    )


class TestSharingNodes:
    # Guards against shares that grow when other nodes leave or are unreachable.
    @pytest.mark.parametrize("state", MemberState)
    def test_all_known_nodes_share_in_whatever_state(self, state):
        others = [msgspec.structs.replace(other, state=state) for other in OTHERS]
        assert count_sharing_nodes(settings(), OWN, others) == 9

    # Guards against two sides of a partition that each take the whole budget.
    def test_a_node_that_started_in_a_partition_counts_the_other_side(self):
        same_data_centre = [other for other in OTHERS if other.data_centre == "a"]
        assert count_sharing_nodes(settings(), OWN, same_data_centre) == 9

    # Guards against a process that takes the whole budget before it knows the others.
    def test_the_number_is_unknown_before_the_node_knows_any_other(self):
        assert count_sharing_nodes(settings(), OWN, []) is None

    def test_a_single_node_does_not_share(self):
        alone = settings(seeds=("n0:1",), data_centres="a")
        assert count_sharing_nodes(alone, OWN, []) == 1
