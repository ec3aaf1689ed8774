"""Selects the high-capacity nodes, which do work for all nodes on unequal hosts."""

from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["high_capacity_nodes"]

T = TypeVar("T")

# Smallest capacity of a high-capacity node, as a fraction of the largest one. Hosts of
# one kind differ by little, hosts of different kinds by more than a factor of two.
HIGH_CAPACITY_FRACTION = 0.5


def high_capacity_nodes(nodes: Iterable[T], capacity: Callable[[T], float]) -> list[T]:
    """Return the nodes whose capacity is comparable to the largest of them."""
    candidates = list(nodes)
    min_capacity = max(map(capacity, candidates), default=0.0) * HIGH_CAPACITY_FRACTION
    return [node for node in candidates if capacity(node) >= min_capacity]
