"""When each stage of a request should be done for the request to be on time."""

from ..version.deployment import Deployment, Service
from .arrival import Routed
from .graph import StagePlan

__all__ = ["plan_stages"]

# Time kept for the request itself after its stages: the prompt of a large
# request is read in a quarter of a second.
FINAL_S = 0.3
# A stage is expected to take a call with half of its places taken.
USUAL_FILL = 0.5
UNKNOWN_STAGE_S = 0.3


def plan_stages(routed: Routed, deployment: Deployment, near: str) -> StagePlan:
    """Return when each stage is due, from the last one backwards."""
    stages = routed.route.stages
    due = [routed.due - FINAL_S] * len(stages)
    for number in reversed(range(len(stages))):
        stage = stages[number]
        service = deployment.service_by_name.get(stage.service)
        begin_by = due[number] - expected_s(service)
        for before in stage.after:
            due[before] = min(due[before], begin_by)
    return StagePlan(tuple(due), near)


def expected_s(service: Service | None) -> float:
    """Return the seconds that a stage at a service usually takes."""
    if service is None or service.pieces is None:
        return UNKNOWN_STAGE_S
    limits = service.pieces
    return limits.call_s + limits.piece_s * limits.batch * USUAL_FILL
