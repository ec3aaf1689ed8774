"""Selects the nodes that issue the permits for requests to a server.

One node, selected by hashing over the members, counts for all. The request rates of
single nodes are too small to divide a server's limit among them: with 400 nodes, a
share of one request per second is a request in 400 seconds.
"""

from collections.abc import Callable, Sequence
from itertools import islice

from eelgrass_coordination import Member, MemberState, ranked
from eelgrass_coordination.ids import NodeId

from .host_entry import ServerIncarnation
from .joined import JoinState

__all__ = ["PermitOwners"]

# Rankings that are kept; they are dropped whenever a member changes.
MAX_RANKINGS = 1024


class PermitOwners:
    """The owners of servers' permits, as one node knows them.

    ``own`` and ``members`` return the node's own record and those of all others,
    including unreachable nodes; ``changes`` returns a number that changes with them.
    """

    def __init__(
        self,
        own: Callable[[], Member],
        members: Callable[[], Sequence[Member]],
        join_state: JoinState,
        changes: Callable[[], int] | None = None,
    ) -> None:
        self._own = own
        self._members = members
        self._join_state = join_state
        self._changes = changes
        self._ranked_at: tuple[Member, int] | None = None
        self._ranking_by_server: dict[ServerIncarnation, list[Member]] = {}

    def first(self, server: ServerIncarnation) -> Member:
        """Return the owner whether or not it can be reached.

        An unreachable owner keeps its place, because a partition must not create owners
        on both of its sides.
        """
        return self._ranked(server)[0]

    def reachable(self, server: ServerIncarnation, most: int) -> list[Member]:
        """Return the owner and those that take its place in turn, without dead nodes.

        A node that leaves is its own owner only if it knows no other.
        """
        ranked = self._ranked(server)
        gone = (MemberState.DEAD, MemberState.LEFT)
        owners = list(islice((m for m in ranked if m.state not in gone), most))
        return owners or [self._own()]

    def is_own(self, node: NodeId) -> bool:
        """Return whether a node is this one."""
        return node == self._own().id

    def has_joined(self) -> bool:
        """Return whether this node knows the others, and may issue permits.

        One that has just started knows neither them nor what the owner before it has
        issued.
        """
        return self._join_state.is_settled() and not self._join_state.is_isolated()

    def _ranked(self, server: ServerIncarnation) -> list[Member]:
        """Return this node and those that have not left, by the hash of the server."""
        own = self._own()
        if self._changes is None:
            return self._rank(server, own)
        ranked_at = (own, self._changes())
        if ranked_at != self._ranked_at or len(self._ranking_by_server) > MAX_RANKINGS:
            self._ranked_at = ranked_at
            self._ranking_by_server = {}
        if server not in self._ranking_by_server:
            self._ranking_by_server[server] = self._rank(server, own)
        return self._ranking_by_server[server]

    def _rank(self, server: ServerIncarnation, own: Member) -> list[Member]:
        staying = [m for m in self._members() if m.state is not MemberState.LEFT]
        # The key is part of the protocol between nodes.
        key = f"warm-up/{server.id}"
        return ranked([*staying, own], key, name=lambda member: member.id)
