"""A caller's request and its answer, as values."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from eelgrass_coordination.ids import AccountName

from ..version import Pipeline

__all__ = ["CallerRequest", "Emit", "PipelineResult", "StageCost", "StageResult"]

Emit = Callable[[str], Awaitable[None]]


class CallerRequest(msgspec.Struct, frozen=True):
    """A request that passed all checks of its form.

    ``deadline`` is on the clock of the event loop, in seconds; ``deadline_ms``
    is what was asked for.
    """

    request_id: str
    pipeline: Pipeline
    input: Any
    deadline: float
    deadline_ms: float
    stream: bool
    key: str | None
    digest: str

    @property
    def account(self) -> AccountName:
        """The client account that asks."""
        return self.pipeline.account

    def remaining(self) -> float:
        """Return the seconds left until the deadline; negative once it passed."""
        return self.deadline - asyncio.get_running_loop().time()


class StageCost(msgspec.Struct):
    """What a stage of a request has cost, in milliseconds of back-end time.

    ``unreported`` counts attempts whose back end could not say what they cost.
    """

    stage: str
    useful_ms: float = 0.0
    wasted_ms: float = 0.0
    tokens: int = 0
    attempts: int = 0
    unreported: int = 0


class StageResult(msgspec.Struct, frozen=True):
    """The whole result of one stage; ``pieces`` counts those of a stream."""

    output: Any
    chunks: int = 0


class PipelineResult(msgspec.Struct, frozen=True):
    """The whole answer of a pipeline."""

    output: Any
    chunks: int
    costs: tuple[StageCost, ...]
