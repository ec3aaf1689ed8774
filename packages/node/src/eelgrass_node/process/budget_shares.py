"""Among how many nodes a budget of the whole deployment is shared.

The pattern it answers: nodes leave in turn, data centres are cut off from each other,
and whoever stays in reach of whom takes the share of the others. What those have spent
counts for a while longer, and they may be spending still.
"""

import math
from collections.abc import Sequence

from eelgrass_coordination import Member

from .host_settings import HostSettings

__all__ = ["count_sharing_nodes"]


def count_sharing_nodes(
    settings: HostSettings, own: Member, members: Sequence[Member]
) -> int | None:
    """Return how many nodes share, those out of reach and those that left included.

    ``members`` are the records of all other nodes, in whatever state. A data centre
    that no node is known in counts as many as the others have in the mean: a node that
    starts in a cut hears of nobody beyond it. One that has heard of no other node, and
    should have, cannot tell; None stands for that.
    """
    if not members and settings.other_seeds():
        return None
    known = [own, *members]
    seen = {member.data_centre for member in known}
    unseen = len(settings.region_by_data_centre.keys() - seen)
    return len(known) + math.ceil(unseen * len(known) / len(seen))
