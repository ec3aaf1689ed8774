"""The guarantees for the propagation of versions, and checks of a simulation run.

Each function returns a sentence for each violation. A change must be in force at a node
``PROPAGATION_DEADLINE_S`` after its confirmation, or after the recovery of one of these
paths if that is later:

- The path to the store: the node runs, is not frozen, and the store answers it with the
  current state. Faults of relays and of other nodes do not extend the deadline.
- The path to another node that has the configuration: both run and are not frozen, the
  network between them works, and no gossip is lost before the deadline. At most one
  further node is silent to this one. Waiting for two silent nodes in turn uses up the
  deadline; this is a known limit.

A fault that begins before the deadline extends it: the time starts again at the end of
the fault.
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

# Calls to the store per second and node. A node follows two tables, each with one call
# a second, or one in 0.9 s.
QUIET_CALLS = 3
# The same in any second without changes, under any faults.
FAULT_CALLS = 8
# Additional calls for each lost history: a full read and the next feed call for both
# tables, and the same again if the store first returns an old state. A lost history may
# be detected only at the end of an outage.
HISTORY_LOSS_CALLS = 8
# The limit for a quiet store applies this long after the last fault or change.
SETTLED_S = 3.0


def guarantee_violations(simulation: VersionSimulation) -> list[str]:
    """Return all violations in a simulation run."""
    return [
        *version_regressions(simulation),
        *resurrected_rows(simulation),
        *late_changes(simulation),
        *excess_calls(simulation),
    ]


def version_regressions(simulation: VersionSimulation) -> Iterable[str]:
    """Return where a version in force goes back while a process runs."""
    for process in simulation.processes:
        numbers = [number for _, number in process.versions]
        for earlier, later in zip(numbers, numbers[1:], strict=False):
            if later < earlier:
                yield f"back: {process.own.id} has {later} after {earlier}"


def resurrected_rows(simulation: VersionSimulation) -> Iterable[str]:
    """Return where a removed row comes back in a process without a later listing."""
    for process in simulation.processes:
        removal_by_server: dict[str, int] = {}
        listed_by_server: dict[str, int] = {}
        for at, server, version in process.servers:
            if version is None:
                listed = listed_by_server.pop(server)
                removal_by_server[server] = _removal_after(simulation, server, listed)
            else:
                if version <= removal_by_server.get(server, -1):
                    yield f"row back: {process.own.id} has {server} again at {at:.2f}"
                listed_by_server[server] = version


def _removal_after(simulation: VersionSimulation, server: str, listed: int) -> int:
    return min(
        (
            version
            for change, version in simulation.confirmed
            if change.server == server and change.gone and version > listed
        ),
        default=listed,
    )


def late_changes(simulation: VersionSimulation) -> Iterable[str]:
    """Return the confirmed changes that are not in force by their deadline."""
    for change, number in simulation.confirmed:
        for own in simulation.members:
            due = _due_at(simulation, change, number, own.id)
            process = _process_at(simulation, own.id, due)
            if process is not None and not _has_applied(
                simulation, process, change, number, due
            ):
                what = change.server or "configuration"
                yield (
                    f"late: {own.id} lacks {what} {number}, confirmed at "
                    f"{change.at:.2f}, when it was due at {due:.2f}"
                )


def late_through_first_relay(simulation: VersionSimulation) -> Iterable[str]:
    """Return the server changes that a node's relay has and the node has too late.

    The relay is the first of its data centre and has had correct answers from the store
    all the time; the store may reject the node. The deadline counts from when the relay
    has the change, both nodes run, and the network between them works.
    """
    for change, number in simulation.confirmed:
        for own in simulation.members:
            others = [other for other in simulation.members if other.id != own.id]
            relay = relay_of(own, others, SERVERS)
            if change.server is not None and relay is not None:
                yield from _late_through_relay(
                    simulation, change, number, own.id, relay.id
                )


def late_through_any_relay(simulation: VersionSimulation) -> Iterable[str]:
    """Return the same for each relay that a node asks in turn.

    Use it only for plans in which at most one relay is silent at a time: the waits for
    two silent relays add up, for which the deadline makes no allowance.
    """
    for change, number in simulation.confirmed:
        for own in simulation.members:
            others = [other for other in simulation.members if other.id != own.id]
            for relay in relays_of(own, others, SERVERS):
                if change.server is not None:
                    yield from _late_through_relay(
                        simulation, change, number, own.id, relay.id
                    )


def _late_through_relay(
    simulation: VersionSimulation, change: Change, number: int, node: str, relay: str
) -> Iterable[str]:
    due = _due_by_relay(simulation, change, number, node, relay)
    if due is None:
        return
    process = _process_at(simulation, node, due)
    if process and not _has_applied(simulation, process, change, number, due):
        yield (
            f"late through its relay: {node} lacks {change.server} {number}, "
            f"confirmed at {change.at:.2f}, when it was due at {due:.2f}"
        )


def _due_by_relay(
    simulation: VersionSimulation, change: Change, number: int, node: str, relay: str
) -> float | None:
    """Return the deadline for a change that the relay has; None without a path."""
    applied_times = (
        at
        for process in simulation.processes
        if process.own.id == relay
        for at, server, version in process.servers
        if at >= change.at and server == change.server
        if _has_applied(simulation, process, change, number, at)
    )
    if (at := next(applied_times, None)) is None:
        return None
    due = _deadline_after_faults(
        simulation.plan, at, lambda fault: _partitions(fault, node, relay)
    )
    for fault in simulation.plan.faults:
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


def _process_at(
    simulation: VersionSimulation, node: str, at: float
) -> NodeProcess | None:
    return next(
        (
            process
            for process in simulation.processes
            if process.own.id == node and process.began <= at < process.ended
        ),
        None,
    )


def _has_applied(
    simulation: VersionSimulation,
    process: NodeProcess,
    change: Change,
    number: int,
    at: float,
) -> bool:
    """Return whether the change, or a later one that replaces it, was applied."""
    if change.server is None:
        return any(then <= at and n >= number for then, n in process.versions)
    versions = [
        version
        for then, server, version in process.servers
        if then <= at and server == change.server
    ]
    last = versions[-1] if versions else None
    if last is not None:
        return last >= number
    return any(
        later.server == change.server and later.gone and version >= number
        for later, version in simulation.confirmed
        if later.at <= at
    )


def _due_at(
    simulation: VersionSimulation, change: Change, number: int, node: str
) -> float:
    plan = simulation.plan
    dues = [_due_by_store(plan, change.at, node)]
    if change.server is None:
        for process in simulation.processes:
            applied_times = (at for at, n in process.versions if n >= number)
            if process.own.id != node and (at := next(applied_times, None)) is not None:
                dues += _due_by_peer(plan, max(at, change.at), node, process.own.id)
    return min(dues)


def _due_by_store(plan: Plan, at: float, node: str) -> float:
    return _deadline_after_faults(
        plan, at, lambda fault: _affects_store_path(fault, node)
    )


def _due_by_peer(plan: Plan, at: float, node: str, other: str) -> list[float]:
    """Return the deadline for a change that a peer has; empty without a path."""
    due = _deadline_after_faults(
        plan, at, lambda fault: isinstance(fault, Freeze) and fault.node == node
    )
    silent: set[str] = set()
    for fault in plan.faults:
        # The node may still be waiting for a peer that was silent shortly before.
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
    # A relay that was given an old state cannot detect it, nor can its followers.
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


def excess_calls(simulation: VersionSimulation) -> Iterable[str]:
    """Return where calls to the store exceed the limit while nothing changes."""
    calls = Counter((node, int(at)) for node, at in simulation.store.called_at)
    busy = {
        int(change.at) + after
        for change, _ in simulation.confirmed
        for after in (-1, 0, 1)
    }
    quiet_from = simulation.plan.ends + SETTLED_S
    for (node, second), count in calls.items():
        during_faults = FAULT_CALLS + HISTORY_LOSS_CALLS * len(
            simulation.plan.history_losses
        )
        most = QUIET_CALLS if second >= quiet_from else during_faults
        if second not in busy and count > most:
            yield f"calls: {node} made {count} in second {second}"
