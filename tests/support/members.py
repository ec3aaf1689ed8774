"""Records of nodes as tests need them."""

from eelgrass_coordination import Member
from eelgrass_coordination.ids import DataCentre, NodeId

__all__ = ["member"]


def member(name: str, data_centre: str = "a", capacity: float = 1.0) -> Member:
    """Return the record of a node that is alive."""
    return Member(
        NodeId(name),
        DataCentre(data_centre),
        f"{name}:1",
        f"{name}:2",
        1,
        capacity=capacity,
    )
