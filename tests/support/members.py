"""Member records for tests."""

from eelgrass_coordination import Member
from eelgrass_coordination.ids import DataCentre, NodeId

__all__ = ["member"]


def member(name: str, data_centre: str = "a", capacity: float = 1.0) -> Member:
    """Return the record of a live node."""
    return Member(
        NodeId(name),
        DataCentre(data_centre),
        f"{name}:1",
        f"{name}:2",
        1,
        capacity=capacity,
    )
