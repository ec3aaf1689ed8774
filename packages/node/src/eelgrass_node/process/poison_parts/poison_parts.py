"""Detects prompt parts that crash servers, and shares what is known of them."""

from collections.abc import Callable, Collection, Sequence

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import SoftwareVersion

from ..crash_subjects import PartCrash, PartKey
from .part_gossip import PartGossip
from .part_quarantine import PartQuarantine
from .part_rows import PartCrashRow, PartRows, part_row_key
from .trials import TrialPermits

__all__ = ["PoisonParts"]

# Crashes of a part are kept in the store from this number on. Most parts that lose a
# server once are answered elsewhere within a second.
MIN_STORED_CRASHES = 2


class PoisonParts:
    """Evidence, announcement and quarantine of prompt parts on one node.

    ``announce`` spreads gossip items, ``clock`` returns seconds and ``unix_ms`` Unix
    time in milliseconds. ``served_versions`` returns the software versions of all
    listed servers. ``write_rows`` and ``remove_rows`` change rows of the crash table.
    """

    def __init__(
        self,
        announce: Callable[[Sequence[GossipItem]], object],
        clock: Callable[[], float],
        unix_ms: Callable[[], int],
        served_versions: Callable[[], Collection[SoftwareVersion]],
    ) -> None:
        self._unix_ms = unix_ms
        self.quarantine = PartQuarantine(clock, served_versions)
        self.gossip = PartGossip(self.quarantine, announce, clock, unix_ms)
        self.permits = TrialPermits(self.quarantine, clock)
        self.rows = PartRows(self.quarantine)
        self.write_rows: Callable[[Sequence[tuple[str, PartCrashRow]]], None] = _ignore
        self.remove_rows: Callable[[Sequence[str]], None] = _ignore

    def held_parts(self) -> frozenset[PartKey]:
        """Return all quarantined parts."""
        return self.quarantine.held_parts()

    def record_crash(self, crash: PartCrash) -> None:
        """Record a crash that this node has seen, and announce it."""
        new = self.quarantine.record_crash(crash)
        if not new:
            return
        self.gossip.announce_crash(
            PartCrash(crash.server, crash.version, tuple(sorted(new)))
        )
        repeated = [
            part
            for part in new
            if len(self.quarantine.crashed_servers(part)) >= MIN_STORED_CRASHES
        ]
        self.write_rows(self.rows.rows_of(repeated, self._unix_ms()))

    def record_answer(
        self, parts: frozenset[PartKey], version: SoftwareVersion, began_at: float
    ) -> None:
        """Exonerate parts on which a server has begun an answer, on all nodes."""
        cleared = self.quarantine.exonerate_answered(parts, version, began_at)
        if not cleared:
            return
        self.gossip.announce_exonerations(cleared)
        self.remove_rows([part_row_key(part, server) for part, server in cleared])


def _ignore(rows: object) -> None:
    pass
