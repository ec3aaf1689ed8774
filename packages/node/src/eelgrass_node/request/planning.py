"""When each stage of a request should be done, and whether it can be at all."""

from ..process.batch_queue import LATE_BACKLOG_S
from ..process.queue_load import QueueLoads
from ..version.deployment import BatchStage, Deployment, Service
from .graph import LARGE_BYTES, StagePlan
from .incoming_request import RoutedRequest

__all__ = ["plan_stages", "infeasible_retry_after_s"]

# A stage is expected to take a full call, and to wait for half of one: servers
# are seldom idle when it matters.
USUAL_WAIT = 0.5
# The part of a request's time after which its stages are given up.
GIVE_UP_FRACTION = 0.75
UNKNOWN_STAGE_S = 0.3
# The time kept for the request itself is at most this part of the time until its
# stages are given up: else engines that were slow once would have all requests
# refused, and nobody would learn that they are well again.
MAX_FINAL_FRACTION = 0.5


def plan_stages(
    routed: RoutedRequest, deployment: Deployment, near: str, final_s: float
) -> StagePlan:
    """Return when each stage is due and after which others it should begin.

    ``final_s`` is the time kept for the request itself after its stages.
    """
    stages = routed.route.stages
    final_s = _kept_s(routed, final_s)
    took_s = [
        expected_s(deployment.service_by_name.get(stage.service))
        if routed.incoming.item_count(number)
        else 0.0
        for number, stage in enumerate(stages)
    ]
    return StagePlan(
        due_by_stage=_ends(stages, took_s, routed.due - final_s),
        deadline_by_stage=_ends(stages, took_s, _give_up_at(routed) - final_s),
        begin_after=begin_after(stages, took_s),
        near=near,
    )


def expected_end(
    routed: RoutedRequest, deployment: Deployment, loads: QueueLoads, final_s: float
) -> float:
    """Return when the stages are expected to be done and the request begun.

    The waits are those of requests that can still be on time.
    """
    arrived_at = routed.incoming.arrived_at
    ends = []
    for number, stage in enumerate(routed.route.stages):
        begins = max((ends[before] for before in stage.after), default=arrived_at)
        if routed.incoming.item_count(number):
            service = deployment.service_by_name.get(stage.service)
            begins += full_call_s(service) + loads.wait_s(
                stage.service, routed.priority, routed.account_name
            )
        ends.append(begins)
    return max(ends, default=arrived_at) + _kept_s(routed, final_s)


def infeasible_retry_after_s(
    routed: RoutedRequest, deployment: Deployment, loads: QueueLoads, final_s: float
) -> float | None:
    """Return when to come back, in seconds, where a request has no chance.

    That is one that would be late while many late ones wait already, or that
    cannot be answered at all. None lets it in.
    """
    if not routed.route.stages:
        return None
    end = expected_end(routed, deployment, loads, final_s)
    if end <= routed.due:
        return None
    late_s = loads.late_s(stage.service for stage in routed.route.stages)
    if end <= _give_up_at(routed) and late_s < LATE_BACKLOG_S:
        return None
    overload_s = loads.overload_s(stage.service for stage in routed.route.stages)
    return max(late_s, end - routed.due, overload_s)


def _kept_s(routed: RoutedRequest, final_s: float) -> float:
    """Return the time to keep for a request after its stages."""
    whole_s = _give_up_at(routed) - routed.incoming.arrived_at
    return min(final_s, MAX_FINAL_FRACTION * whole_s)


def _give_up_at(routed: RoutedRequest) -> float:
    """Return until when the stages of a request are worth waiting for.

    A caller that is refused near its deadline can do nothing any more; one that
    is told earlier can still come back.
    """
    arrived_at = routed.incoming.arrived_at
    return arrived_at + GIVE_UP_FRACTION * (routed.caller_leaves_at - arrived_at)


def _ends(
    stages: tuple[BatchStage, ...], took_s: list[float], whole: float
) -> tuple[float, ...]:
    """Return when each stage must end for all of them to end at ``whole``."""
    ends = [whole] * len(stages)
    for number in reversed(range(len(stages))):
        for before in stages[number].after:
            ends[before] = min(ends[before], ends[number] - took_s[number])
    return tuple(ends)


def begin_after(
    stages: tuple[BatchStage, ...], took_s: list[float]
) -> tuple[tuple[int, ...], ...]:
    """Return, for each stage, the stages that it should wait for.

    These are the ones whose results it needs and, where its own results are
    large and others take longer anyway, those that end before it has to begin.
    Large results are then not held while the others run: on the users' sheets
    3 MB that a server has room for seven of, through three other stages.
    """
    ends_at = [0.0] * len(stages)
    for number, stage in enumerate(stages):
        begins_at = max((ends_at[before] for before in stage.after), default=0.0)
        ends_at[number] = begins_at + took_s[number]
    whole_s = max(ends_at, default=0.0)
    gates: list[tuple[int, ...]] = []
    for number, stage in enumerate(stages):
        latest = whole_s - took_s[number]
        gate = stage.after
        is_final = all(number not in other.after for other in stages)
        if is_final and stage.result_bytes >= LARGE_BYTES:
            gate += tuple(
                other
                for other in range(number + 1, len(stages))
                if 0.0 < ends_at[other] <= latest
            )
        gates.append(gate)
    return tuple(gates)


def expected_s(service: Service | None) -> float:
    """Return the seconds that a stage at a service usually takes."""
    return full_call_s(service) * (1.0 + USUAL_WAIT)


def full_call_s(service: Service | None) -> float:
    """Return the seconds of a full call to a service."""
    if service is None or service.batch_limits is None:
        return UNKNOWN_STAGE_S
    limits = service.batch_limits
    return limits.call_s + limits.item_s * limits.batch
