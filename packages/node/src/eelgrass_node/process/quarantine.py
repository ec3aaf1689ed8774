"""Requests under which servers have ended, and those that are sent to none any more.

The pattern it answers: one request ends each server that begins to run it, and its
caller sends it again and again, under new attempt ids and to any node. Without a memory
of the request all servers of a service end under it.

A server runs many requests at a time, and all of them lose it. What tells the one from
its neighbours: they succeed elsewhere, which clears them, and they seldom share three
servers with it. Those that share all three are tied, and may be tried again for a short
time; the one that ends a fourth server is known then.

Servers may also end together for a cause of their own, such as a data centre without
power, and a request that many callers send runs on several of them. Ends at one moment
count once, therefore, where each of these servers ran other requests, too, and another
server ended at that moment which did not run this one: copies of a harmful request end
just the servers that they run on.

No network here; times are those of ``clock``, in seconds.
"""

from collections.abc import Callable
from itertools import islice

import msgspec

from ..log import Part, log
from .backends import ServerIncarnation
from .crash_detector import Fingerprint

__all__ = ["MAX_CRASHES", "Quarantine"]

# A request under which so many servers have ended is sent to no other one.
MAX_CRASHES = 3
# Tied requests may be tried for so long after the last server ended: a caller that has
# lost its answer comes again within this time.
TIE_RETRY_S = 2.0
# Ends within this time have one cause: they are noted as soon as connections break.
SAME_CAUSE_S = 0.3
# A server that ends for a cause of its own runs more than one or two requests, mostly.
MIN_NEIGHBOURS = 2
# A request is remembered for so long after the last server has ended under it.
RETENTION_S = 3600.0
# Requests that are remembered; those under which fewest servers have ended go first.
MAX_REMEMBERED = 4096


class _Suspect(msgspec.Struct):
    """The servers that have ended under a request, with the time of each end."""

    ended_at_by_life: dict[ServerIncarnation, float]

    @property
    def last_at(self) -> float:
        return max(self.ended_at_by_life.values())


class Quarantine:
    """What one node knows of requests under which servers have ended."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._suspect_by_request: dict[Fingerprint, _Suspect] = {}
        self._requests_by_life: dict[ServerIncarnation, set[Fingerprint]] = {}

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._suspect_by_request)

    def crashed_servers(self, request: Fingerprint) -> tuple[ServerIncarnation, ...]:
        """Return the servers that have ended under a request."""
        suspect = self._known(request)
        return () if suspect is None else tuple(suspect.ended_at_by_life)

    def quarantined_count(self) -> int:
        """Return how many requests are sent to no server."""
        return sum(
            self.is_quarantined(request) for request in list(self._suspect_by_request)
        )

    def record_crash(
        self, request: Fingerprint, incarnation: ServerIncarnation, age_s: float = 0.0
    ) -> bool:
        """Note that a server ended under a request, ``age_s`` ago; False if known."""
        if age_s >= RETENTION_S:
            return False
        suspect = self._known(request)
        if suspect is None:
            self._make_room()
            suspect = self._suspect_by_request[request] = _Suspect({})
        elif incarnation in suspect.ended_at_by_life:
            return False
        suspect.ended_at_by_life[incarnation] = self._clock() - age_s
        self._requests_by_life.setdefault(incarnation, set()).add(request)
        if len(suspect.ended_at_by_life) >= MAX_CRASHES:
            log(
                Part.REQUESTS,
                "Servers have ended under a request again and again.",
                request=request,
                backends=[known.id for known in suspect.ended_at_by_life],
                held=self.is_quarantined(request),
            )
        return True

    def remove_crash(
        self, request: Fingerprint, incarnation: ServerIncarnation
    ) -> None:
        """Forget that a server has ended under a request."""
        suspect = self._suspect_by_request.get(request)
        if suspect is None or suspect.ended_at_by_life.pop(incarnation, None) is None:
            return
        self._drop_from_life(request, incarnation)
        if not suspect.ended_at_by_life:
            del self._suspect_by_request[request]

    def clear(self, request: Fingerprint) -> tuple[ServerIncarnation, ...]:
        """Forget a request that a server has run to its end; return what was known."""
        suspect = self._suspect_by_request.pop(request, None)
        if suspect is None:
            return ()
        for incarnation in suspect.ended_at_by_life:
            self._drop_from_life(request, incarnation)
        return tuple(suspect.ended_at_by_life)

    def is_suspect(self, request: Fingerprint) -> bool:
        """Return whether a server has ended under a request."""
        return self._known(request) is not None

    def is_quarantined(self, request: Fingerprint) -> bool:
        """Return whether a request is sent to no server."""
        suspect = self._known(request)
        if suspect is None or len(suspect.ended_at_by_life) < MAX_CRASHES:
            return False
        occasions = self._occasions(request, suspect)
        if len(suspect.ended_at_by_life) > MAX_CRASHES:
            return occasions > 1
        if occasions < MAX_CRASHES:
            return False
        rivals = self._rivals(request, suspect)
        if any(len(rival.ended_at_by_life) > MAX_CRASHES for rival in rivals):
            # That one explains them all.
            return False
        return not rivals or self._clock() - suspect.last_at >= TIE_RETRY_S

    def remaining_s(self, request: Fingerprint) -> float:
        """Return how long a request will still be held, in seconds."""
        suspect = self._known(request)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.last_at + RETENTION_S - self._clock())

    def _occasions(self, request: Fingerprint, suspect: _Suspect) -> int:
        """Return how many ends count: those at one moment once, if others explain them.

        They do not where one of the servers ran hardly anything else.
        """
        ends = sorted(
            (ended_at, self._ran_others(incarnation, request, suspect))
            for incarnation, ended_at in suspect.ended_at_by_life.items()
        )
        occasions = 0
        while ends:
            began_at = ends[0][0]
            moment = [end for end in ends if end[0] - began_at <= SAME_CAUSE_S]
            shared = all(ran_others for _, ran_others in moment)
            together = shared and self._others_ended(suspect, began_at)
            occasions += 1 if together else len(moment)
            ends = ends[len(moment) :]
        return occasions

    def _others_ended(self, suspect: _Suspect, at: float) -> bool:
        """Return whether a server ended at a moment that a suspect did not run on."""
        for incarnation, requests in self._requests_by_life.items():
            if incarnation in suspect.ended_at_by_life:
                continue
            known = (self._suspect_by_request[other] for other in requests)
            if any(
                abs(k.ended_at_by_life[incarnation] - at) <= SAME_CAUSE_S for k in known
            ):
                return True
        return False

    def _ran_others(
        self, incarnation: ServerIncarnation, request: Fingerprint, suspect: _Suspect
    ) -> bool:
        """Return whether a server ended under several requests that are no rivals."""
        others = self._requests_by_life[incarnation] - {request}
        speaking = (other for other in others if not self._is_rival(other, suspect))
        return sum(1 for _ in islice(speaking, MIN_NEIGHBOURS)) == MIN_NEIGHBOURS

    def _is_rival(self, other: Fingerprint, suspect: _Suspect) -> bool:
        """Return whether all servers of a suspect ended under another request, too."""
        ended = self._suspect_by_request[other].ended_at_by_life.keys()
        return suspect.ended_at_by_life.keys() <= ended

    def _rivals(self, request: Fingerprint, suspect: _Suspect) -> list[_Suspect]:
        """Return the other requests under which all of the same servers ended."""
        sharing = (
            self._requests_by_life[incarnation]
            for incarnation in suspect.ended_at_by_life
        )
        rivals = set.intersection(*sharing) - {request}
        return [self._suspect_by_request[rival] for rival in rivals]

    def _known(self, request: Fingerprint) -> _Suspect | None:
        """Return what is remembered of a request, unless its time is over."""
        suspect = self._suspect_by_request.get(request)
        if suspect is None:
            return None
        if self._clock() - suspect.last_at >= RETENTION_S:
            self.clear(request)
            return None
        return suspect

    def _make_room(self) -> None:
        if len(self._suspect_by_request) < MAX_REMEMBERED:
            return
        suspects = self._suspect_by_request

        def worth(request: Fingerprint) -> tuple[int, float]:
            return (len(suspects[request].ended_at_by_life), suspects[request].last_at)

        self.clear(min(suspects, key=worth))

    def _drop_from_life(
        self, request: Fingerprint, incarnation: ServerIncarnation
    ) -> None:
        requests = self._requests_by_life[incarnation]
        requests.discard(request)
        if not requests:
            del self._requests_by_life[incarnation]
