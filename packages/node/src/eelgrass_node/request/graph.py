"""Runs the stages of a request that precede its final call.

Stages form a graph: each starts when the results of its predecessors are available,
and receives the handles of all their batch items. Lost results are recomputed.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec

from eelgrass_coordination.ids import NodeId

from ..exceptions import StagesFailed
from ..process.backends import ServerIncarnation
from ..process.batch_items import BatchItem, ItemFailure, ItemOutcome
from ..process.crash_detector import Fingerprint
from ..version.deployment import BatchStage, ServiceName
from .incoming_request import RoutedRequest

__all__ = ["FreeResults", "RunItems", "StageGraph", "StagePlan"]

RunItems = Callable[[ServiceName, list[BatchItem]], Awaitable[list[ItemOutcome]]]
# Frees results. The node, if any, is the one whose queue accounts for their memory.
FreeResults = Callable[[ServiceName, list[str], NodeId | None], None]

# Runs of the stages before the request is refused, if results are lost.
MAX_RUNS = 2
# From this size on, placement considers where results are produced and fetched, because
# traffic between data centres is charged for. Typical large results are single ones of
# 3 MB, and eight of 60 kB that each of sixteen batch items fetches.
LARGE_BYTES = 100_000


class StagePlan(msgspec.Struct, frozen=True):
    """When each stage of a request should be complete, by stage number.

    If a stage ends after its time in ``target_by_stage``, the request will miss its
    latency target; after ``deadline_by_stage`` it is not worth continuing. A stage
    starts once its stages of ``begin_after`` are complete.
    ``preferred_data_centre`` is where the final call will probably run.
    """

    target_by_stage: tuple[float, ...]
    deadline_by_stage: tuple[float, ...]
    begin_after: tuple[tuple[int, ...], ...]
    preferred_data_centre: str = ""


class _Result(msgspec.Struct, frozen=True):
    """A result that a server incarnation holds under a handle.

    ``owner`` is the other node whose queue accounts for the memory it takes.
    """

    handle: str
    producer: ServerIncarnation | None
    owner: NodeId | None


class StageGraph:
    """The stages of one request; results are kept by stage and batch item.

    ``has_ended`` returns whether a server incarnation has ended, and with it the
    results that it held. ``fingerprint`` is that of the request.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        plan: StagePlan,
        run_items: RunItems,
        free: FreeResults,
        data_centre_of: Callable[[str], str],
        has_ended: Callable[[ServerIncarnation], bool],
        fingerprint: Fingerprint,
    ) -> None:
        self._fingerprint = fingerprint
        self._routed = routed
        self._plan = plan
        self._run_items = run_items
        self._free = free
        self._data_centre_of = data_centre_of
        self._done: set[int] = set()
        self.released = False
        self._has_ended = has_ended
        self._result_by_item: dict[tuple[int, int], _Result] = {}

    async def run(self) -> tuple[str, ...]:
        """Produce the missing results; return the handles for the final call.

        Raises :class:`StagesFailed`.
        """
        self.released = False
        for _ in range(MAX_RUNS):
            try:
                await self._run_missing()
                return self._handles(self._routed.route.final_stages())
            except _ResultsLost:
                self.release()
        raise StagesFailed(ItemFailure.INPUT_GONE, 0.0)

    def inputs_data_centre(self, stages: tuple[int, ...]) -> str:
        """Return the data centre that holds most bytes of the results of ``stages``.

        Empty if they are too small for their location to matter.
        """
        bytes_by_data_centre: Counter[str] = Counter()
        for (stage, _), result in self._result_by_item.items():
            if stage in stages:
                size = self._routed.route.stages[stage].result_bytes
                bytes_by_data_centre[self._data_centre_of(result.handle)] += size
        if bytes_by_data_centre.total() < LARGE_BYTES:
            return ""
        return bytes_by_data_centre.most_common(1)[0][0]

    def has_lost_results(self) -> bool:
        """Return whether a server that held a result has restarted."""
        return any(
            result.producer is not None and self._has_ended(result.producer)
            for result in self._result_by_item.values()
        )

    def release(self) -> None:
        """Free all results, because none is needed any more or one of them is lost."""
        self._done.clear()
        self.released = True
        for number, stage in enumerate(self._routed.route.stages):
            self._release_stage(number, stage)

    async def _run_missing(self) -> None:
        done = [asyncio.Event() for _ in self._routed.route.stages]
        try:
            async with asyncio.TaskGroup() as group:
                for number, stage in enumerate(self._routed.route.stages):
                    group.create_task(self._run_stage(number, stage, done))
        except ExceptionGroup as failures:
            raise failures.exceptions[0] from None

    async def _run_stage(
        self, number: int, stage: BatchStage, done: list[asyncio.Event]
    ) -> None:
        for predecessor in self._plan.begin_after[number]:
            await done[predecessor].wait()
        missing = [
            item
            for item in range(self._routed.incoming.item_count(number))
            if number not in self._done and (number, item) not in self._result_by_item
        ]
        if missing:
            items = self._items(number, stage, missing)
            outcomes = await self._run_items(stage.service, items)
            self._record_outcomes(number, missing, outcomes)
        self._done.add(number)
        done[number].set()
        self._release_used(stage.after)

    def _release_used(self, stages: tuple[int, ...]) -> None:
        """Free the results of ``stages`` as soon as all their successors have run.

        Servers have memory for the results of only a few calls.
        """
        for predecessor in stages:
            successors = (
                number
                for number, stage in enumerate(self._routed.route.stages)
                if predecessor in stage.after
            )
            if self._done.issuperset(successors):
                self._release_stage(predecessor, self._routed.route.stages[predecessor])

    def _release_stage(self, number: int, stage: BatchStage) -> None:
        keys = [key for key in self._result_by_item if key[0] == number]
        results = [self._result_by_item.pop(key) for key in keys]
        # A restarted server may hold another result under the same handle.
        held = [
            r for r in results if r.producer is None or not self._has_ended(r.producer)
        ]
        for owner in {result.owner for result in held}:
            handles = [result.handle for result in held if result.owner == owner]
            self._free(stage.service, handles, owner)

    def _record_outcomes(
        self, number: int, missing: list[int], outcomes: list[ItemOutcome]
    ) -> None:
        for item, outcome in zip(missing, outcomes, strict=True):
            if outcome.handle is not None:
                result = _Result(outcome.handle, outcome.producer, outcome.owner)
                self._result_by_item[number, item] = result
        failures = [outcome for outcome in outcomes if outcome.failure is not None]
        if not failures:
            return
        if any(o.failure is ItemFailure.INPUT_GONE for o in failures):
            raise _ResultsLost
        first = failures[0]
        raise StagesFailed(first.failure, first.retry_after_s, first.is_resting)

    def _items(
        self, number: int, stage: BatchStage, numbers: list[int]
    ) -> list[BatchItem]:
        routed = self._routed
        inputs = self._handles(stage.after)
        producers = {result.producer for result in self._results(stage.after)}
        known_producers = tuple(producers - {None})
        preferred_data_centre = self._preferred_data_centre(stage)
        return [
            BatchItem(
                request_id=routed.incoming.request_id,
                stage=number,
                number=item,
                key=None if stage.after else routed.incoming.item_key,
                inputs=inputs,
                deadline=self._plan.deadline_by_stage[number],
                due=self._plan.target_by_stage[number],
                priority=routed.priority,
                result_bytes=stage.result_bytes,
                preferred_data_centre=preferred_data_centre,
                producers=known_producers,
                account=routed.account_name,
                fingerprint=self._fingerprint,
                regions=routed.regions,
            )
            for item in numbers
        ]

    def _preferred_data_centre(self, stage: BatchStage) -> str:
        """Return the data centre where a batch item should run; empty if any will do.

        Each item fetches all results of the preceding stages, so their location
        matters more than that of its own result.
        """
        inputs_data_centre = self.inputs_data_centre(stage.after)
        if inputs_data_centre:
            return inputs_data_centre
        return (
            self._plan.preferred_data_centre
            if stage.result_bytes >= LARGE_BYTES
            else ""
        )

    def _handles(self, stages: tuple[int, ...]) -> tuple[str, ...]:
        """Return the handles of all results of ``stages``, in order.

        Raises :class:`_ResultsLost` if a server that held a result has restarted.
        """
        if self.has_lost_results():
            raise _ResultsLost
        return tuple(result.handle for result in self._results(stages))

    def _results(self, stages: tuple[int, ...]) -> list[_Result]:
        return [
            self._result_by_item[stage, item]
            for stage in stages
            for item in range(self._routed.incoming.item_count(stage))
        ]


class _ResultsLost(Exception):
    """A result that a stage needs has been lost."""
