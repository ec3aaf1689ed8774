"""Addresses of the nodes of a deployment, whichever way its nodes run."""

from typing import Any

__all__ = ["NodeAddresses"]


class NodeAddresses:
    """Mixed into deployments that keep the ``settings`` of their nodes."""

    settings: list[dict[str, Any]]

    def callers(self, number: int) -> str:
        """Return a node's address for callers."""
        return self.settings[number]["listen"]["callers"]

    def internal(self, number: int) -> str:
        """Return a node's address for peers and operators."""
        return self.settings[number]["listen"]["internal"]
