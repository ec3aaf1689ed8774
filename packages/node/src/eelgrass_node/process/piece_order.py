"""In which order waiting pieces are run, and which rather wait for a nearer server."""

from collections.abc import Callable

from ..version.deployment import PieceLimits
from .backends import Backend
from .piece_servers import PieceServers
from .pieces import Piece

__all__ = ["PieceOrder", "rank"]

# How much later a set goes for each second of a server that it takes.
LARGE_SET_WEIGHT = 3.0
# A piece waits this long at most for a server in the data centre where its
# result will be fetched, if it can afford that: about one call.
NEAR_PATIENCE_S = 0.3


def rank(piece: Piece) -> tuple[bool, int, float]:
    """Sort pieces as if all could be on time: by share, by rank and by time."""
    return (piece.beyond, piece.priority, piece.due)


class PieceOrder:
    """The order of one queue, before its servers; times are in seconds."""

    def __init__(self, limits: Callable[[], PieceLimits], servers: PieceServers):
        self._limits = limits
        self._servers = servers

    def work_s(self, pieces: int) -> float:
        """Return the seconds of a server that pieces take in full calls."""
        limits = self._limits()
        return pieces * (limits.call_s / limits.batch + limits.piece_s)

    def is_late(self, piece: Piece, now: float) -> bool:
        """Return whether a request cannot be on time even if it is next."""
        return piece.due < now + self._servers.call_s(1)

    def key(
        self, piece: Piece, data_centre: str, now: float
    ) -> tuple[bool, bool, bool, int, float]:
        """Sort those that can be on time first, then by share, by rank and by time.

        Before all go the rest of sets that have begun, whose results take up
        memory until they are complete. A piece that is late anyway earns
        little; it takes what the others leave.
        One whose result is fetched in this data centre goes a little earlier,
        and one of a large set later: for the time of one set of eight, four
        sets of two are served, which are worth as much each.
        """
        late = self.is_late(piece, now)
        time = piece.due + self.work_s(piece.set_size) * LARGE_SET_WEIGHT
        if piece.near == data_centre:
            time -= NEAR_PATIENCE_S
        return (not piece.begun, late, piece.beyond, piece.priority, time)

    def waits_for_near(self, piece: Piece, server: Backend, now: float) -> bool:
        """Return whether a piece rather waits for a server nearer to its use."""
        if not piece.near or piece.near == server.entry.data_centre:
            return False
        if piece.begun or now - piece.queued_at >= NEAR_PATIENCE_S:
            return False
        limits = self._limits()
        size = self._servers.size(piece) * min(piece.set_size, limits.batch)
        wait_s = self._servers.wait_at(piece.near, size, now)
        if wait_s > NEAR_PATIENCE_S:
            return False
        # One that is late anyway has the time; others must not become so.
        end = now + wait_s + self._servers.call_s(limits.batch)
        return wait_s == 0.0 or end <= piece.due or self.is_late(piece, now)
