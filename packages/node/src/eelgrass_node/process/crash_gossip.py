"""Announces crashes of servers under requests, and applies such announcements.

A request that crashes servers may arrive next at any node. Each node spreads the
crashes that it sees as gossip items, which reach all nodes within milliseconds, even
when the store does not answer.
"""

from collections.abc import Callable, Iterable, Sequence

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from .backends import ServerIncarnation
from .crash_detector import Fingerprint
from .quarantine import Quarantine

__all__ = ["CrashGossip"]

CRASH_KIND = "ended-under"
SUCCESS_KIND = "sound-request"


class CrashGossip:
    """Announcements that one node sends, and receives into its ``quarantine``.

    ``announce`` spreads gossip items, and ``clock`` returns Unix time in milliseconds,
    by which a later item on a request supersedes an earlier one of the same kind.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        announce: Callable[[Sequence[GossipItem]], object],
        clock: Callable[[], int],
    ) -> None:
        self._quarantine = quarantine
        self._announce = announce
        self._clock = clock

    def announce_crash(
        self, incarnation: ServerIncarnation, requests: Iterable[Fingerprint]
    ) -> None:
        """Announce that a server has crashed under requests."""
        now = self._clock()
        self._announce(
            [GossipItem(CRASH_KIND, _name(r, incarnation), now) for r in requests]
        )

    def announce_success(self, request: Fingerprint) -> None:
        """Announce that a server has completed a request."""
        self._announce([GossipItem(SUCCESS_KIND, request, self._clock())])

    def receive(self, item: GossipItem) -> None:
        """Apply a gossip item from another node; other kinds are ignored."""
        if item.kind == SUCCESS_KIND:
            self._quarantine.clear(Fingerprint(item.name))
        elif item.kind == CRASH_KIND:
            self._receive_crash(item.name)

    def _receive_crash(self, name: str) -> None:
        try:
            request, started, server_id = name.split(" ", 2)
            incarnation = ServerIncarnation(BackendId(server_id), int(started))
        except ValueError as error:
            log(Part.HOSTS, "A gossip item is invalid.", name=name, error=str(error))
            return
        if self._quarantine.record_crash(Fingerprint(request), incarnation):
            log(
                Part.HOSTS,
                "Another node reported that a server crashed under a request.",
                backend=incarnation.id,
                request=request,
            )


def _name(request: Fingerprint, incarnation: ServerIncarnation) -> str:
    return f"{request} {incarnation.started} {incarnation.id}"
