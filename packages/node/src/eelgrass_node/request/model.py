"""Data structures for a caller's request, its results and its costs."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from eelgrass_coordination.ids import AccountName

from ..version import Pipeline

__all__ = ["CallerRequest", "Emit", "PipelineResult", "StageCost", "StageResult"]

Emit = Callable[[str], Awaitable[None]]


class CallerRequest(msgspec.Struct, frozen=True):
    """A request that has passed validation.

    ``deadline`` is in seconds on the event loop's clock; ``deadline_ms`` is the
    duration that was asked for.
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
        """The client account that makes the request."""
        return self.pipeline.account

    def remaining(self) -> float:
        """Return the seconds left until the deadline; negative once it has passed."""
        return self.deadline - asyncio.get_running_loop().time()


class StageCost(msgspec.Struct):
    """The cost of a stage of a request, in milliseconds of backend server time.

    ``unreported`` counts attempts whose backend server has not reported their cost.
    """

    stage: str
    useful_ms: float = 0.0
    wasted_ms: float = 0.0
    tokens: int = 0
    attempts: int = 0
    unreported: int = 0


class StageResult(msgspec.Struct, frozen=True):
    """The complete result of one stage; ``chunks`` counts those of a stream."""

    output: Any
    chunks: int = 0


class PipelineResult(msgspec.Struct, frozen=True):
    """The complete result of a pipeline."""

    output: Any
    chunks: int
    costs: tuple[StageCost, ...]
