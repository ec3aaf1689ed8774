"""Tells whether a node has been up long enough to know what all nodes share."""

from collections.abc import Callable, Sequence

from eelgrass_coordination import Member

__all__ = ["SETTLE_S", "JoinState"]

# A node that starts finds the others within a second or two, also if all of them start
# at once. By then it has also heard of what they announced just before its start.
SETTLE_S = 2.5


class JoinState:
    """Whether one node has joined the others; times are of ``clock``, in seconds.

    ``other_seeds`` are the nodes that its settings name besides itself, and ``members``
    returns the records of all other nodes, in any state.
    """

    def __init__(
        self,
        other_seeds: Sequence[str],
        members: Callable[[], Sequence[Member]],
        clock: Callable[[], float],
    ) -> None:
        self._other_seeds = other_seeds
        self._members = members
        self._clock = clock
        self._settled_at = clock() + SETTLE_S

    def is_settled(self) -> bool:
        """Return whether the node has had the time to learn of the others."""
        return self._clock() >= self._settled_at

    def is_isolated(self) -> bool:
        """Return whether there should be other nodes, and this one knows none."""
        return bool(self._other_seeds) and not self._members()
