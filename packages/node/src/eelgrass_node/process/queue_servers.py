"""Tracks the servers of a batch queue: which are idle, how fast and how full they are.

It copes with a server that becomes four to eight times as slow (one of three did),
with servers that become unreachable, and with servers that hold results of which this
node does not know.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from eelgrass_coordination.ids import BackendId

from ..log import Part, log
from ..version.deployment import BatchLimits
from .backends import Backend, ServerIncarnation
from .batch_items import (
    NOT_CONNECTED_FAILURES,
    BatchItem,
    ItemFailure,
    ItemOutcome,
)
from .reachability import DataCentreReachability
from .server_use import ServerUse

__all__ = ["SERVER_FAILURES", "QueueServers"]

# The configured sizes of results are approximate. If a server has less memory left than
# they add up to, the node assumes that results are larger, by up to about a third. The
# decay undoes that over some twenty calls, a few seconds.
SIZE_GROWTH = 1.05
SIZE_DECAY = 0.985
MAX_SIZE_FACTOR = 1.35
# A server that refused for lack of memory counts as full for this long, about a call.
UNKNOWN_RESULTS_S = 0.25
UNKNOWN_RESULTS = "unknown"
LOST_RESULT = "lost"
# The longest wait if all servers name request limits: unlike a burst, a limit may last.
MAX_LIMITED_WAIT_S = 0.5
# If there are records of more than this many times the listed servers, the records of
# servers that are no longer listed are dropped.
MAX_REMEMBERED_FACTOR = 4

SERVER_FAILURES = NOT_CONNECTED_FAILURES | {
    ItemFailure.UNREACHABLE,
    ItemFailure.TIMED_OUT,
    ItemFailure.FAILED,
}


class QueueServers:
    """The servers of ``service`` as one queue uses them.

    ``listed`` returns the servers that may get work, ``data_centre_of`` the data centre
    that holds a result, and ``has_ended`` whether a server incarnation has ended.
    """

    def __init__(
        self,
        service: str,
        limits: Callable[[], BatchLimits],
        listed: Callable[[], list[Backend]],
        reachability: DataCentreReachability,
        data_centre_of: Callable[[str], str],
        has_ended: Callable[[ServerIncarnation], bool],
    ) -> None:
        self.service = service
        self._limits = limits
        self._listed = listed
        self._reachability = reachability
        self._data_centre_of = data_centre_of
        self._has_ended = has_ended
        self._use_by_incarnation: dict[ServerIncarnation, ServerUse] = {}
        self._size_factor = 1.0

    def healthy(self) -> Sequence[Backend]:
        """Return the healthy servers, or the best there are if none is healthy."""
        return self._reachability.healthiest(self._listed())

    def use(self, server: Backend) -> ServerUse:
        """Return how the queue uses a server."""
        incarnation = server.entry.incarnation
        use = self._use_by_incarnation.get(incarnation)
        if use is None:
            self._drop_unlisted()
            use = self._use_by_incarnation[incarnation] = ServerUse(_now())
        return use

    def free(self, incarnation: ServerIncarnation, handles: list[str]) -> None:
        """Record that results were freed at a server."""
        use = self._use_by_incarnation.get(incarnation)
        if use is not None:
            for handle in handles:
                use.free(handle)

    def use_by_id(self, now: float) -> dict[BackendId, dict[str, float]]:
        """Return how the queue uses its healthy servers, for a log line."""
        return {
            server.entry.id: self.use(server).summary(now) for server in self.healthy()
        }

    def call_s(self, items: int) -> float:
        """Return the expected duration of a call with that many items."""
        limits = self._limits()
        return limits.call_s + limits.item_s * items

    def size(self, item: BatchItem) -> float:
        """Return the expected size of an item's result, in bytes."""
        return item.result_bytes * self._size_factor

    def free_bytes(self, server: Backend, now: float) -> float:
        """Return the memory that a server has left for results, in bytes."""
        return self._limits().memory_bytes - self.use(server).held_bytes(now)

    def slots(self) -> int:
        """Return how many calls the healthy servers run at a time, at least 1."""
        return max(1, len(self.healthy()) * self._limits().slots)

    def may_wait(self, wait_s: float) -> bool:
        """Return whether items may wait that long for the servers."""
        if wait_s <= MAX_LIMITED_WAIT_S:
            return True
        return any(math.isinf(s.permits_per_s()) for s in self.healthy())

    def item_s(self) -> float:
        """Return the time for an item in full calls at all healthy servers."""
        limits = self._limits()
        call_s = self.call_s(limits.batch)
        calls_per_s = sum(
            min(limits.slots / call_s, server.permits_per_s())
            for server in self.healthy()
        )
        return 1 / (limits.batch * (calls_per_s or limits.slots / call_s))

    def expected_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until an item behind ``ahead`` others starts to run."""
        servers = self.healthy()
        if not servers:
            return math.inf
        first_s = min(self._free_in_s(server, now) for server in servers)
        return first_s + ahead * self.item_s()

    def idle(self, now: float) -> list[Backend]:
        """Return the idle servers, fastest first."""
        slots = self._limits().slots
        idle = [
            server
            for server in self.healthy()
            if self.use(server).calls < slots and not server.permit_wait_s()
        ]
        return sorted(idle, key=lambda server: self.use(server).slowness(now))

    def wait_at(self, data_centre: str, size: float, now: float) -> float:
        """Return the seconds until a healthy server in a data centre is free.

        Idle servers without memory for results of ``size`` bytes are ignored. Without
        any server the wait is infinite.
        """
        local = [s for s in self.healthy() if s.entry.data_centre == data_centre]
        return min(
            (self._wait_for(server, size, now) for server in local), default=math.inf
        )

    def _wait_for(self, server: Backend, size: float, now: float) -> float:
        use = self.use(server)
        if use.calls >= self._limits().slots or server.permit_wait_s():
            return self._free_in_s(server, now)
        return 0.0 if self.free_bytes(server, now) >= size else math.inf

    def _free_in_s(self, server: Backend, now: float) -> float:
        """Return the seconds until a server is free and may get a call."""
        return max(0.0, self.use(server).free_at - now, server.permit_wait_s())

    def inputs_unavailable(self, item: BatchItem) -> bool:
        """Return whether inputs of an item are lost, or probably unreachable."""
        if any(self._has_ended(producer) for producer in item.producers):
            return True
        return any(
            self._reachability.is_suspected(data_centre)
            for data_centre in self._input_data_centres(item)
        )

    def record_call(
        self,
        server: Backend,
        batch: list[BatchItem],
        outcomes: list[ItemOutcome],
        took_s: float,
    ) -> None:
        """Record how a call ended and how long it took, in seconds."""
        failures = {outcome.failure for outcome in outcomes}
        if ItemFailure.RESTING in failures:
            return
        use = self.use(server)
        if ItemFailure.TIMED_OUT in failures:
            self._on_timeout(server, batch)
        elif ItemFailure.CONNECT_TIMED_OUT in failures:
            self._record_timeout(server)
        else:
            self._reachability.record_answer(server.entry.data_centre)
        if not failures & (NOT_CONNECTED_FAILURES | {ItemFailure.UNREACHABLE}):
            use.record_call(took_s / self.call_s(len(batch)), _now())
        connection_lost = failures == {ItemFailure.UNREACHABLE}
        if connection_lost and took_s >= self.call_s(1):
            self._hold_lost_results(use, batch)
        # A healthy server fails single items now and then, so it is only suspected if
        # the whole call failed.
        if failures <= SERVER_FAILURES:
            blocked = self._may_block_on_inputs(server, batch, failures)
            if not blocked and not _is_path_failure(server, failures):
                server.suspect()
            self._log_call("Batch call failed.", server, batch, outcomes, took_s)
            return
        server.record_success(took_s)
        if ItemFailure.NO_ROOM in failures:
            self._on_full(use)
            self._log_call(
                "Server has no memory for results.", server, batch, outcomes, took_s
            )
        else:
            self._size_factor = max(1.0, self._size_factor * SIZE_DECAY)

    def _hold_lost_results(self, use: ServerUse, batch: list[BatchItem]) -> None:
        """Count the memory of results whose handles were lost with the answer.

        Nobody can free them, so that they stay until they expire. Calls that find no
        memory would use up the retry budget meanwhile.
        """
        until = _now() + self._limits().result_life_s
        for item in batch:
            handle = f"{LOST_RESULT}/{item.request_id}/{item.stage}/{item.number}"
            use.hold(handle, int(self.size(item)), until)

    def useful_for(
        self,
        server: Backend,
        bounds: Iterable[frozenset[str] | None],
        waiting: int,
        now: float,
    ) -> set[frozenset[str] | None]:
        """Return those regions for whose items a server is useful."""
        return {
            regions
            for regions in bounds
            if server.is_in(regions) and self._is_useful(server, regions, waiting, now)
        }

    def _is_useful(
        self, server: Backend, regions: frozenset[str] | None, waiting: int, now: float
    ) -> bool:
        """Return whether items finish sooner here than if they wait for the others.

        A server that is five times as slow is only called if so many items wait that
        the other servers would need as long for them. Only servers in ``regions``, to
        which the items are bound, can run them instead, and those that name a request
        limit only as often as there are permits.
        """
        others = [
            other
            for other in self.healthy()
            if other is not server and other.is_in(regions)
        ]
        if not others:
            return True
        call_s = self.call_s(self._limits().batch)
        calls_per_s = sum(min(1 / call_s, other.permits_per_s()) for other in others)
        if not calls_per_s:
            return True
        elsewhere_s = min(
            self._free_in_s(other, now) + call_s * self.use(other).slowness(now)
            for other in others
        )
        rounds_s = waiting / (self._limits().batch * calls_per_s)
        return call_s * self.use(server).slowness(now) <= elsewhere_s + rounds_s

    def _on_full(self, use: ServerUse) -> None:
        """Treat a server as full for a moment, and assume larger results.

        The assumed size stays the same if this node has used the server for less than
        the lifetime of results: the server may then hold results of a previous queue
        owner, which says nothing about the size of results.
        """
        now = _now()
        if math.isinf(self._limits().memory_bytes):
            # No limit is configured, so that nothing is known of its memory.
            return
        if now - use.used_since > self._limits().result_life_s:
            self._size_factor = min(MAX_SIZE_FACTOR, self._size_factor * SIZE_GROWTH)
        remaining = self._limits().memory_bytes - use.held_bytes(now)
        use.hold(UNKNOWN_RESULTS, int(remaining), now + UNKNOWN_RESULTS_S)

    def _on_timeout(self, server: Backend, batch: list[BatchItem]) -> None:
        """Report the data centres that may be unreachable after a call timed out.

        The server may be unreachable from this node, or the servers that hold the
        inputs may be unreachable from it.
        """
        for item in batch:
            item.isolated = True
            for data_centre in self._input_data_centres(item) - {
                server.entry.data_centre
            }:
                self._reachability.record_timeout(data_centre, item.inputs[0])
        self._record_timeout(server)

    def _record_timeout(self, server: Backend) -> None:
        if not server.is_relayed:
            self._reachability.record_timeout(server.entry.data_centre, server.entry.id)

    def _may_block_on_inputs(
        self, server: Backend, batch: list[BatchItem], failures: set[ItemFailure | None]
    ) -> bool:
        """Return whether a call may have timed out on inputs of other data centres."""
        own = {server.entry.data_centre}
        remote = any(self._input_data_centres(item) - own for item in batch)
        return remote and ItemFailure.TIMED_OUT in failures

    def _input_data_centres(self, item: BatchItem) -> set[str]:
        """Return the data centres that hold the inputs of an item."""
        return {self._data_centre_of(handle) for handle in item.inputs}

    def _drop_unlisted(self) -> None:
        """Drop the entries of servers that are no longer listed."""
        listed = {server.entry.incarnation for server in self._listed()}
        if len(self._use_by_incarnation) > MAX_REMEMBERED_FACTOR * len(listed):
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


def _is_path_failure(server: Backend, failures: set[ItemFailure | None]) -> bool:
    """Return whether this node's path to a server explains that a call failed."""
    return server.is_relayed and ItemFailure.FAILED not in failures


def _now() -> float:
    return asyncio.get_running_loop().time()
