"""Tests for the number of nodes that share a budget, reachable or not."""

import msgspec
import pytest

from eelgrass_coordination import MemberState
from eelgrass_node.process.budget_shares import count_sharing_nodes
from support.host_settings import host_settings
from support.members import member

OWN = member("n0")
OTHERS = [member(f"n{n}", "abc"[n % 3]) for n in range(1, 9)]


class TestSharingNodes:
    # Guards against shares that grow when other nodes leave or are unreachable.
    @pytest.mark.parametrize("state", MemberState)
    def test_all_known_nodes_share_in_whatever_state(self, state):
        others = [msgspec.structs.replace(other, state=state) for other in OTHERS]
        assert count_sharing_nodes(host_settings(), OWN, others, True) == 9

    # Guards against two sides of a partition that each take the whole budget.
    def test_a_node_that_started_in_a_partition_counts_the_other_side(self):
        same_data_centre = [other for other in OTHERS if other.data_centre == "a"]
        assert count_sharing_nodes(host_settings(), OWN, same_data_centre, True) == 9

    # Guards against a process that takes the whole budget before it knows the others.
    def test_the_number_is_unknown_before_the_node_knows_any_other(self):
        assert count_sharing_nodes(host_settings(), OWN, [], True) is None

    # Guards against a process that divides the budget by the few that it knows first.
    def test_the_number_is_unknown_until_the_node_has_settled(self):
        assert count_sharing_nodes(host_settings(), OWN, OTHERS[:2], False) is None

    def test_a_single_node_does_not_share(self):
        alone = host_settings(seeds=("n0:1",), data_centres="a")
        assert count_sharing_nodes(alone, OWN, [], False) == 1
