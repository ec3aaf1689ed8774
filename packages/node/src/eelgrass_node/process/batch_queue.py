"""The batch queue of one service that runs stages, and the calls made from it.

Every call costs the server a fixed time (150 ms, as much as five to forty items), so
throughput depends on full calls, and bursts reach two to three times the normal load
of one kind of request. With one queue per service, calls fill up while all servers are
busy, and an item runs at once if a server is idle.

This module does no network I/O: a call is a function that it is given.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from eelgrass_coordination import running_time
from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from ..version.deployment import BatchLimits
from .account_shares import AccountShares
from .backends import Backend, ServerIncarnation
from .batch_items import NOT_RUN_FAILURES, BatchItem, ItemFailure, ItemOutcome
from .batch_selection import select_batch
from .item_order import ItemOrder, rank
from .overload import Overload
from .queue_load import QueueLoad
from .queue_servers import SERVER_FAILURES, QueueServers
from .reachability import DataCentreReachability
from .waiting_sets import WaitingSets

__all__ = ["BatchQueue", "RunCall"]

RestRefusal = Callable[[frozenset[str] | None], ItemOutcome | None]
RunCall = Callable[[Backend, list[BatchItem], float], Awaitable[list[ItemOutcome]]]

# An item is run at most this often; the second and third time only after a failure.
MAX_TRIES = 3
# A call times out after its expected time multiplied by the factor, plus the slack:
# slow servers take 4 to 8 times as long, and unreachable ones never answer.
CALL_TIMEOUT_FACTOR = 2.5
CALL_TIMEOUT_SLACK_S = 0.25
# The shortest retry delay for refused callers. Replies add a random part in proportion
# to the delay, so that callers do not retry all at once.
MIN_RETRY_AFTER_S = 0.2
# Late items are refused if those that wait already are this many seconds of work of all
# servers. After a burst such a backlog is served within three times as long, and
# callers still wait that long.
LATE_BACKLOG_S = 1.0
# The longest wait reported to other nodes. It is longer than any caller waits, and
# finite because a queue without servers has an infinite wait, which JSON cannot encode.
MAX_REPORTED_WAIT_S = 60.0
# Waiting items are rechecked after this time.
RECHECK_AFTER_S = 0.05


class BatchQueue:
    """Items that wait for a server of ``service``.

    ``servers`` returns the servers that may get work, ``data_centre_of`` the data
    centre that holds a result, and ``has_ended`` whether a server incarnation is over.
    ``may_retry`` asks the retry budget for one more call of an item, ``record_wait``
    records how long items waited, and ``free_results`` frees results that no request
    waits for any more. ``rest_refusal`` returns a refusal if all servers in some
    regions have asked for rest.
    """

    def __init__(
        self,
        service: str,
        limits: Callable[[], BatchLimits],
        servers: Callable[[], list[Backend]],
        reachability: DataCentreReachability,
        data_centre_of: Callable[[str], str],
        has_ended: Callable[[ServerIncarnation], bool],
        run_call: RunCall,
        may_retry: Callable[[BatchItem], bool],
        record_wait: Callable[[str, float], None],
        free_results: Callable[[list[str]], None],
        rest_refusal: RestRefusal = lambda regions: None,
    ) -> None:
        self.service = service
        self._limits = limits
        self._servers = QueueServers(
            service, limits, servers, reachability, data_centre_of, has_ended
        )
        self._order = ItemOrder(limits, self._servers)
        self._run_call = run_call
        self._may_retry = may_retry
        self._record_wait = record_wait
        self._free_results = free_results
        self._rest_refusal = rest_refusal
        self._waiting = WaitingSets()
        self._overload = Overload()
        self._shares = AccountShares()
        self._tasks: set[asyncio.Task] = set()
        self._recheck_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """The number of waiting items."""
        return len(self._waiting)

    async def run(self, items: list[BatchItem]) -> list[ItemOutcome]:
        """Run an item set and return the outcomes, in order.

        If the caller is cancelled, waiting items are withdrawn, calls that have started
        continue, and all results are freed.
        """
        now = _now()
        self._shares.record_demand(items, self._order.work_s(len(items)), now)
        self._update_shares(now)
        refusal = self._refusal(items, now)
        if refusal is not None:
            return [refusal] * len(items)
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in items]
        for item, future in zip(items, futures, strict=True):
            item.queued_at = now
            item.set_size = len(items)
            self._waiting.add(item, future)
        self.start_calls()
        try:
            return list(await asyncio.gather(*futures))
        except asyncio.CancelledError:
            self._free_finished(futures)
            raise
        finally:
            self._waiting.withdraw(items)

    def free(self, incarnation: ServerIncarnation, handles: list[str]) -> None:
        """Record that results were freed at a server."""
        self._servers.free(incarnation, handles)
        self.start_calls()

    def load(self) -> QueueLoad:
        """Return the load of the queue, as reported to other nodes."""
        now = _now()
        self._update_shares(now)
        item_s = self._servers.item_s()
        late = over_share = 0
        priorities: Counter[int] = Counter()
        for items in self._waiting:
            if self._order.is_late(items[0], now):
                late += len(items)
            elif items[0].over_share:
                over_share += len(items)
            else:
                priorities[items[0].priority] += len(items)
        waits = []
        ahead = 0
        for priority in sorted(priorities):
            ahead += priorities[priority]
            waits.append((priority, self._reported_wait(ahead, now)))
        return QueueLoad(
            wait_by_priority=tuple(waits),
            late_s=round(late * item_s, 3),
            overload_s=round(self._overload.duration_s(now), 3),
            over_share_accounts=tuple(self._shares.over_share_accounts),
            over_share_wait_s=self._reported_wait(ahead + over_share, now)
            / self._shares.left_fraction,
        )

    def _reported_wait(self, ahead: int, now: float) -> float:
        """Return the wait behind ``ahead`` items, as reported to other nodes."""
        return round(
            min(self._servers.expected_wait(ahead, now), MAX_REPORTED_WAIT_S), 3
        )

    def use_by_id(self, now: float) -> dict[BackendId, dict[str, float]]:
        """Return how the queue uses its healthy servers, for operators."""
        return self._servers.use_by_id(now)

    def start_calls(self) -> None:
        """Start calls at idle servers while items are waiting."""
        while self._waiting:
            now = _now()
            self._update_shares(now)
            self._drop_infeasible(now)
            if not self._start_one(now):
                self._recheck_later()
                return

    def _start_one(self, now: float) -> bool:
        """Start a call at the first idle server that has items to run."""
        for server in self._servers.idle(now):
            batch = self._select_batch(server, now)
            if batch:
                self._start(server, batch, now)
                return True
        return False

    def _recheck_later(self) -> None:
        """Recheck soon: items may wait for a preferred server, or for memory."""
        if self._recheck_timer is None:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_later(RECHECK_AFTER_S, self._recheck)

    def _recheck(self) -> None:
        self._recheck_timer = None
        self.start_calls()

    def _update_shares(self, now: float) -> None:
        self._shares.update(
            self._waiting, self._order.work_s, self._servers.slots(), now
        )

    def _refusal(self, items: list[BatchItem], now: float) -> ItemOutcome | None:
        """Return a refusal if the items cannot run in time, otherwise None."""
        first = items[0]
        wait_s = self._servers.expected_wait(self._ahead_of(first, now), now)
        if first.over_share:
            # Items within their share that arrive later overtake this one.
            wait_s /= self._shares.left_fraction
        end = now + wait_s + self._servers.call_s(len(items))
        if first.inputs and end <= first.deadline:
            return None
        may_wait = self._servers.may_wait(wait_s)
        if end <= first.due and may_wait:
            return None
        # The items would be late, and late items only get the capacity that is left.
        # If many of them wait already, an immediate refusal is better than a wait that
        # ends without a result.
        late_s = self.load().late_s
        if end <= first.deadline and late_s < LATE_BACKLOG_S and may_wait:
            return None
        self._overload.record_refusal(now)
        wait_s = max(wait_s, late_s)
        after_s = max(
            MIN_RETRY_AFTER_S,
            min(wait_s, first.deadline - now),
            self._overload.duration_s(now),
        )
        return ItemOutcome(failure=ItemFailure.OVERLOADED, retry_after_s=after_s)

    def _ahead_of(self, first: BatchItem, now: float) -> int:
        """Return how many waiting items run before ``first``; late ones run later."""
        own = rank(first)
        return sum(
            len(items)
            for items in self._waiting
            if items[0].set_started
            or (rank(items[0]) <= own and not self._order.is_late(items[0], now))
        )

    def _drop_infeasible(self, now: float) -> None:
        shortest = self._servers.call_s(1)
        refusals = {r: self._rest_refusal(r) for r in self._waiting.regions()}
        for items in self._waiting:
            refusal = refusals[items[0].regions]
            if refusal is not None:
                self._settle_all(items, refusal)
            elif items[0].deadline - now < shortest:
                self._log_late(items, now)
                self._settle_all(items, self._overload.refuse_late(now))
            elif self._servers.inputs_unavailable(items[0]):
                # The request then reruns the earlier stages to replace the inputs.
                self._settle_all(items, ItemOutcome(failure=ItemFailure.INPUT_GONE))

    def _log_late(self, items: Sequence[BatchItem], now: float) -> None:
        first = items[0]
        log(
            Part.PIECES,
            "Dropped batch items that cannot finish before their deadline.",
            service=self.service,
            id=first.request_id,
            pieces=len(items),
            waited_s=round(now - first.queued_at, 3),
            begun=first.set_started,
            waiting=len(self._waiting),
            servers=self.use_by_id(now),
        )

    def _settle_all(self, items: Sequence[BatchItem], outcome: ItemOutcome) -> None:
        for item, future in self._waiting.futures(items):
            self._settle(item, future, outcome)

    def _select_batch(self, server: Backend, now: float) -> list[BatchItem]:
        limits = self._limits()
        regions = self._waiting.regions()
        useful = self._servers.useful_for(server, regions, len(self._waiting), now)
        allowed = (items for items in self._waiting if items[0].regions in useful)
        sets = [
            items
            for items in allowed
            if not self._order.waits_for_preferred(items[0], server, now)
        ]
        data_centre = server.entry.data_centre
        sets.sort(key=lambda items: self._order.key(items[0], data_centre, now))
        return select_batch(
            sets,
            limits.batch,
            self._servers.free_bytes(server, now),
            limits.memory_bytes,
            self._servers.size,
            now,
        )

    def _start(self, server: Backend, batch: list[BatchItem], now: float) -> None:
        use = self._servers.use(server)
        use.calls += 1
        expected_s = self._servers.call_s(len(batch)) * use.slowness(now)
        use.free_at = now + expected_s
        log(
            Part.PIECES,
            "Batch call started.",
            service=self.service,
            backend=server.entry.id,
            pieces=len(batch),
            waited_s=round(now - batch[0].queued_at, 3),
            due_in_s=round(batch[0].due - now, 3),
            left=len(self._waiting) - len(batch),
            held_mb=round(use.held_bytes(now) / 1e6, 2),
            requests=sorted({item.request_id for item in batch}),
        )
        for item in batch:
            self._record_wait(self.service, now - item.queued_at)
            self._shares.record_work(item.account, self._order.work_s(1), now)
        futures = self._waiting.take(batch)
        task = asyncio.create_task(self._call(server, futures, expected_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self,
        server: Backend,
        futures: dict[BatchItem, asyncio.Future[ItemOutcome]],
        expected_s: float,
    ) -> None:
        batch = list(futures)
        timeout_s = expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK_S
        began = running_time()
        use = self._servers.use(server)
        try:
            outcomes = await self._run_call(server, batch, timeout_s)
        finally:
            use.calls -= 1
        now = _now()
        # Stalls of this process do not count, because the server is not slow then.
        took_s = running_time() - began
        self._servers.record_call(server, batch, outcomes, took_s)
        finished = sum(outcome.handle is not None for outcome in outcomes)
        self._shares.record_call(self._order.work_s(finished), took_s)
        until = now + self._limits().result_life_s
        producer = server.entry.incarnation
        for item, outcome in zip(batch, outcomes, strict=True):
            if outcome.handle is not None:
                use.hold(outcome.handle, int(self._servers.size(item)), until)
                outcome = msgspec.structs.replace(outcome, producer=producer)
            self._finish(item, futures[item], outcome)
        self._free_abandoned(futures, outcomes)
        self.start_calls()

    def _free_finished(self, futures: Sequence[asyncio.Future[ItemOutcome]]) -> None:
        """Free the finished results of a set whose caller has been cancelled."""
        finished = [f.result() for f in futures if f.done() and not f.cancelled()]
        handles = [outcome.handle for outcome in finished if outcome.handle is not None]
        if handles:
            self._free_results(handles)

    def _free_abandoned(
        self,
        futures: dict[BatchItem, asyncio.Future[ItemOutcome]],
        outcomes: list[ItemOutcome],
    ) -> None:
        """Free results whose caller was cancelled; they would take up server memory."""
        abandoned = [
            outcome.handle
            for future, outcome in zip(futures.values(), outcomes, strict=True)
            if outcome.handle is not None and future.cancelled()
        ]
        if abandoned:
            self._free_results(abandoned)

    def _finish(
        self, item: BatchItem, future: asyncio.Future[ItemOutcome], outcome: ItemOutcome
    ) -> None:
        # The item has not run, and is called again later.
        item.tries += outcome.failure not in NOT_RUN_FAILURES
        is_retryable = outcome.failure in SERVER_FAILURES | {ItemFailure.NO_ROOM}
        if is_retryable and item.tries < MAX_TRIES and not future.done():
            if not outcome.connected or self._may_retry(item):
                self._waiting.add(item, future)
                return
        if not outcome.connected:
            outcome = ItemOutcome(failure=ItemFailure.UNREACHABLE)
        self._settle(item, future, outcome)

    def _settle(
        self, item: BatchItem, future: asyncio.Future[ItemOutcome], outcome: ItemOutcome
    ) -> None:
        self._waiting.withdraw([item])
        if not future.done():
            future.set_result(outcome)


def _now() -> float:
    return asyncio.get_running_loop().time()
