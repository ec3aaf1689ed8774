"""Counts the nodes that share a budget of the whole deployment.

When nodes leave in turn, or data centres are cut off from each other, the nodes that
remain reachable must not take over the shares of the others: retries that the other
nodes have made still count in the current window, and they may still be making more.
"""

import math
from collections.abc import Sequence

from eelgrass_coordination import Member

from .host_settings import HostSettings

__all__ = ["count_sharing_nodes"]


def count_sharing_nodes(
    settings: HostSettings, own: Member, members: Sequence[Member], is_settled: bool
) -> int | None:
    """Return how many nodes share, including unreachable nodes and those that left.

    ``members`` are the records of all other nodes, in any state. A data centre without
    known nodes is assumed to have the mean number of the others, because a node that
    starts during a partition learns of no node on the other side. The result is None,
    that is unknown, if this node has seeds but has not learned of any other node, or
    has not had the time to learn of most, that is unless ``is_settled``.
    """
    if settings.other_seeds() and not (members and is_settled):
        return None
    known = [own, *members]
    seen = {member.data_centre for member in known}
    unseen = len(settings.region_by_data_centre.keys() - seen)
    return len(known) + math.ceil(unseen * len(known) / len(seen))
