"""Announces crashes of servers under prompt parts, and what exonerates the parts.

A request with a part that crashes servers may arrive next at any node. Gossip items
reach all nodes within milliseconds, also when the store does not answer.
"""

from collections.abc import Callable, Sequence

import msgspec

from eelgrass_coordination import GossipItem, JsonDecoder

from ...log import Part, log
from ..backends import ServerIncarnation
from ..crash_subjects import PartCrash, PartKey
from .part_quarantine import PartQuarantine

__all__ = ["PartGossip"]

CRASH_KIND = "crash-under-parts"
EXONERATION_KIND = "part-exonerated"
# Keeps a datagram full of items within one packet.
MAX_PARTS_PER_ITEM = 3
# An exoneration does not change, so all nodes that announce the same one agree.
ONLY_VERSION = 1
# A node that has just started is told of earlier crashes all at once. For this long it
# takes their times from the items, although clocks of nodes differ.
CATCH_UP_S = 5.0


class _Exoneration(msgspec.Struct, frozen=True, array_like=True):
    part: PartKey
    server: ServerIncarnation


_crash_decoder = JsonDecoder(PartCrash)
_exoneration_decoder = JsonDecoder(_Exoneration)


class PartGossip:
    """Announcements that one node sends, and receives into its ``quarantine``.

    ``announce`` spreads gossip items, ``clock`` returns seconds and ``unix_ms`` Unix
    time in milliseconds.
    """

    def __init__(
        self,
        quarantine: PartQuarantine,
        announce: Callable[[Sequence[GossipItem]], object],
        clock: Callable[[], float],
        unix_ms: Callable[[], int],
    ) -> None:
        self._quarantine = quarantine
        self._announce = announce
        self._clock = clock
        self._unix_ms = unix_ms
        self._caught_up_at = clock() + CATCH_UP_S

    def announce_crash(self, crash: PartCrash) -> None:
        """Announce that a server has crashed under parts."""
        now = self._unix_ms()
        parts = tuple(sorted(crash.parts))
        batches = [
            parts[i : i + MAX_PARTS_PER_ITEM]
            for i in range(0, len(parts), MAX_PARTS_PER_ITEM)
        ]
        reports = [msgspec.structs.replace(crash, parts=batch) for batch in batches]
        self._announce([GossipItem(CRASH_KIND, _encode(r), now) for r in reports])

    def announce_exonerations(
        self, exonerations: Sequence[tuple[PartKey, ServerIncarnation]]
    ) -> None:
        """Announce parts that were answered after the crashes of servers."""
        self._announce(
            [
                GossipItem(EXONERATION_KIND, _encode(_Exoneration(*pair)), ONLY_VERSION)
                for pair in exonerations
            ]
        )

    def receive(self, item: GossipItem) -> None:
        """Apply a gossip item from another node; other kinds are ignored."""
        if item.kind not in (CRASH_KIND, EXONERATION_KIND):
            return
        try:
            if item.kind == CRASH_KIND:
                self._receive_crash(_crash_decoder.decode(item.name), item.number)
            else:
                exoneration = _exoneration_decoder.decode(item.name)
                self._quarantine.exonerate(exoneration.part, exoneration.server)
        except msgspec.MsgspecError as error:
            log(
                Part.HOSTS,
                "A gossip item on prompt parts is invalid; it is ignored.",
                name=item.name,
                error=str(error),
            )

    def _receive_crash(self, crash: PartCrash, at_ms: int) -> None:
        age_s = 0.0
        if self._clock() < self._caught_up_at:
            age_s = max(0.0, (self._unix_ms() - at_ms) / 1000)
        if self._quarantine.record_crash(crash, age_s):
            log(
                Part.HOSTS,
                "Another node reported that a server crashed under prompt parts.",
                backend=crash.server.id,
                parts=crash.parts,
            )


def _encode(fact: PartCrash | _Exoneration) -> str:
    return msgspec.json.encode(fact).decode()
