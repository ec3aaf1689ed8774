"""The batch queues that this node holds, one for each service that runs stages."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ..version.deployment import BatchLimits, Deployment, ServiceName
from .backends import Backend, Backends, ServerIncarnation
from .batch_items import BatchItem, ItemFailure, ItemOutcome
from .batch_queue import BatchQueue, RunCall
from .brittle_servers import BrittleServers
from .poison_requests import PoisonRequests
from .queue_load import QueueLoad
from .reachability import DataCentreReachability
from .retry_budget import RetryBudgets

__all__ = ["LocalQueues"]

# Used if the configuration gives no limits for a service that a stage names.
UNKNOWN_LIMITS = BatchLimits(
    slots=1,
    queue=0,
    batch=1,
    call_s=0.2,
    item_s=0.0,
    memory_bytes=float("inf"),
    result_life_s=1.0,
)

# Calls that free results use up permits of a limited server. They are made together,
# so that most of the permits are left for work.
FREE_INTERVAL_S = 1.0
PERMITS_PER_FREE = 4
# Calls that free results of a limited server are repeated after this time at least.
FREE_RETRY_S = 0.1

FreeCall = Callable[[Backend, list[str]], Awaitable[bool]]


class LocalQueues:
    """Runs batch items through queues in this process, and frees their results.

    ``producer_of`` returns the address of the server that holds a result, and
    ``record_wait`` records how many seconds the items of a service waited. ``poison``
    keeps poison requests from being sent to servers. Servers for which
    ``is_rate_limited`` is true are cold; they get no items until they are warm, and
    brittle ones of ``brittle_servers`` get none while they are full.
    """

    def __init__(
        self,
        backends: Backends,
        deployment: Callable[[], Deployment | None],
        retries: RetryBudgets,
        reachability: DataCentreReachability,
        run_call: RunCall,
        free_call: FreeCall,
        producer_of: Callable[[str], str],
        record_wait: Callable[[str, float], None],
        poison: PoisonRequests,
        is_rate_limited: Callable[[Backend], bool],
        brittle_servers: BrittleServers,
    ) -> None:
        self._backends = backends
        self._deployment = deployment
        self._retries = retries
        self._reachability = reachability
        self._run_call = run_call
        self._free_call = free_call
        self._producer_of = producer_of
        self._record_wait = record_wait
        self._poison = poison
        self._is_rate_limited = is_rate_limited
        self._brittle_servers = brittle_servers
        self._tasks: set[asyncio.Task] = set()
        self._unfreed: dict[ServerIncarnation, list[str]] = {}
        self.by_service: dict[ServiceName, BatchQueue] = {}

    async def run(
        self, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        """Run items of one stage and return their outcomes, in order."""
        self._retries.record_requests(service, len(items))
        refusal = self._rest_refusal(service, items[0].regions)
        if refusal is None and not self._usable(service, items[0].regions):
            refusal = ItemOutcome(failure=ItemFailure.UNREACHABLE)
        if refusal is not None:
            return [refusal] * len(items)
        return await self.queue(service).run(items)

    def has_servers(self, service: ServiceName) -> bool:
        """Return whether this node knows a server of a service.

        A node that has just started is a member before it has read the server list.
        """
        return bool(self._backends.by_service.get(service))

    def load(self, service: ServiceName) -> QueueLoad:
        """Return the load of a service's queue, as reported to other nodes."""
        load = self.queue(service).load()
        refusal = self._rest_refusal(service, None)
        if refusal is None:
            return load
        return msgspec.structs.replace(load, rest_s=refusal.retry_after_s)

    def free(self, service: ServiceName, handles: list[str]) -> None:
        """Free results at the servers that hold them, without waiting."""
        by_address: dict[str, list[str]] = {}
        for handle in handles:
            by_address.setdefault(self._producer_of(handle), []).append(handle)
        for address, held in by_address.items():
            backend = self._backends.at_address(address)
            if backend is None:
                continue
            # Nothing is sent to an evacuated data centre; its results expire.
            if not self._backends.is_evacuated(backend.entry.data_centre):
                self._free_when_wanted(service, backend, held)

    def result_life_s(self, service: ServiceName) -> float:
        """Return the seconds after which a result that is not freed expires."""
        return self._limits(service).result_life_s

    def data_centre_of(self, handle: str) -> str:
        """Return the data centre of the server that holds a result, if known."""
        backend = self._backends.at_address(self._producer_of(handle))
        return "" if backend is None else backend.entry.data_centre

    def queue(self, service: ServiceName) -> BatchQueue:
        """Return the queue of a service."""
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = BatchQueue(
                service,
                lambda: self._limits(service),
                lambda: self._usable(service),
                self._reachability,
                self.data_centre_of,
                self._backends.has_ended,
                self._call,
                lambda item: self._may_retry(service, item),
                self._record_wait,
                lambda handles: self.free(service, handles),
                lambda regions: self._rest_refusal(service, regions),
            )
        return found

    def servers_changed(self, service: str) -> None:
        """Start calls that a change of the service's servers has made possible."""
        queue = self.by_service.get(ServiceName(service))
        if queue is not None:
            queue.start_calls()

    def _usable(
        self, service: ServiceName, regions: frozenset[str] | None = None
    ) -> list[Backend]:
        """Return the servers of a service in some regions that may get items."""
        return [
            server
            for server in self._backends.accepting(service)
            if server.is_in(regions)
            and not self._is_rate_limited(server)
            and self._brittle_servers.accepts(server)
        ]

    def _rest_refusal(
        self, service: ServiceName, regions: frozenset[str] | None
    ) -> ItemOutcome | None:
        """Return a refusal if all servers that may get items have asked for rest."""
        resting = [
            server
            for server in self._backends.resting(service)
            if server.is_in(regions) and not server.is_unreachable
        ]
        usable = self._usable(service, regions) if resting else []
        if not resting or any(not server.is_unreachable for server in usable):
            return None
        left_s = self._backends.rests.least_left_s(server.entry for server in resting)
        return ItemOutcome(
            failure=ItemFailure.OVERLOADED, retry_after_s=left_s, is_resting=True
        )

    def _free_when_wanted(
        self, service: ServiceName, backend: Backend, handles: list[str]
    ) -> None:
        """Free results once their server wants calls, unless they expire before.

        Those of a limited server are freed together.
        """
        server = backend.entry.incarnation
        if not self._backends.limits.is_limited(server):
            self._free_after_wait(service, backend, handles, self._expiry(service))
        elif server in self._unfreed:
            self._unfreed[server] += handles
        else:
            self._unfreed[server] = list(handles)
            permits_s = PERMITS_PER_FREE / backend.permits_per_s()
            delay_s = min(
                max(FREE_INTERVAL_S, permits_s), self.result_life_s(service) / 2
            )
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._free_together, service, backend)

    def _free_together(self, service: ServiceName, backend: Backend) -> None:
        handles = self._unfreed.pop(backend.entry.incarnation)
        self._free_after_wait(service, backend, handles, self._expiry(service))

    def _free_after_wait(
        self,
        service: ServiceName,
        backend: Backend,
        handles: list[str],
        expiry: float,
        least_wait_s: float = 0.0,
    ) -> None:
        """Free results as soon as their server wants calls, before ``expiry``."""
        wait_s = max(least_wait_s, self._backends.wait_s(backend))
        if self._backends.by_id.get(backend.entry.id) is not backend:
            return
        loop = asyncio.get_running_loop()
        if not wait_s:
            task = asyncio.create_task(self._free(service, backend, handles, expiry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif loop.time() + wait_s < expiry:
            loop.call_later(
                wait_s, self._free_after_wait, service, backend, handles, expiry
            )

    def _expiry(self, service: ServiceName) -> float:
        return asyncio.get_running_loop().time() + self.result_life_s(service)

    async def _call(
        self, backend: Backend, items: list[BatchItem], timeout_s: float
    ) -> list[ItemOutcome]:
        """Run items in one call; report their requests if the server was lost."""
        outcomes = await self._run_call(backend, items, timeout_s)
        failures = {outcome.failure for outcome in outcomes}
        if not failures <= {ItemFailure.LOST, ItemFailure.TIMED_OUT}:
            return outcomes
        requests = {item.fingerprint for item in items if item.fingerprint}
        await self._poison.on_connection_lost(backend, requests)
        for item in items:
            # After servers crashed under a request, its items run in calls of their
            # own, so that items of other requests are not lost with them.
            crashed = self._poison.quarantine.crashed_servers(item.fingerprint)
            item.isolated |= len(crashed) > 1
        if ItemFailure.LOST not in failures:
            return outcomes
        return [ItemOutcome(failure=ItemFailure.UNREACHABLE)] * len(items)

    def _may_retry(self, service: ServiceName, item: BatchItem) -> bool:
        if self._poison.quarantine.is_quarantined(item.fingerprint):
            return False
        return self._retries.try_spend(service, item.request_id)

    async def _free(
        self, service: ServiceName, backend: Backend, handles: list[str], expiry: float
    ) -> None:
        server = backend.entry.incarnation
        if await self._free_call(backend, handles):
            self.queue(service).free(server, handles)
        elif self._backends.limits.is_limited(server):
            # Other calls have used the permit.
            self._free_after_wait(service, backend, handles, expiry, FREE_RETRY_S)

    def _limits(self, service: ServiceName) -> BatchLimits:
        deployment = self._deployment()
        configured = deployment and deployment.service_by_name.get(service)
        return (configured and configured.batch_limits) or UNKNOWN_LIMITS
