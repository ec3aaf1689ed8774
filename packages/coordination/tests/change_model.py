"""A small specification of configuration changes, for exhaustive checking.

Three teams each have one change. A commit is conditional on the version of the head
and on the change id, and can take effect at any time after it was sent. A team that
gets no answer sends it again, or prepares it again once the head has advanced.
"""

from enum import Enum
from typing import NamedTuple

TEAMS = 3
NO_HEAD_CONDITION = "commit without the condition on the head"
NO_CHANGE_ID = "commit without the condition on the change id"
NODE_APPLIES_ANY = "a node applies whatever it reads"


class Phase(Enum):
    """The progress of a team's change."""

    IDLE = 0
    SENT = 1
    ACCEPTED = 2


class Commit(NamedTuple):
    """A commit in flight, which was checked against revision ``base``."""

    team: int
    base: int


class State(NamedTuple):
    """The state of the log, the teams and one node.

    ``log`` holds the commit that made each revision. ``node_revision`` is the revision
    of one node, which may read any revision up to the head, and ``went_back`` whether
    it has ever decreased.
    """

    log: tuple = ()
    phases: tuple = (Phase.IDLE,) * TEAMS
    in_flight: frozenset = frozenset()
    node_revision: int = 0
    went_back: bool = False


def transitions(variant=None):
    """Return the transition function of the specification or a broken variant."""

    def step(raw):
        state = State(*raw)
        steps = []
        for team in range(TEAMS):
            steps += _team_steps(state, team, variant)
        for commit in state.in_flight:
            steps.append((f"apply {commit}", _apply(state, commit, variant)))
        for revision in range(len(state.log) + 1):
            steps.append((f"node reads {revision}", _read(state, revision, variant)))
        return [(name, tuple(after)) for name, after in steps]

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
    return _to(state, team, Phase.SENT)._replace(in_flight=state.in_flight | {commit})


def _apply(state, commit, variant):
    after = state._replace(in_flight=state.in_flight - {commit})
    accepted = any(other.team == commit.team for other in state.log)
    if accepted and variant != NO_CHANGE_ID:
        return after
    if commit.base != len(state.log) and variant != NO_HEAD_CONDITION:
        return after
    if len(state.log) >= TEAMS + 1:
        return after
    return after._replace(log=(*state.log, commit))


def _read(state, revision, variant):
    if revision <= state.node_revision and variant != NODE_APPLIES_ANY:
        return state
    went_back = state.went_back or revision < state.node_revision
    return state._replace(node_revision=revision, went_back=went_back)


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
    "a node never goes back": lambda d: not d["went_back"],
}
