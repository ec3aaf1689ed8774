"""A small specification of configuration changes, for exhaustive checking.

Three teams each have one change. A commit is conditional on the head's version
and on the change id; it can land at any time after it was sent, and a team
that gets no answer sends it again, or prepares it anew once the head has moved.
"""

from enum import Enum
from typing import NamedTuple

TEAMS = 3
NO_HEAD_CONDITION = "commit without the condition on the head"
NO_CHANGE_ID = "commit without the condition on the change id"
NODE_TAKES_ANY = "a node takes whatever it reads"


class Phase(Enum):
    """Where a team's change is."""

    IDLE = 0
    SENT = 1
    ACCEPTED = 2


class Commit(NamedTuple):
    """A commit on its way, checked against revision ``base``."""

    team: int
    base: int


class State(NamedTuple):
    """``log`` holds for each revision the commit that made it.

    ``seen`` is the revision of one node and ``lowered`` whether it ever fell;
    ``stale`` is an older head that a lagging reader may still be told.
    """

    log: tuple = ()
    phases: tuple = (Phase.IDLE,) * TEAMS
    net: frozenset = frozenset()
    seen: int = 0
    lowered: bool = False


def transitions(variant=None):
    """Return the transition function of the specification or a broken variant."""

    def step(raw):
        state = State(*raw)
        found = []
        for team in range(TEAMS):
            found += _team_steps(state, team, variant)
        for commit in state.net:
            found.append((f"land {commit}", _land(state, commit, variant)))
        for revision in range(len(state.log) + 1):
            found.append((f"node hears {revision}", _hear(state, revision, variant)))
        return [(name, tuple(after)) for name, after in found]

    return step


def _team_steps(state, team, variant):
    phase = state.phases[team]
    if phase is Phase.IDLE:
        yield "prepare", _send(state, team)
    elif phase is Phase.SENT:
        accepted = any(commit.team == team for commit in state.log)
        if accepted and variant != NO_CHANGE_ID:
            yield "find id", _to(state, team, Phase.ACCEPTED)
        else:
            yield "prepare anew", _send(state, team)


def _send(state, team):
    commit = Commit(team, len(state.log))
    return _to(state, team, Phase.SENT)._replace(net=state.net | {commit})


def _land(state, commit, variant):
    after = state._replace(net=state.net - {commit})
    known = any(other.team == commit.team for other in state.log)
    if known and variant != NO_CHANGE_ID:
        return after
    if commit.base != len(state.log) and variant != NO_HEAD_CONDITION:
        return after
    if len(state.log) >= TEAMS + 1:
        return after
    return after._replace(log=(*state.log, commit))


def _hear(state, revision, variant):
    if revision <= state.seen and variant != NODE_TAKES_ANY:
        return state
    lowered = state.lowered or revision < state.seen
    return state._replace(seen=revision, lowered=lowered)


def _to(state, team, phase):
    phases = (*state.phases[:team], phase, *state.phases[team + 1 :])
    return state._replace(phases=phases)


INVARIANTS = {
    "each change was checked against the revision before it": lambda d: all(
        commit.base == n for n, commit in enumerate(d["log"])
    ),
    "each change is accepted once": lambda d: (
        len({commit.team for commit in d["log"]}) == len(d["log"])
    ),
    "a node never goes back": lambda d: not d["lowered"],
}
