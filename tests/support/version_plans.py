"""A Hypothesis strategy for simulation plans within fixed bounds."""

from hypothesis import strategies as st

from .store_simulation import Outage, StoreSimulation
from .version_plan import (
    Change,
    Fault,
    Freeze,
    GossipLoss,
    Partition,
    Plan,
    Restart,
    SlowStore,
    StaleReads,
)

__all__ = ["plans"]

# The bounds of the search; faults and changes may coincide in any way within them.
MAX_NODES = 5
MAX_CHANGES = 8
MAX_FAULTS = 6
MAX_HISTORY_LOSSES = 2
FIRST_EVENT_S = 2.0
LAST_EVENT_S = 7.0
MAX_FAULT_S = 5.0
# A store with delays up to this counts as slow, not as failed.
MAX_SLOW_S = 0.2
# Most faults begin close to a change, within these times before and after it.
BEFORE_S = 1.5
AFTER_S = 0.7
# The resolution of times.
STEPS_PER_S = 100

SERVERS = ("i1", "i2")
KINDS = (
    Outage,
    Outage,
    Outage,
    Freeze,
    Freeze,
    Restart,
    Partition,
    GossipLoss,
    StaleReads,
    SlowStore,
)


def seconds(first: float, last: float) -> st.SearchStrategy[float]:
    """Return a strategy for times or durations."""
    steps = st.integers(int(first * STEPS_PER_S), int(last * STEPS_PER_S))
    return steps.map(lambda number: number / STEPS_PER_S)


@st.composite
def plans(draw: st.DrawFn) -> Plan:
    """Draw a plan."""
    data_centres = draw(
        st.sampled_from(["aaa", "aab", "aa", "a", "aabb", "aaaa", "abc", "aaabb"])
    )
    nodes = [f"n{number}" for number in range(len(data_centres))]
    change = st.builds(
        Change,
        seconds(FIRST_EVENT_S, LAST_EVENT_S),
        st.none() | st.sampled_from(SERVERS),
        st.booleans(),
    )
    changes = draw(st.lists(change, min_size=1, max_size=MAX_CHANGES))
    offset = seconds(-BEFORE_S, AFTER_S)
    near = st.builds(
        lambda change, off: round(change.at + off, 2), st.sampled_from(changes), offset
    )
    times = seconds(FIRST_EVENT_S, LAST_EVENT_S) | near
    faults = draw(st.lists(_faults(nodes, times), min_size=1, max_size=MAX_FAULTS))
    history_losses = draw(st.lists(times, max_size=MAX_HISTORY_LOSSES))
    listed = [Change(0.0, server) for server in SERVERS]
    return Plan(
        data_centres,
        (*listed, *changes),
        tuple(faults),
        tuple(history_losses),
        draw(st.integers(0, 999)),
    )


@st.composite
def _faults(
    draw: st.DrawFn, nodes: list[str], times: st.SearchStrategy[float]
) -> Fault:
    kind = draw(st.sampled_from(KINDS))
    begin = draw(times)
    end = round(begin + draw(seconds(0.05, MAX_FAULT_S)), 2)
    # The first relay of the data centre is affected more often.
    relay = StoreSimulation.relay(len(nodes))
    node = st.sampled_from(nodes) | st.just(relay)
    match kind:
        case _ if kind is Outage:
            some = st.frozensets(node, min_size=1)
            rest = st.just(frozenset(nodes) - {relay} or frozenset(nodes))
            nodes_hit = draw(st.none() | some | rest)
            return Outage(begin, end, nodes_hit, draw(st.booleans()))
        case _ if kind is Partition and len(nodes) > 1:
            pair = st.frozensets(st.sampled_from(nodes), min_size=2, max_size=2)
            return Partition(begin, end, draw(pair))
        case _ if kind is Restart:
            return Restart(begin, end, draw(node), draw(st.booleans()))
        case _ if kind is Freeze:
            return Freeze(begin, end, draw(node))
        case _ if kind is StaleReads:
            return StaleReads(begin, end, draw(seconds(0.0, MAX_FAULT_S)))
        case _ if kind is SlowStore:
            return SlowStore(begin, end, draw(seconds(0.01, MAX_SLOW_S)))
    return GossipLoss(begin, end)
