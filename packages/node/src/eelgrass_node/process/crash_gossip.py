"""Tells other nodes under which requests servers have ended, and hears of it.

A request that ends servers comes again at any node. What each node sees of it is told
as marks of the membership, which reach all nodes within milliseconds, also where the
store does not answer.
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
    """The news that one node tells and hears; what it hears goes to ``quarantine``.

    ``announce`` tells of marks, and ``clock`` returns the time of day in milliseconds,
    by which later news of a request supersedes earlier news of the same kind.
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
        """Tell others that a server has ended under requests."""
        now = self._clock()
        self._announce(
            [GossipItem(CRASH_KIND, _name(r, incarnation), now) for r in requests]
        )

    def announce_success(self, request: Fingerprint) -> None:
        """Tell others that a server has run a request to its end."""
        self._announce([GossipItem(SUCCESS_KIND, request, self._clock())])

    def receive(self, mark: GossipItem) -> None:
        """Take in what another node tells; marks of other kinds are nothing here."""
        if mark.kind == SUCCESS_KIND:
            self._quarantine.clear(Fingerprint(mark.name))
        elif mark.kind == CRASH_KIND:
            self._hear_ended(mark.name)

    def _hear_ended(self, name: str) -> None:
        try:
            request, started, server_id = name.split(" ", 2)
            incarnation = ServerIncarnation(BackendId(server_id), int(started))
        except ValueError as error:
            log(Part.HOSTS, "A mark is not taken.", name=name, error=str(error))
            return
        if self._quarantine.record_crash(Fingerprint(request), incarnation):
            log(
                Part.HOSTS,
                "Another node says that a server ended under a request.",
                backend=incarnation.id,
                request=request,
            )


def _name(request: Fingerprint, incarnation: ServerIncarnation) -> str:
    return f"{request} {incarnation.started} {incarnation.id}"
