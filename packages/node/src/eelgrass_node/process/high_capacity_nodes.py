"""Which nodes do work for all others: the strong ones among unequal hosts."""

from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["high_capacity_nodes"]

T = TypeVar("T")

# Nodes are strong whose capacity is at least this part of the greatest there is:
# hosts of one kind differ by little, those of another by more than two.
HIGH_CAPACITY_FRACTION = 0.5


def high_capacity_nodes(nodes: Iterable[T], capacity: Callable[[T], float]) -> list[T]:
    """Return those nodes that are not much weaker than the strongest of them."""
    known = list(nodes)
    least = max(map(capacity, known), default=0.0) * HIGH_CAPACITY_FRACTION
    return [node for node in known if capacity(node) >= least]
