"""Runs the stages of a request one after the other within its deadline."""

from collections.abc import Callable

from ..exceptions import Refused
from ..version import Stage
from .model import CallerRequest, Emit, PipelineResult, StageCost
from .reasons import Outcome, RefusalReason
from .stages import StageEnvironment, StageRun

__all__ = ["run_pipeline", "worst_outcome"]

_SEVERITY = {Outcome.NOT_RUN: 0, Outcome.NO_EFFECT: 1, Outcome.UNKNOWN: 2}

RecordCost = Callable[[CallerRequest, StageCost], None]


def worst_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Return the outcome that guarantees less."""
    return max(first, second, key=_SEVERITY.__getitem__)


async def run_pipeline(
    environment: StageEnvironment,
    request: CallerRequest,
    emit: Emit | None,
    record_cost: RecordCost,
) -> PipelineResult:
    """Run all stages and return the complete result; raises :class:`Refused`.

    ``emit`` receives the chunks of the last stage if it is a generation.
    ``record_cost`` is called with the cost of each stage, including one that failed.
    """
    stages = request.pipeline.stages
    costs: list[StageCost] = []
    so_far = Outcome.NOT_RUN
    output = None
    chunks = 0
    for number, stage in enumerate(stages):
        last = number == len(stages) - 1
        rest = stages[number + 1 :]
        environment.dispatch.check_feasible(request, stages[number:], so_far)
        run = StageRun(
            environment,
            request,
            stage,
            rest_s=environment.dispatch.expected_rest(rest),
            emit=emit if last else None,
        )
        try:
            result = await run.run({"input": request.input, "previous": output})
        except Refused as refused:
            refused.outcome = worst_outcome(so_far, refused.outcome)
            raise
        finally:
            record_cost(request, run.cost)
        costs.append(run.cost)
        so_far = worst_outcome(so_far, outcome_after(stage))
        output = result.output
        chunks = result.chunks
    if request.remaining() <= 0 and so_far is not Outcome.UNKNOWN:
        raise Refused(RefusalReason.DEADLINE_PASSED, so_far)
    return PipelineResult(output, chunks, tuple(costs))


def outcome_after(stage: Stage) -> Outcome:
    """Return the outcome of a request that fails after ``stage`` has run."""
    return Outcome.NO_EFFECT if stage.idempotent else Outcome.UNKNOWN
