"""The request queues of the services: order, choice of server, and refusals.

Each service has one queue. A waiter gets a backend server as soon as this node's share
of one has a free slot; it is refused at once if its deadline can no longer be met.
"""

import asyncio
import bisect
from collections.abc import Callable

from eelgrass_coordination import MovingAverage
from eelgrass_coordination.ids import BackendId, SoftwareVersion

from ..exceptions import Refused
from ..request.model import CallerRequest
from ..request.reasons import Outcome, RefusalReason
from ..version import Stage, StageKind
from .backends import Backend, Backends
from .policy import Admission, ChoiceFunction, OrderFunction, OrderKey

__all__ = ["Dispatch", "ServiceQueue"]

MAX_WAITING = 2000
MIN_RETRY_AFTER_S = 0.1
NO_BACKEND_RETRY_S = 1.0


class _Waiter:
    """A stage that waits for a backend server, of one ``version`` if it is set."""

    def __init__(
        self,
        key: OrderKey,
        tried: frozenset[BackendId],
        latest: float,
        version: SoftwareVersion | None,
    ) -> None:
        self.key = key
        self.tried = tried
        self.latest = latest
        self.version = version
        self.granted: asyncio.Future[Backend] = (
            asyncio.get_running_loop().create_future()
        )


class ServiceQueue:
    """The stages that wait for a server of one service, in order."""

    def __init__(
        self,
        service: str,
        backends: Backends,
        choose: ChoiceFunction,
        order: OrderFunction,
        sheds: bool = False,
    ) -> None:
        self.service = service
        self._sheds = sheds
        self._backends = backends
        self._choose = choose
        self._order = order
        self._waiters: list[_Waiter] = []
        self._arrivals = 0
        self.service_time_s = MovingAverage(0.0)
        self.first_token_s = MovingAverage(0.0)
        self.token_interval_s = MovingAverage(0.0)

    @property
    def waiting(self) -> int:
        """The number of waiters."""
        return len(self._waiters)

    def slots(self) -> int:
        """Return how many concurrent calls this node may have at this service."""
        usable = self._backends.usable(self.service)
        return sum(int(backend.window) for backend in usable)

    def expected_wait(self, ahead: int | None = None) -> float:
        """Return the expected seconds until a slot is free behind ``ahead`` waiters."""
        ahead = self.waiting if ahead is None else ahead
        slots = self.slots()
        if not slots or self._has_room():
            return 0.0
        return (ahead + 1) * self.service_time_s.mean / slots

    def expected_wait_for(self, priority: int, deadline: float) -> float:
        """Return the expected wait of a new waiter, in seconds."""
        key = self._order(priority, deadline, self._arrivals)
        ahead = bisect.bisect(self._waiters, key, key=lambda waiter: waiter.key)
        return self.expected_wait(ahead)

    def expected_run(self, stage: Stage) -> float:
        """Return the expected duration of a stage on its server, in seconds."""
        if stage.kind is StageKind.GENERATE:
            return self.first_token_s.mean + self.token_interval_s.mean * int(
                stage.max_tokens
            )
        return self.service_time_s.mean

    async def acquire(
        self,
        request: CallerRequest,
        tried: frozenset[BackendId],
        latest: float,
        version: SoftwareVersion | None = None,
    ) -> Backend:
        """Wait for a server until ``latest``, a time of the event loop.

        Only servers of the software ``version`` are granted, if it is set. Raises
        :class:`TimeoutError` at that time, and :class:`Refused` if there is no server
        or the queue is full. The caller must :meth:`release` the server.
        """
        if not self._usable(version):
            raise self._no_server(version)
        if len(self._waiters) >= MAX_WAITING:
            raise Refused(
                RefusalReason.QUEUE_FULL,
                Outcome.NOT_RUN,
                f"{MAX_WAITING} stages already wait for service {self.service!r}.",
                self.retry_after(),
            )
        self._arrivals += 1
        priority = request.pipeline.priority
        key = self._order(priority, request.deadline, self._arrivals)
        waiter = _Waiter(key, tried, latest, version)
        bisect.insort(self._waiters, waiter, key=lambda other: other.key)
        self.grant()
        if self._sheds:
            self.shed()
        try:
            async with asyncio.timeout_at(latest):
                return await waiter.granted
        except BaseException:
            self._withdraw(waiter)
            raise

    def release(self, backend: Backend) -> None:
        """Release a server and grant its slot to the next waiter."""
        backend.in_flight -= 1
        self.grant()

    def on_refused_as_full(self, backend: Backend) -> None:
        """Back off from a server that refused a call as full, then serve waiters."""
        backoff_s = backend.back_off()
        asyncio.get_running_loop().call_later(backoff_s, self.grant)

    def grant(self) -> None:
        """Grant servers with free slots to the first waiters.

        Those that need a certain version do not hold up the others.
        """
        for waiter in list(self._waiters):
            if waiter.granted.done():
                # The waiter has just timed out, and its task has not run since.
                self._waiters.remove(waiter)
                continue
            backend = self._pick(waiter)
            if backend is None and waiter.version is None:
                return
            if backend is not None:
                self._waiters.remove(waiter)
                backend.in_flight += 1
                waiter.granted.set_result(backend)

    def servers_changed(self) -> None:
        """Refuse waiters whose version has no server left; grant new servers."""
        for waiter in list(self._waiters):
            if waiter.version is None or self._usable(waiter.version):
                continue
            self._waiters.remove(waiter)
            if not waiter.granted.done():
                waiter.granted.set_exception(self._no_server(waiter.version))
        self.grant()

    def shed(self) -> None:
        """Refuse waiters at the end of the queue that cannot be served in time.

        Later arrivals of a higher priority push them back. An immediate refusal is
        better for the caller than one at the deadline.
        """
        now = asyncio.get_running_loop().time()
        while self._waiters:
            waiter = self._waiters[-1]
            wait_s = self.expected_wait(len(self._waiters) - 1)
            if waiter.latest - now >= wait_s:
                return
            del self._waiters[-1]
            if not waiter.granted.done():
                waiter.granted.set_exception(TimeoutError())

    def retry_after(self) -> float:
        """Return after how many seconds a refused caller should retry."""
        return max(MIN_RETRY_AFTER_S, self.expected_wait())

    def _has_room(self) -> bool:
        if self._waiters:
            return False
        usable = self._backends.usable(self.service)
        return any(backend.has_room() for backend in usable)

    def _usable(self, version: SoftwareVersion | None) -> list[Backend]:
        usable = self._backends.usable(self.service)
        return [b for b in usable if version in (None, b.entry.version)]

    def _no_server(self, version: SoftwareVersion | None) -> Refused:
        detail = f"Service {self.service!r} has no usable server"
        if version is not None:
            detail += f" of software version {version!r}"
        return Refused(
            RefusalReason.NO_BACKEND, Outcome.NOT_RUN, f"{detail}.", NO_BACKEND_RETRY_S
        )

    def _pick(self, waiter: _Waiter) -> Backend | None:
        with_room = [b for b in self._candidates(waiter) if b.has_room()]
        return self._choose(with_room) if with_room else None

    def _candidates(self, waiter: _Waiter) -> list[Backend]:
        """Return the preferred servers, whether or not they have free slots.

        A server that has just failed always has free slots. Waiting for a healthy one
        is better than failing there again.
        """
        usable = self._usable(waiter.version)
        now = asyncio.get_running_loop().time()
        healthy = [b for b in usable if b.suspect_until <= now]
        untried = [b for b in healthy if b.entry.id not in waiter.tried]
        return untried or healthy or usable

    def _withdraw(self, waiter: _Waiter) -> None:
        granted = waiter.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            # A server was granted just as the wait timed out or was cancelled.
            self.release(granted.result())
            return
        granted.cancel()
        if waiter in self._waiters:
            self._waiters.remove(waiter)


class Dispatch:
    """The queues by service, and the feasibility of a deadline across them."""

    def __init__(
        self,
        backends: Backends,
        choose: Callable[[], ChoiceFunction],
        order: OrderFunction,
        admission: Admission,
    ) -> None:
        self._backends = backends
        self._choose = choose
        self._order = order
        self._admission = admission
        self.by_service: dict[str, ServiceQueue] = {}

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        found = self.by_service.get(service)
        if found is None:
            found = ServiceQueue(
                service,
                self._backends,
                self._choose(),
                self._order,
                sheds=self._admission is Admission.FEASIBLE,
            )
            self.by_service[service] = found
        return found

    def servers_changed(self, service: str) -> None:
        """Serve waiters after the servers of a service have changed."""
        if service in self.by_service:
            self.by_service[service].servers_changed()

    def expected_rest(self, stages: tuple[Stage, ...]) -> float:
        """Return the expected duration of stages without queueing, in seconds."""
        return sum(self.queue(stage.service).expected_run(stage) for stage in stages)

    def check_feasible(
        self, request: CallerRequest, stages: tuple[Stage, ...], outcome: Outcome
    ) -> None:
        """Refuse a request whose deadline cannot be met by ``stages``."""
        if self._admission is Admission.ALL or not stages:
            return
        priority = request.pipeline.priority
        waits = {
            stage.service: self.queue(stage.service).expected_wait_for(
                priority, request.deadline
            )
            for stage in stages
        }
        expected = sum(waits.values()) + self.expected_rest(stages)
        if expected > request.remaining() and any(waits.values()):
            queues = [self.queue(service) for service in waits]
            raise Refused(
                RefusalReason.DEADLINE_INFEASIBLE,
                outcome,
                "The remaining stages are expected to end after the deadline.",
                max(queue.retry_after() for queue in queues),
            )
