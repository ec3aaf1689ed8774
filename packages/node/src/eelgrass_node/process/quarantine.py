"""Tracks the requests that servers crash under, and quarantines the harmful ones.

One request may crash each server that starts to run it, while its caller sends it again
and again, under new attempt ids and to any node. Without a record of the request, all
servers of a service would crash under it.

A server runs many requests at a time, and all of them lose it in a crash. The harmful
one differs from its neighbours: they succeed on other servers, which clears them, and
they seldom share three crashed servers with it. Requests that share all three are tied,
and may be tried again for a short time; the one that crashes a fourth server is then
identified.

Servers may also crash together for another cause, such as a power failure in a data
centre, and a request that many callers send runs on several of them. Simultaneous
crashes therefore count once if each of these servers ran other requests, too, and a
server that did not run this request crashed at the same time: copies of a harmful
request crash only the servers that they run on.

This module does no network I/O; times are those of ``clock``, in seconds.
"""

from collections.abc import Callable
from itertools import islice

import msgspec

from ..log import Part, log
from .backends import ServerIncarnation
from .crash_subjects import Fingerprint

__all__ = ["MAX_CRASHES", "Quarantine"]

# A request under which this many servers have crashed is sent to no other server.
MAX_CRASHES = 3
# Tied requests may be tried for this long after the last crash: a caller that has lost
# its answer retries within this time.
TIE_RETRY_S = 2.0
# Crashes within this time have one cause: they are recorded when connections break.
SAME_CAUSE_S = 0.3
# A server that crashes for another cause is usually running more than one or two
# requests.
MIN_NEIGHBOURS = 2
# A request is remembered for this long after the last crash under it.
RETENTION_S = 3600.0
# Requests that are remembered; those with the fewest crashes are evicted first.
MAX_REMEMBERED = 4096


class _Suspect(msgspec.Struct):
    """The servers that have crashed under a request, with the time of each crash."""

    time_by_server: dict[ServerIncarnation, float]

    @property
    def last_at(self) -> float:
        return max(self.time_by_server.values())


class Quarantine:
    """One node's record of the requests under which servers have crashed."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._suspect_by_request: dict[Fingerprint, _Suspect] = {}
        self._requests_by_life: dict[ServerIncarnation, set[Fingerprint]] = {}

    def __len__(self) -> int:
        """Return the number of remembered requests."""
        return len(self._suspect_by_request)

    def crashed_servers(self, request: Fingerprint) -> tuple[ServerIncarnation, ...]:
        """Return the servers that have crashed under a request."""
        suspect = self._find(request)
        return () if suspect is None else tuple(suspect.time_by_server)

    def crashes(self) -> list[tuple[Fingerprint, ServerIncarnation, float]]:
        """Return all crashes, each with its request and its age in seconds."""
        now = self._clock()
        return [
            (request, incarnation, now - crashed_at)
            for request, suspect in self._suspect_by_request.items()
            for incarnation, crashed_at in suspect.time_by_server.items()
        ]

    def quarantined_count(self) -> int:
        """Return the number of quarantined requests."""
        return sum(
            self.is_quarantined(request) for request in list(self._suspect_by_request)
        )

    def record_crash(
        self, request: Fingerprint, incarnation: ServerIncarnation, age_s: float = 0.0
    ) -> bool:
        """Record a crash under a request, ``age_s`` ago; return whether it is new."""
        if age_s >= RETENTION_S:
            return False
        suspect = self._find(request)
        if suspect is None:
            self._evict_if_full()
            suspect = self._suspect_by_request[request] = _Suspect({})
        elif incarnation in suspect.time_by_server:
            return False
        suspect.time_by_server[incarnation] = self._clock() - age_s
        self._requests_by_life.setdefault(incarnation, set()).add(request)
        if len(suspect.time_by_server) >= MAX_CRASHES:
            log(
                Part.REQUESTS,
                "Servers have crashed repeatedly under a request.",
                request=request,
                backends=[known.id for known in suspect.time_by_server],
                held=self.is_quarantined(request),
            )
        return True

    def remove_crash(
        self, request: Fingerprint, incarnation: ServerIncarnation
    ) -> None:
        """Remove a server from those that have crashed under a request."""
        suspect = self._suspect_by_request.get(request)
        if suspect is None or suspect.time_by_server.pop(incarnation, None) is None:
            return
        self._remove_request_from(request, incarnation)
        if not suspect.time_by_server:
            del self._suspect_by_request[request]

    def clear(self, request: Fingerprint) -> tuple[ServerIncarnation, ...]:
        """Forget a request that a server has completed; return the crashed servers."""
        suspect = self._suspect_by_request.pop(request, None)
        if suspect is None:
            return ()
        for incarnation in suspect.time_by_server:
            self._remove_request_from(request, incarnation)
        return tuple(suspect.time_by_server)

    def is_suspect(self, request: Fingerprint) -> bool:
        """Return whether a server has crashed under a request."""
        return self._find(request) is not None

    def is_quarantined(self, request: Fingerprint) -> bool:
        """Return whether a request is quarantined, that is, sent to no server."""
        suspect = self._find(request)
        if suspect is None or len(suspect.time_by_server) < MAX_CRASHES:
            return False
        crashes = self._independent_crashes(request, suspect)
        if len(suspect.time_by_server) > MAX_CRASHES:
            return crashes > 1
        if crashes < MAX_CRASHES:
            return False
        co_suspects = self._co_suspects(request, suspect)
        if any(
            len(co_suspect.time_by_server) > MAX_CRASHES for co_suspect in co_suspects
        ):
            # The co-suspect explains all of these crashes.
            return False
        return not co_suspects or self._clock() - suspect.last_at >= TIE_RETRY_S

    def remaining_s(self, request: Fingerprint) -> float:
        """Return how long a request will still be remembered, in seconds."""
        suspect = self._find(request)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.last_at + RETENTION_S - self._clock())

    def _independent_crashes(self, request: Fingerprint, suspect: _Suspect) -> int:
        """Return the number of crashes that do not have a common cause.

        Simultaneous crashes count once if they have another explanation than this
        request. They have none if one of the servers ran hardly any other request.
        """
        crash_times = sorted(
            (crashed_at, self._ran_other_requests(incarnation, request, suspect))
            for incarnation, crashed_at in suspect.time_by_server.items()
        )
        crashes = 0
        while crash_times:
            began_at = crash_times[0][0]
            group = [
                crash_time
                for crash_time in crash_times
                if crash_time[0] - began_at <= SAME_CAUSE_S
            ]
            all_ran_others = all(ran_other_requests for _, ran_other_requests in group)
            have_other_cause = all_ran_others and self._others_crashed(
                suspect, began_at
            )
            crashes += 1 if have_other_cause else len(group)
            crash_times = crash_times[len(group) :]
        return crashes

    def _others_crashed(self, suspect: _Suspect, at: float) -> bool:
        """Return whether a server that did not run a suspect crashed at that time."""
        for incarnation, requests in self._requests_by_life.items():
            if incarnation in suspect.time_by_server:
                continue
            others = (self._suspect_by_request[other] for other in requests)
            if any(
                abs(o.time_by_server[incarnation] - at) <= SAME_CAUSE_S for o in others
            ):
                return True
        return False

    def _ran_other_requests(
        self, incarnation: ServerIncarnation, request: Fingerprint, suspect: _Suspect
    ) -> bool:
        """Return whether a server crashed under several other requests.

        Co-suspects do not count, because they crashed all of the same servers.
        """
        others = self._requests_by_life[incarnation] - {request}
        distinguishing = (
            other for other in others if not self._is_co_suspect(other, suspect)
        )
        return sum(1 for _ in islice(distinguishing, MIN_NEIGHBOURS)) == MIN_NEIGHBOURS

    def _is_co_suspect(self, other: Fingerprint, suspect: _Suspect) -> bool:
        """Return whether all servers of a suspect crashed under another request."""
        crashed = self._suspect_by_request[other].time_by_server.keys()
        return suspect.time_by_server.keys() <= crashed

    def _co_suspects(self, request: Fingerprint, suspect: _Suspect) -> list[_Suspect]:
        """Return the other requests under which all of the same servers crashed."""
        sharing = (
            self._requests_by_life[incarnation]
            for incarnation in suspect.time_by_server
        )
        co_suspects = set.intersection(*sharing) - {request}
        return [self._suspect_by_request[co_suspect] for co_suspect in co_suspects]

    def _find(self, request: Fingerprint) -> _Suspect | None:
        """Return the record of a request, unless it has expired."""
        suspect = self._suspect_by_request.get(request)
        if suspect is None:
            return None
        if self._clock() - suspect.last_at >= RETENTION_S:
            self.clear(request)
            return None
        return suspect

    def _evict_if_full(self) -> None:
        if len(self._suspect_by_request) < MAX_REMEMBERED:
            return
        suspects = self._suspect_by_request

        def eviction_key(request: Fingerprint) -> tuple[int, float]:
            return (len(suspects[request].time_by_server), suspects[request].last_at)

        self.clear(min(suspects, key=eviction_key))

    def _remove_request_from(
        self, request: Fingerprint, incarnation: ServerIncarnation
    ) -> None:
        requests = self._requests_by_life[incarnation]
        requests.discard(request)
        if not requests:
            del self._requests_by_life[incarnation]
