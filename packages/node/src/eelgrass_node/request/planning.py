"""Plans when the stages of a request should end; detects infeasible requests."""

from ..process.batch_queue import LATE_BACKLOG_S
from ..process.queue_load import QueueLoads
from ..version.deployment import BatchStage, Deployment, Service
from .graph import LARGE_BYTES, StagePlan
from .incoming_request import RoutedRequest

__all__ = ["infeasible_retry_after_s", "plan_stages"]

# A stage is expected to take one full call and to wait for half of one: under load,
# servers are seldom idle.
TYPICAL_WAIT_FRACTION = 0.5
# Fraction of a request's time after which its stages are given up.
GIVE_UP_FRACTION = 0.75
UNKNOWN_STAGE_S = 0.3
# The time reserved for the final call is at most this fraction of the time until the
# stages are given up. Otherwise engines that were slow once would have all requests
# refused, and no measurement could show that they have recovered.
MAX_FINAL_CALL_FRACTION = 0.5


def plan_stages(
    routed: RoutedRequest,
    deployment: Deployment,
    preferred_data_centre: str,
    final_call_s: float,
) -> StagePlan:
    """Return when each stage should end, and which stages it should wait for.

    ``final_call_s`` is the time to reserve for the final call after the stages.
    """
    stages = routed.route.stages
    final_call_s = _reserved_s(routed, final_call_s)
    durations_s = [
        expected_s(deployment.service_by_name.get(stage.service))
        if routed.incoming.item_count(number)
        else 0.0
        for number, stage in enumerate(stages)
    ]
    return StagePlan(
        target_by_stage=_ends(stages, durations_s, routed.target_at - final_call_s),
        deadline_by_stage=_ends(
            stages, durations_s, _give_up_at(routed) - final_call_s
        ),
        begin_after=begin_after(stages, durations_s),
        preferred_data_centre=preferred_data_centre,
    )


def expected_end(
    routed: RoutedRequest,
    deployment: Deployment,
    loads: QueueLoads,
    final_call_s: float,
) -> float:
    """Return when the stages are expected to be complete and the response to begin.

    Queue waits are those of requests that can still be on time.
    """
    arrived_at = routed.incoming.arrived_at
    ends = []
    for number, stage in enumerate(routed.route.stages):
        begins = max(
            (ends[predecessor] for predecessor in stage.after), default=arrived_at
        )
        if routed.incoming.item_count(number):
            service = deployment.service_by_name.get(stage.service)
            begins += full_call_s(service) + loads.wait_s(
                stage.service, routed.priority, routed.account_name
            )
        ends.append(begins)
    return max(ends, default=arrived_at) + _reserved_s(routed, final_call_s)


def infeasible_retry_after_s(
    routed: RoutedRequest,
    deployment: Deployment,
    loads: QueueLoads,
    final_call_s: float,
) -> float | None:
    """Return a Retry-After in seconds if a request is infeasible; None admits it.

    A request is infeasible if it would miss its latency target while many late ones
    are waiting already, or if it cannot be answered before the caller gives up.
    """
    if not routed.route.stages:
        return None
    end = expected_end(routed, deployment, loads, final_call_s)
    if end <= routed.target_at:
        return None
    late_s = loads.late_s(stage.service for stage in routed.route.stages)
    if end <= _give_up_at(routed) and late_s < LATE_BACKLOG_S:
        return None
    overload_s = loads.overload_s(stage.service for stage in routed.route.stages)
    return max(late_s, end - routed.target_at, overload_s)


def _reserved_s(routed: RoutedRequest, final_call_s: float) -> float:
    """Return the time to reserve for the final call, within its limit."""
    total_s = _give_up_at(routed) - routed.incoming.arrived_at
    return min(final_call_s, MAX_FINAL_CALL_FRACTION * total_s)


def _give_up_at(routed: RoutedRequest) -> float:
    """Return when the stages of a request are given up.

    A caller that is refused close to its deadline has no time for a retry; one that
    is refused earlier does.
    """
    arrived_at = routed.incoming.arrived_at
    return arrived_at + GIVE_UP_FRACTION * (routed.caller_leaves_at - arrived_at)


def _ends(
    stages: tuple[BatchStage, ...], durations_s: list[float], end_at: float
) -> tuple[float, ...]:
    """Return when each stage must end for all of them to end at ``end_at``."""
    ends = [end_at] * len(stages)
    for number in reversed(range(len(stages))):
        for predecessor in stages[number].after:
            ends[predecessor] = min(
                ends[predecessor], ends[number] - durations_s[number]
            )
    return tuple(ends)


def begin_after(
    stages: tuple[BatchStage, ...], durations_s: list[float]
) -> tuple[tuple[int, ...], ...]:
    """Return, for each stage, the stages that it should wait for.

    These are the stages whose results it needs. A final stage with large results also
    waits for stages that end before it has to start, if others take longer anyway.
    Its results are then not held while those run: a server has room for only seven
    results of 3 MB, which would otherwise be held through three other stages.
    """
    ends_at = [0.0] * len(stages)
    for number, stage in enumerate(stages):
        begins_at = max(
            (ends_at[predecessor] for predecessor in stage.after), default=0.0
        )
        ends_at[number] = begins_at + durations_s[number]
    total_s = max(ends_at, default=0.0)
    waits: list[tuple[int, ...]] = []
    for number, stage in enumerate(stages):
        latest = total_s - durations_s[number]
        wait_for = stage.after
        is_final = all(number not in other.after for other in stages)
        if is_final and stage.result_bytes >= LARGE_BYTES:
            wait_for += tuple(
                other
                for other in range(number + 1, len(stages))
                if 0.0 < ends_at[other] <= latest
            )
        waits.append(wait_for)
    return tuple(waits)


def expected_s(service: Service | None) -> float:
    """Return the seconds that a stage at a service typically takes."""
    return full_call_s(service) * (1.0 + TYPICAL_WAIT_FRACTION)


def full_call_s(service: Service | None) -> float:
    """Return the seconds that a call with a full batch to a service takes."""
    if service is None or service.batch_limits is None:
        return UNKNOWN_STAGE_S
    limits = service.batch_limits
    return limits.call_s + limits.item_s * limits.batch
