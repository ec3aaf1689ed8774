"""Detects prompt parts that crash servers, and shares what is known of them."""

import asyncio
from collections.abc import Callable, Collection, Sequence

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import SoftwareVersion

from ..crash_subjects import PartCrash, PartKey
from .part_gossip import PartGossip
from .part_quarantine import PartQuarantine
from .part_rows import PartCrashRow, PartRows, part_row_key
from .trials import TrialPermits

__all__ = ["PoisonParts"]

# The first crash under a part is written to the store after this time, if the part is
# still a suspect: most are answered elsewhere by then. Later ones are written at once.
FIRST_ROW_DELAY_S = 0.7


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
        repeated = {p for p in new if len(self.quarantine.crashed_servers(p)) > 1}
        self._write_suspects(repeated)
        loop = asyncio.get_running_loop()
        loop.call_later(FIRST_ROW_DELAY_S, self._write_suspects, new - repeated)

    def _write_suspects(self, parts: set[PartKey]) -> None:
        """Write the crashes under those of some parts that are still suspects."""
        self.write_rows(self.rows.rows_of(parts, self._unix_ms()))

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
