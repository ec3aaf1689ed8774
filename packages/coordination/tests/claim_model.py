"""A small specification of claims, for exhaustive checking.

Three calls with the same key, each in a process of its own, share one row of the
table. Writes are conditional on the row's version. A write can take effect at any time
after it was sent, even after its sender gave up or crashed, and the sender learns its
outcome only by reading the row.
"""

from enum import Enum
from typing import NamedTuple

CALLS = 3
TAKEOVER = "takeover"
DISPATCH_UNREAD = "dispatch before the claim is read back"
UNCONDITIONAL = "insert without a condition"
RELEASE_AFTER_DISPATCH = "release after the dispatch"


class Phase(Enum):
    """The progress of a call."""

    IDLE = 0
    TRYING = 1
    ABANDONING = 2
    HOLDING = 3
    DISPATCHED = 4
    REFUSED = 5
    DEAD = 6


class RowState(Enum):
    """The state that is stored in the row."""

    ABSENT = 0
    RUNNING = 1
    RELEASED = 2
    COMPLETED = 3


class Row(NamedTuple):
    """The row that the calls share."""

    version: int = 0
    owner: int = -1
    state: RowState = RowState.ABSENT


class Write(NamedTuple):
    """A conditional write in flight."""

    call: int
    state: RowState
    expected: int


class State(NamedTuple):
    """The complete state; ``runs`` counts dispatches."""

    row: Row = Row()
    phases: tuple = (Phase.IDLE,) * CALLS
    last_expected: tuple = (0,) * CALLS
    in_flight: frozenset = frozenset()
    runs: int = 0


def transitions(variant=None):
    """Return the transition function of the specification or a broken variant."""

    def step(raw):
        state = State(*raw)
        found = []
        for call in range(CALLS):
            found += _call_steps(state, call, variant)
        for write in state.in_flight:
            found.append((f"apply {write}", _apply(state, write, variant)))
        return [(name, tuple(after)) for name, after in found]

    return step


def _call_steps(state, call, variant):
    phase = state.phases[call]
    if phase is Phase.IDLE:
        yield "start", _send(_to(state, call, Phase.TRYING), call, RowState.RUNNING, 0)
    elif phase is Phase.TRYING:
        yield "read", _read_trying(state, call, variant)
        yield (
            "give up",
            _send(
                _to(state, call, Phase.ABANDONING),
                call,
                RowState.RELEASED,
                state.last_expected[call],
            ),
        )
        yield "die", _to(state, call, Phase.DEAD)
        if variant == DISPATCH_UNREAD:
            yield "dispatch unread", _dispatch(state, call)
    elif phase is Phase.ABANDONING:
        yield "read", _read_abandoning(state, call)
        yield "die", _to(state, call, Phase.DEAD)
    elif phase is Phase.HOLDING:
        yield "dispatch", _dispatch(state, call)
        released = _to(state, call, Phase.REFUSED)
        yield "release", _send(released, call, RowState.RELEASED, state.row.version)
        yield "die", _to(state, call, Phase.DEAD)
    elif phase is Phase.DISPATCHED:
        ended = _to(state, call, Phase.REFUSED)
        final = RowState.COMPLETED
        if variant == RELEASE_AFTER_DISPATCH:
            final = RowState.RELEASED
        yield "end", _send(ended, call, final, state.row.version)
        yield "die", _to(state, call, Phase.DEAD)


def _read_trying(state, call, variant):
    row = state.row
    if row.state is RowState.ABSENT:
        return _send(state, call, RowState.RUNNING, 0)
    if row.owner == call and row.state is RowState.RUNNING:
        return _to(state, call, Phase.HOLDING)
    free = row.state is RowState.RELEASED
    if variant == TAKEOVER and row.state is RowState.RUNNING:
        free = True
    if free:
        last_expected = _replaced(state.last_expected, call, row.version)
        return _send(
            state._replace(last_expected=last_expected),
            call,
            RowState.RUNNING,
            row.version,
        )
    return _to(state, call, Phase.REFUSED)


def _read_abandoning(state, call):
    row = state.row
    if row.owner == call and row.state is RowState.RUNNING:
        return _send(state, call, RowState.RELEASED, row.version)
    if row.version <= state.last_expected[call]:
        return state
    return _to(state, call, Phase.REFUSED)


def _apply(state, write, variant):
    after = state._replace(in_flight=state.in_flight - {write})
    conditional = not (variant == UNCONDITIONAL and write.state is RowState.RUNNING)
    if conditional and state.row.version != write.expected:
        return after
    return after._replace(row=Row(state.row.version + 1, write.call, write.state))


def _dispatch(state, call):
    return _to(state, call, Phase.DISPATCHED)._replace(runs=state.runs + 1)


def _to(state, call, phase):
    return state._replace(phases=_replaced(state.phases, call, phase))


def _send(state, call, row_state, expected):
    return state._replace(
        in_flight=state.in_flight | {Write(call, row_state, expected)}
    )


def _replaced(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


INVARIANTS = {
    "runs at most once": lambda d: d["runs"] <= 1,
    "one holder": lambda d: (
        sum(p in (Phase.HOLDING, Phase.DISPATCHED) for p in d["phases"]) <= 1
    ),
}
