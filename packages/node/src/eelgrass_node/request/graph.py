"""Runs the stages that a request needs before it itself can run.

Stages form a graph: each begins when the results of those before it are there,
and gets the handles of all their pieces. A result that is gone is made again.
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
# Frees results; the node, if any, is the one whose queue counts their memory.
FreeResults = Callable[[ServiceName, list[str], NodeId | None], None]

# How often lost results are made again before the request is given up.
MAX_ROUNDS = 2
# From this size on it matters where results are made and fetched, since their
# way between data centres is priced. On the sheets the large ones are 3 MB, and
# eight of 60 kB that each of sixteen pieces fetches.
LARGE_BYTES = 100_000


class StagePlan(msgspec.Struct, frozen=True):
    """When each stage of a request should be done, by its number.

    After ``due_by_stage`` the request will be late, and after
    ``deadline_by_stage`` it is not worth going on with. A stage begins once
    those of ``begin_after`` are done. ``near`` is the data centre where the
    request itself will probably run.
    """

    due_by_stage: tuple[float, ...]
    deadline_by_stage: tuple[float, ...]
    begin_after: tuple[tuple[int, ...], ...]
    near: str = ""


class _Result(msgspec.Struct, frozen=True):
    """A result that a life of a server holds under a handle.

    ``owner`` is the other node whose queue counts the memory that it takes.
    """

    handle: str
    producer: ServerIncarnation | None
    owner: NodeId | None


class StageGraph:
    """The stages of one request; results are kept by stage and piece.

    ``is_over`` tells of a life of a server whether it has ended, and with it
    the results that it held. ``fingerprint`` is that of the request.
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
        self._is_over = has_ended
        self._result_by_item: dict[tuple[int, int], _Result] = {}

    async def run(self) -> tuple[str, ...]:
        """Make what is missing; return the handles for the request itself.

        Raises :class:`StagesFailed`.
        """
        self.released = False
        for _ in range(MAX_ROUNDS):
            try:
                await self._run_missing()
                return self._handles(self._routed.route.final_stages())
            except _ResultsGone:
                self.release()
        raise StagesFailed(ItemFailure.INPUT_GONE, 0.0)

    def inputs_at(self, stages: tuple[int, ...]) -> str:
        """Return the data centre with most bytes of the results of ``stages``.

        Nothing is returned where they are too small to matter.
        """
        bytes_by_place: Counter[str] = Counter()
        for (stage, _), result in self._result_by_item.items():
            if stage in stages:
                size = self._routed.route.stages[stage].result_bytes
                bytes_by_place[self._data_centre_of(result.handle)] += size
        if bytes_by_place.total() < LARGE_BYTES:
            return ""
        return bytes_by_place.most_common(1)[0][0]

    def has_lost_results(self) -> bool:
        """Return whether a server that held a result has started again."""
        return any(
            result.producer is not None and self._is_over(result.producer)
            for result in self._result_by_item.values()
        )

    def release(self) -> None:
        """Free all results, which nobody needs any more or one of which is gone."""
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
        for before in self._plan.begin_after[number]:
            await done[before].wait()
        missing = [
            item
            for item in range(self._routed.incoming.item_count(number))
            if number not in self._done and (number, item) not in self._result_by_item
        ]
        if missing:
            items = self._items(number, stage, missing)
            outcomes = await self._run_items(stage.service, items)
            self._take(number, missing, outcomes)
        self._done.add(number)
        done[number].set()
        self._release_used(stage.after)

    def _release_used(self, stages: tuple[int, ...]) -> None:
        """Free results as soon as every stage that needs them has run.

        Servers have memory for the results of a few calls only.
        """
        for before in stages:
            followers = (
                number
                for number, stage in enumerate(self._routed.route.stages)
                if before in stage.after
            )
            if self._done.issuperset(followers):
                self._release_stage(before, self._routed.route.stages[before])

    def _release_stage(self, number: int, stage: BatchStage) -> None:
        keys = [key for key in self._result_by_item if key[0] == number]
        results = [self._result_by_item.pop(key) for key in keys]
        # Under its handle a server that has started again may hold another result.
        held = [
            r for r in results if r.producer is None or not self._is_over(r.producer)
        ]
        for owner in {result.owner for result in held}:
            handles = [result.handle for result in held if result.owner == owner]
            self._free(stage.service, handles, owner)

    def _take(
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
            raise _ResultsGone
        first = failures[0]
        raise StagesFailed(first.failure, first.retry_after_s)

    def _items(
        self, number: int, stage: BatchStage, numbers: list[int]
    ) -> list[BatchItem]:
        routed = self._routed
        inputs = self._handles(stage.after)
        producers = {result.producer for result in self._results(stage.after)}
        known_producers = tuple(producers - {None})
        near = self._near(stage)
        return [
            BatchItem(
                request_id=routed.incoming.request_id,
                stage=number,
                number=item,
                key=None if stage.after else routed.incoming.item_key,
                inputs=inputs,
                deadline=self._plan.deadline_by_stage[number],
                due=self._plan.due_by_stage[number],
                priority=routed.priority,
                result_bytes=stage.result_bytes,
                preferred_data_centre=near,
                producers=known_producers,
                account=routed.account_name,
                fingerprint=self._fingerprint,
                regions=routed.regions,
            )
            for item in numbers
        ]

    def _near(self, stage: BatchStage) -> str:
        """Return where a piece is best run, if that matters.

        Each piece fetches all results of the stages before it, so these weigh
        more than its own result.
        """
        at = self.inputs_at(stage.after)
        if at:
            return at
        return self._plan.near if stage.result_bytes >= LARGE_BYTES else ""

    def _handles(self, stages: tuple[int, ...]) -> tuple[str, ...]:
        """Return the handles of all results of some stages, in order.

        Raises :class:`_ResultsGone` where a server that held one started again.
        """
        if self.has_lost_results():
            raise _ResultsGone
        return tuple(result.handle for result in self._results(stages))

    def _results(self, stages: tuple[int, ...]) -> list[_Result]:
        return [
            self._result_by_item[stage, item]
            for stage in stages
            for item in range(self._routed.incoming.item_count(stage))
        ]


class _ResultsGone(Exception):
    """A result that a stage needs is no longer there."""
