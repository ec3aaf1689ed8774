"""The queue before one service that runs stages, and the calls made from it.

The pattern it answers: every call costs the server a fixed time (150 ms on the
users' sheets, as much as five to forty pieces), so throughput comes from full
calls; bursts are two to three times the usual load of one kind of request. One
queue per service lets calls fill while all servers are busy, and takes a piece
at once where one is idle. No network here: a call is a function.
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
from .batch_items import BatchItem, ItemFailure, ItemOutcome
from .batch_selection import select_batch
from .item_order import ItemOrder, rank
from .overload import Overload
from .queue_load import QueueLoad
from .queue_servers import SERVER_FAILURES, QueueServers
from .reachability import DataCentreReachability
from .waiting_sets import WaitingSets

__all__ = ["BatchQueue", "RunCall"]

RunCall = Callable[[Backend, list[BatchItem], float], Awaitable[list[ItemOutcome]]]

# A piece is run at most this often; the second and third time after a failure.
MAX_TRIES = 3
# A call is given up after this many times its expected time and this much more:
# slow servers are 4 to 8 times as slow, dark ones never answer.
GIVE_UP_FACTOR = 2.5
GIVE_UP_SLACK_S = 0.25
# Refused callers come back spread over this much, so as not to come together.
MIN_RETRY_AFTER_S = 0.2
# Late pieces beyond this much work of all servers are refused: after a burst
# they are served within some three times as long, which callers still wait.
LATE_BACKLOG_S = 1.0
# The longest wait that is told to other nodes: longer than any caller waits, and
# finite, since without a server the wait has no end and JSON no word for that.
LONGEST_TOLD_S = 60.0
# How soon waiting pieces are looked at again where nothing else calls for it.
FILL_AGAIN_S = 0.05


class BatchQueue:
    """Pieces that wait for a server of ``service``.

    ``servers`` returns those that may get work, ``data_centre_of`` tells where a
    result lies, and ``is_over`` whether a life of a server has ended.
    ``may_repeat`` asks for one more call of a piece, ``record_wait`` is
    told how long pieces waited, and ``free_results`` frees results that nobody
    waits for any more.
    """

    def __init__(
        self,
        service: str,
        limits: Callable[[], BatchLimits],
        servers: Callable[[], list[Backend]],
        reach: DataCentreReachability,
        data_centre_of: Callable[[str], str],
        has_ended: Callable[[ServerIncarnation], bool],
        run_call: RunCall,
        may_retry: Callable[[BatchItem], bool],
        record_wait: Callable[[str, float], None],
        free_results: Callable[[list[str]], None],
    ) -> None:
        self.service = service
        self._limits = limits
        self._servers = QueueServers(
            service, limits, servers, reach, data_centre_of, has_ended
        )
        self._order = ItemOrder(limits, self._servers)
        self._run_call = run_call
        self._may_retry = may_retry
        self._record_wait = record_wait
        self._free_results = free_results
        self._waiting = WaitingSets()
        self._overload = Overload()
        self._shares = AccountShares()
        self._tasks: set[asyncio.Task] = set()
        self._fill_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """How many pieces wait."""
        return len(self._waiting)

    async def run(self, items: list[BatchItem]) -> list[ItemOutcome]:
        """Run pieces and return their outcomes, in order.

        Where the caller of this is cancelled, pieces that still wait are
        withdrawn; those that a server works on go on, and all results are freed.
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
            self._free_made(futures)
            raise
        finally:
            self._waiting.withdraw(items)

    def free(self, incarnation: ServerIncarnation, handles: list[str]) -> None:
        """Note that results were freed at a server."""
        self._servers.free(incarnation, handles)
        self.start_calls()

    def load(self) -> QueueLoad:
        """Return the load of the queue, for other nodes."""
        now = _now()
        self._update_shares(now)
        limits = self._limits()
        places = limits.batch * self._servers.slots()
        item_s = self._servers.call_s(limits.batch) / places
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
            waits.append((priority, self._told_wait(ahead, now)))
        return QueueLoad(
            wait_by_priority=tuple(waits),
            late_s=round(late * item_s, 3),
            overload_s=round(self._overload.duration_s(now), 3),
            over_share_accounts=tuple(self._shares.over_share_accounts),
            over_share_wait_s=self._told_wait(ahead + over_share, now)
            / self._shares.left_fraction,
        )

    def _told_wait(self, ahead: int, now: float) -> float:
        """Return the wait behind ``ahead`` pieces, as it is told to other nodes."""
        return round(min(self._servers.expected_wait(ahead, now), LONGEST_TOLD_S), 3)

    def use_by_id(self, now: float) -> dict[BackendId, dict[str, float]]:
        """Return what the queue has at its sound servers, for operators."""
        return self._servers.use_by_id(now)

    def start_calls(self) -> None:
        """Start calls at idle servers, as far as pieces wait."""
        while self._waiting:
            now = _now()
            self._update_shares(now)
            self._drop_hopeless(now)
            if not self._start_one(now):
                self._fill_later()
                return

    def _start_one(self, now: float) -> bool:
        """Start a call at the first idle server that has pieces to take."""
        for server in self._servers.idle(len(self._waiting), now):
            batch = self._select_batch(server, now)
            if batch:
                self._start(server, batch, now)
                return True
        return False

    def _fill_later(self) -> None:
        """Look again soon: pieces may wait for a nearer server, or for room."""
        if self._fill_timer is None:
            loop = asyncio.get_running_loop()
            self._fill_timer = loop.call_later(FILL_AGAIN_S, self._fill_again)

    def _fill_again(self) -> None:
        self._fill_timer = None
        self.start_calls()

    def _update_shares(self, now: float) -> None:
        self._shares.update(
            self._waiting, self._order.work_s, self._servers.slots(), now
        )

    def _refusal(self, items: list[BatchItem], now: float) -> ItemOutcome | None:
        """Return a refusal where the pieces cannot be run in time."""
        first = items[0]
        wait_s = self._servers.expected_wait(self._ahead_of(first, now), now)
        if first.over_share:
            # Others that come later go first.
            wait_s /= self._shares.left_fraction
        end = now + wait_s + self._servers.call_s(len(items))
        if first.inputs and end <= first.deadline:
            return None
        if end <= first.due:
            return None
        # It would be late. Late ones get what the others leave; where many wait
        # for that already, it is better told at once than after a wait in vain.
        late_s = self.load().late_s
        if end <= first.deadline and late_s < LATE_BACKLOG_S:
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
        """Return how many pieces go before a newcomer; late ones go after it."""
        own = rank(first)
        return sum(
            len(items)
            for items in self._waiting
            if items[0].set_started
            or (rank(items[0]) <= own and not self._order.is_late(items[0], now))
        )

    def _drop_hopeless(self, now: float) -> None:
        shortest = self._servers.call_s(1)
        for items in self._waiting:
            if items[0].deadline - now < shortest:
                self._overload.record_refusal(now)
                outcome = ItemOutcome(
                    failure=ItemFailure.LATE,
                    retry_after_s=self._overload.duration_s(now),
                )
                self._log_late(items, now)
                self._settle_all(items, outcome)
            elif self._servers.inputs_lost(items[0]):
                # Their inputs are out of reach; they can be made again here.
                self._settle_all(items, ItemOutcome(failure=ItemFailure.INPUT_GONE))

    def _log_late(self, items: Sequence[BatchItem], now: float) -> None:
        first = items[0]
        log(
            Part.PIECES,
            "Pieces are given up as late.",
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
        place = server.entry.data_centre
        sets = [
            items
            for items in self._waiting
            if server.is_in(items[0].regions)
            and not self._order.waits_for_preferred(items[0], server, now)
        ]
        return select_batch(
            sorted(sets, key=lambda items: self._order.key(items[0], place, now)),
            limits.batch,
            self._servers.room(server, now),
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
            "A call starts.",
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
        within_s = expected_s * GIVE_UP_FACTOR + GIVE_UP_SLACK_S
        began = running_time()
        use = self._servers.use(server)
        try:
            outcomes = await self._run_call(server, batch, within_s)
        finally:
            use.calls -= 1
        now = _now()
        # What this process stood still says nothing of the server's pace.
        took_s = running_time() - began
        self._servers.record_call(server, batch, outcomes, took_s)
        made = sum(outcome.handle is not None for outcome in outcomes)
        self._shares.record_call(self._order.work_s(made), took_s)
        until = now + self._limits().result_life_s
        producer = server.entry.incarnation
        for item, outcome in zip(batch, outcomes, strict=True):
            if outcome.handle is not None:
                use.hold(outcome.handle, int(self._servers.size(item)), until)
                outcome = msgspec.structs.replace(outcome, producer=producer)
            self._finish(item, futures[item], outcome)
        self._free_unwanted(futures, outcomes)
        self.start_calls()

    def _free_made(self, futures: Sequence[asyncio.Future[ItemOutcome]]) -> None:
        """Free the results that are there of a set that nobody waits for any more."""
        made = [f.result() for f in futures if f.done() and not f.cancelled()]
        handles = [outcome.handle for outcome in made if outcome.handle is not None]
        if handles:
            self._free_results(handles)

    def _free_unwanted(
        self,
        futures: dict[BatchItem, asyncio.Future[ItemOutcome]],
        outcomes: list[ItemOutcome],
    ) -> None:
        """Free results whose caller has gone away; they would hold memory."""
        unwanted = [
            outcome.handle
            for future, outcome in zip(futures.values(), outcomes, strict=True)
            if outcome.handle is not None and future.cancelled()
        ]
        if unwanted:
            self._free_results(unwanted)

    def _finish(
        self, item: BatchItem, future: asyncio.Future[ItemOutcome], outcome: ItemOutcome
    ) -> None:
        item.tries += 1
        again = outcome.failure in SERVER_FAILURES | {ItemFailure.NO_ROOM}
        if outcome.failure is ItemFailure.NO_ROOM:
            # It was not run; the next call is made when there is more room.
            item.tries -= 1
        if again and item.tries < MAX_TRIES and not future.done():
            if self._may_retry(item):
                self._waiting.add(item, future)
                return
        self._settle(item, future, outcome)

    def _settle(
        self, item: BatchItem, future: asyncio.Future[ItemOutcome], outcome: ItemOutcome
    ) -> None:
        self._waiting.withdraw([item])
        if not future.done():
            future.set_result(outcome)


def _now() -> float:
    return asyncio.get_running_loop().time()
