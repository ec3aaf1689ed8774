"""Looks up the addresses of a deployment's nodes in their settings."""

from typing import Any

__all__ = ["NodeAddresses"]


class NodeAddresses:
    """Mixin for deployments that keep the ``settings`` of their nodes."""

    settings: list[dict[str, Any]]

    def callers(self, number: int) -> str:
        """Return a node's address for callers."""
        return self.settings[number]["listen"]["callers"]

    def internal(self, number: int) -> str:
        """Return a node's address for peers and operators."""
        return self.settings[number]["listen"]["internal"]
