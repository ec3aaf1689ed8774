"""Tracks the prompt parts that servers crash under, and quarantines the harmful ones.

Requests that differ in everything else may share a part of their prompts that crashes
each server that begins to answer them. In a crash all requests of the server are lost,
and all of their shared parts become suspects. A suspect is exonerated by an answer that
begins on it anywhere after the crash. What remains is explained by the smallest set of
parts that were present in all crashes: the part with the most crashes is quarantined
first, and the crashes that it explains no longer count against its neighbours.

Crashes at the same moment count once, because servers also crash together for other
causes. Parts that were in exactly the same crashes are quarantined together; single
trial requests (:mod:`.trials`) then show which of them is harmful.

An answer exonerates a part for crashes of its own software version, and for crashes of
versions that no server has any more.

This module does no network I/O; times are those of ``clock``, in seconds.
"""

from collections.abc import Callable, Collection, Iterable

import msgspec

from eelgrass_coordination.ids import SoftwareVersion

from ...log import Part, log
from ..crash_subjects import PartCrash, PartKey
from ..host_entry import ServerIncarnation
from ..quarantine import RETENTION_S, SAME_CAUSE_S

__all__ = ["PartQuarantine"]

# Crashes at so many different moments, or so many crashes at two moments, identify a
# part that has been answered nowhere since.
MIN_MOMENTS = 3
MIN_CRASHES_AT_TWO_MOMENTS = 5
# Answers that have begun by the last of these crashes are known everywhere after this
# time; until then a part that most prompts share may look harmful.
CONFIRM_S = 0.4
# Crashes that are remembered, and suspects of each one.
MAX_CRASHES = 256
MAX_SUSPECTS = 512
# Interval at which expired crashes are dropped.
EXPIRY_INTERVAL_S = 10.0


class _Crash(msgspec.Struct):
    at: float
    version: SoftwareVersion | None = None
    suspects: set[PartKey] = msgspec.field(default_factory=set)
    exonerated: set[PartKey] = msgspec.field(default_factory=set)


class PartQuarantine:
    """One node's record of the parts under which servers have crashed.

    ``served_versions`` returns the software versions of all listed servers.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        served_versions: Callable[[], Collection[SoftwareVersion]],
    ) -> None:
        self._clock = clock
        self._served_versions = served_versions
        self._crash_by_server: dict[ServerIncarnation, _Crash] = {}
        self._servers_by_part: dict[PartKey, set[ServerIncarnation]] = {}
        self._held: frozenset[PartKey] = frozenset()
        self._evaluate_at = float("inf")
        self.on_exonerated: Callable[[PartKey], None] = lambda part: None

    def __len__(self) -> int:
        """Return the number of suspected parts."""
        return len(self._servers_by_part)

    def record_crash(self, crash: PartCrash, age_s: float = 0.0) -> set[PartKey]:
        """Record a crash ``age_s`` ago; return the parts that are new suspects of it.

        Several nodes report the same crash, each with the parts of its own requests.
        """
        if age_s >= RETENTION_S:
            return set()
        record = self._record_of(crash.server, age_s)
        record.version = crash.version
        new = set(crash.parts) - record.suspects - record.exonerated
        if len(record.suspects) + len(new) > MAX_SUSPECTS:
            log(
                Part.HOSTS,
                "A server crashed under too many prompt parts; the rest is ignored.",
                backend=crash.server.id,
                parts=len(record.suspects) + len(new),
            )
            new = set(sorted(new)[: MAX_SUSPECTS - len(record.suspects)])
        record.suspects |= new
        for part in new:
            self._servers_by_part.setdefault(part, set()).add(crash.server)
        self._evaluate_at = float("-inf")
        return new

    def exonerate(self, part: PartKey, server: ServerIncarnation) -> bool:
        """Clear a part of the crash of a server; return whether it was a suspect.

        The crash may not be known here yet.
        """
        record = self._record_of(server)
        record.exonerated.add(part)
        if part not in record.suspects:
            return False
        record.suspects.discard(part)
        self._remove_server(part, server)
        self._evaluate_at = float("-inf")
        self.on_exonerated(part)
        return True

    def exonerate_answered(
        self, parts: Iterable[PartKey], version: SoftwareVersion, began_at: float
    ) -> list[tuple[PartKey, ServerIncarnation]]:
        """Clear parts on which a server of a version began an answer.

        Returns the parts that were suspects, with the servers whose crash they no
        longer explain.
        """
        suspects = [part for part in parts if part in self._servers_by_part]
        if not suspects:
            return []
        served = self._served_versions()
        cleared = [
            (part, server)
            for part in suspects
            for server in self._servers_by_part[part]
            if self._is_refuted(server, version, served, began_at)
        ]
        for part, server in cleared:
            self.exonerate(part, server)
        return cleared

    def held_parts(self) -> frozenset[PartKey]:
        """Return all quarantined parts."""
        if self._clock() >= self._evaluate_at:
            self._evaluate()
        return self._held

    def held_among(self, parts: frozenset[PartKey]) -> frozenset[PartKey]:
        """Return those of some parts that are quarantined."""
        if not self._servers_by_part:
            return frozenset()
        return parts & self.held_parts()

    def suspected_parts(self) -> list[PartKey]:
        """Return all parts that may explain a crash."""
        return list(self._servers_by_part)

    def crashed_servers(self, part: PartKey) -> tuple[ServerIncarnation, ...]:
        """Return the servers whose crash a part may explain."""
        return tuple(self._servers_by_part.get(part, ()))

    def crash_of(self, part: PartKey, server: ServerIncarnation) -> PartCrash:
        """Return one crash under a part."""
        return PartCrash(server, self._crash_by_server[server].version, (part,))

    def age_s(self, server: ServerIncarnation) -> float:
        """Return how long ago a server crashed."""
        return self._clock() - self._crash_by_server[server].at

    def evidence_against(self, held: frozenset[PartKey]) -> tuple[int, float]:
        """Return the number of moments of crashes, and the time of the last crash.

        Crashes that another quarantined part may explain do not count, nor do any if
        no server of a version that crashed is left.
        """
        all_held, served = self.held_parts(), self._served_versions()
        suspected = (
            self._crash_by_server[server]
            for server in set().union(*map(self.crashed_servers, held))
        )
        crashes = [c for c in suspected if c.suspects & all_held <= held]
        if not any(crash.version in served for crash in crashes):
            return 0, float("-inf")
        times = [crash.at for crash in crashes]
        return _count_moments(times), max(times)

    def remaining_s(self, part: PartKey) -> float:
        """Return how long a part will still be remembered, in seconds."""
        ages = map(self.age_s, self.crashed_servers(part))
        return max(0.0, RETENTION_S - min(ages, default=RETENTION_S))

    def _is_refuted(
        self,
        server: ServerIncarnation,
        version: SoftwareVersion,
        served: Collection[SoftwareVersion],
        began_at: float,
    ) -> bool:
        """Return whether an answer clears its parts of the crash of a server."""
        crash = self._crash_by_server[server]
        if crash.at >= began_at:
            return False
        return crash.version == version or crash.version not in served

    def _record_of(self, server: ServerIncarnation, age_s: float = 0.0) -> _Crash:
        record = self._crash_by_server.get(server)
        if record is None:
            if len(self._crash_by_server) >= MAX_CRASHES:
                self._evict()
            record = self._crash_by_server[server] = _Crash(self._clock() - age_s)
        return record

    def _evict(self) -> None:
        """Drop the oldest crash that no quarantined part explains, if there is one."""
        held = self.held_parts()
        crashes = self._crash_by_server
        by_age = sorted(crashes, key=lambda server: crashes[server].at)
        unexplained = (s for s in by_age if not crashes[s].suspects & held)
        self._drop(next(unexplained, by_age[0]))

    def _drop(self, server: ServerIncarnation) -> None:
        for part in self._crash_by_server.pop(server).suspects:
            self._remove_server(part, server)

    def _remove_server(self, part: PartKey, server: ServerIncarnation) -> None:
        servers = self._servers_by_part[part]
        servers.discard(server)
        if not servers:
            del self._servers_by_part[part]

    def _evaluate(self) -> None:
        now = self._clock()
        for server, crash in list(self._crash_by_server.items()):
            if now - crash.at >= RETENTION_S:
                self._drop(server)
        held, confirmed_at = self._explain_crashes(now)
        self._evaluate_at = min(confirmed_at, now + EXPIRY_INTERVAL_S)
        if held != self._held:
            log(
                Part.REQUESTS,
                "The set of quarantined prompt parts has changed.",
                parts=sorted(held),
                crashes={part: len(self._servers_by_part[part]) for part in held},
            )
        self._held = held

    def _explain_crashes(self, now: float) -> tuple[frozenset[PartKey], float]:
        """Return the parts to hold, and when the next one may be confirmed."""
        unexplained = {
            part: set(servers)
            for part, servers in self._servers_by_part.items()
            if len(servers) >= MIN_MOMENTS
        }
        held: set[PartKey] = set()
        while unexplained:
            times_by_part = {
                part: sorted(self._crash_by_server[server].at for server in servers)
                for part, servers in unexplained.items()
            }
            part = max(
                times_by_part,
                key=lambda p: (
                    _count_moments(times_by_part[p]),
                    len(unexplained[p]),
                    p,
                ),
            )
            confirmed_at = _identified_at(times_by_part[part]) + CONFIRM_S
            if now < confirmed_at:
                return frozenset(held), confirmed_at
            explained = unexplained[part]
            held |= {p for p, servers in unexplained.items() if servers == explained}
            unexplained = {p: s - explained for p, s in unexplained.items()}
            unexplained = {p: s for p, s in unexplained.items() if s}
        return frozenset(held), float("inf")


def _moments(sorted_times: list[float]) -> list[float]:
    """Return the first time of each group of simultaneous crashes."""
    moments: list[float] = []
    for time in sorted_times:
        if not moments or time - moments[-1] > SAME_CAUSE_S:
            moments.append(time)
    return moments


def _count_moments(times: Iterable[float]) -> int:
    return len(_moments(sorted(times)))


def _rank(sorted_times: list[float], part: PartKey) -> tuple[int, int, PartKey]:
    """Return the key by which the part that explains most crashes is found."""
    return _count_moments(sorted_times), len(sorted_times), part


def _identified_at(sorted_times: list[float]) -> float:
    """Return when crashes were enough to identify a part; infinity if they are not."""
    moments = _moments(sorted_times)
    identified_at = float("inf")
    if len(moments) >= MIN_MOMENTS:
        identified_at = moments[MIN_MOMENTS - 1]
    if len(moments) >= 2 and len(sorted_times) >= MIN_CRASHES_AT_TWO_MOMENTS:
        fifth_at = sorted_times[MIN_CRASHES_AT_TWO_MOMENTS - 1]
        identified_at = min(identified_at, max(moments[1], fifth_at))
    return identified_at
