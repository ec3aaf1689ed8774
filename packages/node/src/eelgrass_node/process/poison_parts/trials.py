"""Trial requests, which show whether a quarantined prompt part is harmful.

Parts that always come together, or that were seldom answered, may be quarantined
without being harmful. A request with such parts is sent as a trial: one at a time over
all nodes, and the less often, the more servers have crashed under these parts alone.
The answer to a trial exonerates the parts, a crash is one more piece of evidence.

One node issues the permits for a set of parts. It is selected by hashing over the
members; the next one takes its place while it does not answer. A node that has just
started knows neither all members nor all crashes, and makes no trials.
"""

from collections.abc import Awaitable, Callable, Sequence

import msgspec

from eelgrass_coordination import Member, MemberState, ranked
from eelgrass_coordination.ids import NodeId

from ...exceptions import PeerUnreachable
from ...log import Part, log
from ..crash_subjects import PartKey
from ..joined import SETTLE_S
from ..warm_up import Permit
from .part_quarantine import PartQuarantine

__all__ = ["AskTrialOwner", "TrialAdmission", "TrialPermits"]

# Pause after the last crash before the next trial, by the number of moments at which
# servers crashed under exactly these parts. Beyond it there are no trials, until the
# crashes are forgotten.
PAUSE_S_BY_MOMENTS = (0.0, 0.3, 0.3, 0.3, 3.0, 60.0, 900.0)
# A trial without a result by then counts as failed; callers wait about as long.
TRIAL_TIMEOUT_S = 5.0
# Trials without a result count as so many moments, plus one for each.
FIRST_TRIAL_MOMENTS = 2
# When to return if a trial is under way or its owner is unreachable.
RETRY_AFTER_S = 0.5
# Nodes that are asked for a permit, in the order of their hashes.
MAX_OWNERS = 3
# Sets of parts whose trials are remembered.
MAX_TRIALS = 1024

# Asks a node for a permit; raises PeerUnreachable.
AskTrialOwner = Callable[[Member, frozenset[PartKey]], Awaitable[Permit]]


class _Trials(msgspec.Struct):
    """The trials of a set of parts: their number, and when the last one began."""

    count: int = 0
    last_at: float = float("-inf")


class TrialPermits:
    """The permits that one node issues, each for one request with some held parts."""

    def __init__(self, quarantine: PartQuarantine, clock: Callable[[], float]) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._settled_at = clock() + SETTLE_S
        self._trials_by_parts: dict[frozenset[PartKey], _Trials] = {}
        quarantine.on_exonerated = self._forget

    @property
    def is_settled(self) -> bool:
        """Whether the node has had the time to learn of the others and of crashes."""
        return self._clock() >= self._settled_at

    def pause_s(self, parts: frozenset[PartKey], trials: int = 0) -> float:
        """Return how long to wait for the next trial; infinity if there is none."""
        moments, last_at = self._quarantine.evidence_against(parts)
        if trials:
            moments = max(moments, FIRST_TRIAL_MOMENTS + trials)
            last_at = max(last_at, self._trials_by_parts[parts].last_at)
        if moments >= len(PAUSE_S_BY_MOMENTS):
            return float("inf")
        return max(0.0, last_at + PAUSE_S_BY_MOMENTS[moments] - self._clock())

    def issue(self, parts: frozenset[PartKey]) -> Permit:
        """Return a permit for one request with these held parts, granted or refused."""
        now = self._clock()
        if not self.is_settled:
            return Permit(False, RETRY_AFTER_S)
        trials = self._trials_by_parts.get(parts, _Trials())
        if now - trials.last_at < TRIAL_TIMEOUT_S and not self._has_crashed(
            parts, trials.last_at
        ):
            return Permit(False, RETRY_AFTER_S)
        pause_s = self.pause_s(parts, trials.count)
        if pause_s > 0:
            return Permit(False, pause_s)
        if len(self._trials_by_parts) >= MAX_TRIALS:
            del self._trials_by_parts[next(iter(self._trials_by_parts))]
        self._trials_by_parts[parts] = _Trials(trials.count + 1, now)
        log(
            Part.REQUESTS,
            "A trial of quarantined prompt parts is permitted.",
            parts=sorted(parts),
            trials=trials.count + 1,
        )
        return Permit(True)

    def _has_crashed(self, parts: frozenset[PartKey], since: float) -> bool:
        """Return whether the trial that began at a time has crashed its server."""
        return self._quarantine.evidence_against(parts)[1] > since

    def _forget(self, part: PartKey) -> None:
        for parts in [p for p in self._trials_by_parts if part in p]:
            del self._trials_by_parts[parts]


class TrialAdmission:
    """Requests permits from the nodes that issue them, which may be this node itself.

    ``own`` and ``members`` return the node's own record and those of all others, and
    ``ask_owner`` requests a permit from another node.
    """

    def __init__(
        self,
        permits: TrialPermits,
        own: Callable[[], Member],
        members: Callable[[], Sequence[Member]],
        ask_owner: AskTrialOwner,
        clock: Callable[[], float],
    ) -> None:
        self._permits = permits
        self._own = own
        self._members = members
        self._ask_owner = ask_owner
        self._clock = clock
        self._refused_until: dict[frozenset[PartKey], float] = {}

    async def admit(self, parts: frozenset[PartKey]) -> Permit:
        """Return a permit for one request whose held parts are ``parts``."""
        if not self._permits.is_settled:
            return Permit(False, RETRY_AFTER_S)
        now = self._clock()
        pause_s = max(
            self._permits.pause_s(parts),
            self._refused_until.get(parts, float("-inf")) - now,
        )
        if pause_s > 0:
            return Permit(False, max(RETRY_AFTER_S, pause_s))
        permit = await self._ask(parts)
        if not permit.granted:
            if len(self._refused_until) >= MAX_TRIALS:
                self._refused_until.clear()
            wait_s = min(RETRY_AFTER_S, permit.after_s)
            self._refused_until[parts] = self._clock() + wait_s
        return permit

    async def _ask(self, parts: frozenset[PartKey]) -> Permit:
        for owner in self._owners(parts):
            if owner.id == self._own().id:
                return self._permits.issue(parts)
            try:
                return await self._ask_owner(owner, parts)
            except PeerUnreachable as error:
                log(
                    Part.HOSTS,
                    "No permit for a trial from its owner; asking the next node.",
                    owner=owner.id,
                    error=str(error),
                )
        return Permit(False, RETRY_AFTER_S)

    def _owners(self, parts: frozenset[PartKey]) -> list[Member]:
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        members = [m for m in self._members() if m.state in states]
        key = "trial/" + "/".join(sorted(parts))
        owners = ranked([*members, self._own()], key, name=_node_id)
        return owners[:MAX_OWNERS]


def _node_id(member: Member) -> NodeId:
    return member.id
