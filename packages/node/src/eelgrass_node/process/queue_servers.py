"""The servers behind a queue of pieces: which are idle, and how fast they are.

The patterns it answers: one of three servers turns four to eight times as slow;
servers go dark; a server holds results that this node does not know of.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Sequence

from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from ..version.deployment import BatchLimits
from .backends import Backend, ServerIncarnation
from .batch_items import BatchItem, ItemFailure, ItemOutcome
from .reachability import DataCentreReachability
from .server_use import ServerUse

__all__ = ["SERVER_FAILURES", "QueueServers"]

# Sizes of results are told as about so much. Where a server has less room than
# they add up to, they are taken for larger, up to a third; the decay forgets
# that over some twenty calls, a few seconds.
SIZE_GROWTH = 1.05
SIZE_DECAY = 0.985
MAX_SIZE_FACTOR = 1.35
# A server that has no room is taken for full for this long, about a call.
UNKNOWN_RESULTS_S = 0.25
UNKNOWN_RESULTS = "unknown"
# What is kept of servers that are gone, against those that are listed.
MAX_KEPT_FACTOR = 4

SERVER_FAILURES = frozenset(
    (ItemFailure.UNREACHABLE, ItemFailure.TIMED_OUT, ItemFailure.FAILED)
)


class QueueServers:
    """The servers of ``service`` as one queue uses them.

    ``listed`` returns those that may get work, and ``data_centre_of`` tells
    where a result lies. ``is_over`` tells of a life of a server whether it has
    ended.
    """

    def __init__(
        self,
        service: str,
        limits: Callable[[], BatchLimits],
        listed: Callable[[], list[Backend]],
        reach: DataCentreReachability,
        data_centre_of: Callable[[str], str],
        has_ended: Callable[[ServerIncarnation], bool],
    ) -> None:
        self.service = service
        self._limits = limits
        self._listed = listed
        self._reach = reach
        self._data_centre_of = data_centre_of
        self._is_over = has_ended
        self._use_by_incarnation: dict[ServerIncarnation, ServerUse] = {}
        self._size_factor = 1.0

    def healthy(self) -> Sequence[Backend]:
        """Return the most trusted servers there are."""
        return self._reach.healthiest(self._listed())

    def use(self, server: Backend) -> ServerUse:
        """Return what the queue has at a server."""
        incarnation = server.entry.incarnation
        use = self._use_by_incarnation.get(incarnation)
        if use is None:
            self._forget_gone()
            use = self._use_by_incarnation[incarnation] = ServerUse(_now())
        return use

    def free(self, incarnation: ServerIncarnation, handles: list[str]) -> None:
        """Note that results were freed at a server."""
        use = self._use_by_incarnation.get(incarnation)
        if use is not None:
            for handle in handles:
                use.free(handle)

    def use_by_id(self, now: float) -> dict[BackendId, dict[str, float]]:
        """Return what the queue has at its sound servers, for a log line."""
        return {
            server.entry.id: self.use(server).summary(now) for server in self.healthy()
        }

    def call_s(self, items: int) -> float:
        """Return the expected seconds of a call with that many pieces."""
        limits = self._limits()
        return limits.call_s + limits.item_s * items

    def size(self, item: BatchItem) -> float:
        """Return the bytes that the result of a piece is expected to take."""
        return item.result_bytes * self._size_factor

    def room(self, server: Backend, now: float) -> float:
        """Return the bytes that a server has left for results."""
        return self._limits().memory_bytes - self.use(server).held_bytes(now)

    def slots(self) -> int:
        """Return how many calls the sound servers run at a time, at least 1."""
        return max(1, len(self.healthy()) * self._limits().slots)

    def expected_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a piece behind ``ahead`` others is taken."""
        servers = self.healthy()
        if not servers:
            return math.inf
        batch = self._limits().batch
        free_at = min(self.use(server).free_at for server in servers)
        rounds = ahead / (batch * self.slots())
        return max(0.0, free_at - now) + rounds * self.call_s(batch)

    def idle(self, waiting: int, now: float) -> list[Backend]:
        """Return the idle servers that are worth a call, the fastest first."""
        slots = self._limits().slots
        idle = [s for s in self.healthy() if self.use(s).calls < slots]
        useful = [server for server in idle if self._is_useful(server, waiting, now)]
        return sorted(useful, key=lambda server: self.use(server).slowness(now))

    def wait_at(self, data_centre: str, size: float, now: float) -> float:
        """Return the seconds until a sound server in a data centre is free.

        An idle one without room for results of ``size`` bytes counts as one that
        is not there; where there is none, the wait is infinite.
        """
        near = [s for s in self.healthy() if s.entry.data_centre == data_centre]
        return min(
            (self._wait_for(server, size, now) for server in near), default=math.inf
        )

    def _wait_for(self, server: Backend, size: float, now: float) -> float:
        use = self.use(server)
        if use.calls >= self._limits().slots:
            return max(0.0, use.free_at - now)
        return 0.0 if self.room(server, now) >= size else math.inf

    def inputs_lost(self, item: BatchItem) -> bool:
        """Return whether inputs of a piece are gone, or probably out of reach."""
        if any(self._is_over(producer) for producer in item.producers):
            return True
        return any(self._reach.is_suspected(place) for place in self._places(item))

    def record_call(
        self,
        server: Backend,
        batch: list[BatchItem],
        outcomes: list[ItemOutcome],
        took_s: float,
    ) -> None:
        """Take in how a call ended and how long it took, in seconds."""
        failures = {outcome.failure for outcome in outcomes}
        use = self.use(server)
        if ItemFailure.TIMED_OUT in failures:
            self._note_silent(server, batch)
        else:
            self._reach.record_answer(server.entry.data_centre)
        if ItemFailure.UNREACHABLE not in failures:
            use.record_call(took_s / self.call_s(len(batch)), _now())
        # A server that works fails single pieces now and then.
        if failures <= SERVER_FAILURES:
            if not self._hangs_on_inputs(server, batch, failures):
                server.suspect()
            self._log_call("A call failed.", server, batch, outcomes, took_s)
            return
        server.record_success(took_s)
        if ItemFailure.NO_ROOM in failures:
            self._note_full(use)
            self._log_call("No room for results.", server, batch, outcomes, took_s)
        else:
            self._size_factor = max(1.0, self._size_factor * SIZE_DECAY)

    def _is_useful(self, server: Backend, waiting: int, now: float) -> bool:
        """Return whether pieces end sooner here than by waiting for the others.

        A server that is five times as slow is worth a call only where so many
        pieces wait that the others would need as long.
        """
        others = [self.use(other) for other in self.healthy() if other is not server]
        if not others:
            return True
        batch = self._limits().batch
        call_s = self.call_s(batch)
        rounds = waiting / (batch * len(others))
        elsewhere = min(
            max(use.free_at, now) + call_s * use.slowness(now) for use in others
        )
        here = now + call_s * self.use(server).slowness(now)
        return here <= elsewhere + rounds * call_s

    def _note_full(self, use: ServerUse) -> None:
        """Take a server for full for a moment, and results for larger.

        A server that this node has not called for long may hold results of an
        owner of the queue before it, which go within their short life: that
        says nothing of their size.
        """
        now = _now()
        if now - use.known_since > self._limits().result_life_s:
            self._size_factor = min(MAX_SIZE_FACTOR, self._size_factor * SIZE_GROWTH)
        rest = self._limits().memory_bytes - use.held_bytes(now)
        use.hold(UNKNOWN_RESULTS, int(rest), now + UNKNOWN_RESULTS_S)

    def _note_silent(self, server: Backend, batch: list[BatchItem]) -> None:
        """Note which data centres a call that went silent puts in doubt.

        The server may be out of reach, or those that hold its inputs from it.
        """
        for item in batch:
            item.isolated = True
            for place in self._places(item) - {server.entry.data_centre}:
                self._reach.record_timeout(place, item.inputs[0])
        self._reach.record_timeout(server.entry.data_centre, server.entry.id)

    def _hangs_on_inputs(
        self, server: Backend, batch: list[BatchItem], failures: set[ItemFailure | None]
    ) -> bool:
        """Return whether a silent call may be the fault of inputs from elsewhere."""
        own = {server.entry.data_centre}
        foreign = any(self._places(item) - own for item in batch)
        return foreign and ItemFailure.TIMED_OUT in failures

    def _places(self, item: BatchItem) -> set[str]:
        """Return the data centres that hold the inputs of a piece."""
        return {self._data_centre_of(handle) for handle in item.inputs}

    def _forget_gone(self) -> None:
        """Drop what is known of servers that are no longer listed."""
        listed = {server.entry.incarnation for server in self._listed()}
        if len(self._use_by_incarnation) > MAX_KEPT_FACTOR * len(listed):
            for incarnation in self._use_by_incarnation.keys() - listed:
                del self._use_by_incarnation[incarnation]

    def _log_call(
        self,
        sentence: str,
        server: Backend,
        batch: list[BatchItem],
        outcomes: list[ItemOutcome],
        took_s: float,
    ) -> None:
        failures = Counter(o.failure.value for o in outcomes if o.failure)
        log(
            Part.PIECES,
            sentence,
            service=self.service,
            backend=server.entry.id,
            pieces=len(batch),
            took_s=round(took_s, 3),
            troubles=dict(failures),
            held_mb=round(self.use(server).held_bytes(_now()) / 1e6, 2),
            requests=sorted({item.request_id for item in batch}),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
