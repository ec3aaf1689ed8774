"""Evacuations for tests without a complete node."""

from eelgrass_node.process.evacuation import Evacuations

__all__ = ["PREFIX", "idle_evacuations"]

PREFIX = "evacuate/"


def idle_evacuations() -> Evacuations:
    """Return evacuations that no component uses."""
    return Evacuations(PREFIX, lambda: -1, lambda: True, lambda: 0.0)
