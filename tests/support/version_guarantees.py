"""What is promised of the path of versions, and what of it a day has broken.

Each function returns a sentence for each break. A change is due at a node
``PROMISED_S`` after the later of its confirmation and the return of a path:

- to the store: the node runs, is not frozen, and the store answers it with the present
  state. What happens to relays and to other nodes is no excuse.
- to another node that has a configuration: both run and are not frozen, the way between
  them is whole and no news is lost until it is due. At most one further node is silent
  to this one: two that are waited for in turn use up what is promised, a known limit.

A harm that begins before a change is due holds it up to the harm's end, and the promise
runs anew from there.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from eelgrass_node.process.table_relay import relay_of, relays_of

from .store_rows import PROPAGATION_DEADLINE_S
from .store_simulation import SERVERS, Outage
from .version_plan import (
    Change,
    Fault,
    Freeze,
    GossipLoss,
    Partition,
    Plan,
    Restart,
    StaleReads,
)
from .version_simulation import NodeProcess, VersionSimulation

__all__ = ["guarantee_violations", "late_through_any_relay", "late_through_first_relay"]

# A node follows two tables, each with a call a second, or one in 0.9 s.
QUIET_CALLS = 3
# The same in any second in which nothing changes, whatever the harm.
FAULT_CALLS = 8
# For each history that was forgotten, which may show only at the end of an outage: a
# whole read and the next call for changes, of both tables, and the same again where
# the store first shows the state of before.
HISTORY_LOSS_CALLS = 8
# Harm and changes are over for so long before calls are those of a quiet store.
SETTLED_S = 3.0


def guarantee_violations(day: VersionSimulation) -> list[str]:
    """Return all that a day has broken."""
    return [
        *version_regressions(day),
        *resurrected_rows(day),
        *late_changes(day),
        *excess_calls(day),
    ]


def version_regressions(day: VersionSimulation) -> Iterable[str]:
    """A version in force never goes back within one life."""
    for process in day.processes:
        numbers = [number for _, number in process.versions]
        for earlier, later in zip(numbers, numbers[1:], strict=False):
            if later < earlier:
                yield f"back: {process.own.id} has {later} after {earlier}"


def resurrected_rows(day: VersionSimulation) -> Iterable[str]:
    """A removed row never comes back within one life, but by a later listing."""
    for process in day.processes:
        removal_by_server: dict[str, int] = {}
        listed_by_server: dict[str, int] = {}
        for at, server, version in process.servers:
            if version is None:
                listed = listed_by_server.pop(server)
                removal_by_server[server] = _removal_after(day, server, listed)
            else:
                if version <= removal_by_server.get(server, -1):
                    yield f"row back: {process.own.id} has {server} again at {at:.2f}"
                listed_by_server[server] = version


def _removal_after(day: VersionSimulation, server: str, listed: int) -> int:
    return min(
        (
            version
            for change, version in day.confirmed
            if change.server == server and change.gone and version > listed
        ),
        default=listed,
    )


def late_changes(day: VersionSimulation) -> Iterable[str]:
    """Every confirmed change is in force within the promised time."""
    for change, number in day.confirmed:
        for own in day.members:
            due = _due(day, change, number, own.id)
            process = _process_at(day, own.id, due)
            if process is not None and not _has_applied(
                day, process, change, number, due
            ):
                what = change.server or "configuration"
                yield (
                    f"late: {own.id} lacks {what} {number}, confirmed at "
                    f"{change.at:.2f}, when it was due at {due:.2f}"
                )


def late_through_first_relay(day: VersionSimulation) -> Iterable[str]:
    """A change of servers that a node's relay has is in force at the node, too.

    The relay is the first of its data centre, and the store has answered it well all
    the while; the store may turn the node away. The path returns when the way between
    the two is whole, both run, and the relay has the change.
    """
    for change, number in day.confirmed:
        for own in day.members:
            others = [other for other in day.members if other.id != own.id]
            relay = relay_of(own, others, SERVERS)
            if change.server is not None and relay is not None:
                yield from _late_through_relay(day, change, number, own.id, relay.id)


def late_through_any_relay(day: VersionSimulation) -> Iterable[str]:
    """The same of each relay that a node asks in turn.

    Where two of them are silent at a time their waits add up, which is not judged here:
    it is for days on which one is.
    """
    for change, number in day.confirmed:
        for own in day.members:
            others = [other for other in day.members if other.id != own.id]
            for relay in relays_of(own, others, SERVERS):
                if change.server is not None:
                    yield from _late_through_relay(
                        day, change, number, own.id, relay.id
                    )


def _late_through_relay(
    day: VersionSimulation, change: Change, number: int, node: str, relay: str
) -> Iterable[str]:
    due = _due_by_relay(day, change, number, node, relay)
    if due is None:
        return
    process = _process_at(day, node, due)
    if process and not _has_applied(day, process, change, number, due):
        yield (
            f"late through its relay: {node} lacks {change.server} {number}, "
            f"confirmed at {change.at:.2f}, when it was due at {due:.2f}"
        )


def _due_by_relay(
    day: VersionSimulation, change: Change, number: int, node: str, relay: str
) -> float | None:
    """Return when a change is due that the relay has; None where it has no path."""
    taken = (
        at
        for process in day.processes
        if process.own.id == relay
        for at, server, version in process.servers
        if at >= change.at and server == change.server
        if _has_applied(day, process, change, number, at)
    )
    if (at := next(taken, None)) is None:
        return None
    due = _deadline_after_faults(
        day.plan, at, lambda fault: _partitions(fault, node, relay)
    )
    for fault in day.plan.faults:
        affects_relay = _affects_store_path(fault, relay) and not isinstance(
            fault, Freeze
        )
        if affects_relay and fault.begin < due and fault.end > at - SETTLED_S:
            return None
    return due


def _partitions(fault: Fault, node: str, relay: str) -> bool:
    if isinstance(fault, Freeze | Restart):
        return fault.node in (node, relay)
    return isinstance(fault, Partition) and fault.nodes == {node, relay}


def _process_at(day: VersionSimulation, node: str, at: float) -> NodeProcess | None:
    return next(
        (
            process
            for process in day.processes
            if process.own.id == node and process.began <= at < process.ended
        ),
        None,
    )


def _has_applied(
    day: VersionSimulation, process: NodeProcess, change: Change, number: int, at: float
) -> bool:
    """Return whether a change, or a later one in its place, was taken by then."""
    if change.server is None:
        return any(taken <= at and n >= number for taken, n in process.versions)
    seen = [
        version
        for taken, server, version in process.servers
        if taken <= at and server == change.server
    ]
    shown = seen[-1] if seen else None
    if shown is not None:
        return shown >= number
    return any(
        later.server == change.server and later.gone and version >= number
        for later, version in day.confirmed
        if later.at <= at
    )


def _due(day: VersionSimulation, change: Change, number: int, node: str) -> float:
    plan = day.plan
    dues = [_due_by_store(plan, change.at, node)]
    if change.server is None:
        for process in day.processes:
            taken = (at for at, n in process.versions if n >= number)
            if process.own.id != node and (at := next(taken, None)) is not None:
                dues += _due_by_other(plan, max(at, change.at), node, process.own.id)
    return min(dues)


def _due_by_store(plan: Plan, at: float, node: str) -> float:
    return _deadline_after_faults(
        plan, at, lambda fault: _affects_store_path(fault, node)
    )


def _due_by_other(plan: Plan, at: float, node: str, other: str) -> list[float]:
    """Return when a change is due that another node has, if it is due by that way."""
    due = _deadline_after_faults(
        plan, at, lambda fault: isinstance(fault, Freeze) and fault.node == node
    )
    silent: set[str] = set()
    for fault in plan.faults:
        # A node that was silent shortly before may still be waited for.
        if fault.begin >= due or fault.end <= at - PROPAGATION_DEADLINE_S:
            continue
        if (
            isinstance(fault, GossipLoss)
            or isinstance(fault, Restart)
            and fault.node == node
        ):
            return []
        if isinstance(fault, Freeze | Restart) and fault.node != node:
            silent.add(fault.node)
        if isinstance(fault, Partition) and node in fault.nodes:
            silent |= fault.nodes - {node}
    return [] if other in silent or len(silent) > 1 else [due]


def _affects_store_path(fault: Fault, node: str) -> bool:
    if isinstance(fault, Outage):
        return fault.nodes is None or node in fault.nodes
    if isinstance(fault, Freeze | Restart):
        return fault.node == node
    # A relay that was shown an old state cannot know it, nor can those who ask it.
    return isinstance(fault, StaleReads)


def _deadline_after_faults(
    plan: Plan, at: float, affects: Callable[[Fault], bool]
) -> float:
    last = at
    for fault in sorted(plan.faults, key=lambda fault: fault.begin):
        if (
            affects(fault)
            and fault.begin < last + PROPAGATION_DEADLINE_S
            and fault.end >= at
        ):
            last = max(last, fault.end)
    return last + PROPAGATION_DEADLINE_S


def excess_calls(day: VersionSimulation) -> Iterable[str]:
    """Calls to the store stay bounded while nothing changes."""
    calls = Counter((node, int(at)) for node, at in day.store.called_at)
    busy = {
        int(change.at) + after for change, _ in day.confirmed for after in (-1, 0, 1)
    }
    quiet_from = day.plan.ends + SETTLED_S
    for (node, second), count in calls.items():
        during_faults = FAULT_CALLS + HISTORY_LOSS_CALLS * len(day.plan.history_losses)
        most = QUIET_CALLS if second >= quiet_from else during_faults
        if second not in busy and count > most:
            yield f"calls: {node} made {count} in second {second}"
