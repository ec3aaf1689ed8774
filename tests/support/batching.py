"""Servers, batch queues and requests with stages for tests of load."""

import asyncio

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.process.backends import Backend, HostEntry
from eelgrass_node.process.batch_items import BatchItem, ItemOutcome
from eelgrass_node.process.batch_queue import BatchQueue
from eelgrass_node.process.reachability import DataCentreReachability
from eelgrass_node.request.incoming_request import (
    IncomingRequest,
    PromptShape,
    RoutedRequest,
)
from eelgrass_node.version.deployment import (
    BatchLimits,
    BatchStage,
    CallerLimits,
    Deployment,
    Route,
    RouteKind,
    Service as DeployedService,
    ServiceName,
    WeightedService,
)

__all__ = [
    "ARCHIVE",
    "CHAIN",
    "CLERKS",
    "LARGE",
    "LIMITS",
    "PORTAL",
    "Service",
    "deployment",
    "now",
    "items",
    "routed",
    "server",
]

PORTAL, CLERKS, ARCHIVE = (ServiceName(n) for n in ("portal", "clerks", "archive"))
LARGE = 3_000_000
# A tenth of realistic call times, so that tests are fast.
LIMITS = BatchLimits(
    slots=1,
    queue=2,
    batch=4,
    call_s=0.015,
    item_s=0.0032,
    memory_bytes=21_000_000.0,
    result_life_s=0.4,
)


def now():
    return asyncio.get_running_loop().time()


def server(name, data_centre="a"):
    return Backend(
        HostEntry(BackendId(name), "portal", f"{name}:1", DataCentre(data_centre))
    )


class Service:
    """Servers that run items; ``behave`` may return outcomes of its own."""

    def __init__(self, *servers, behave=None, may_retry=True, limits=LIMITS):
        self._limits = limits
        self.servers = list(servers)
        self.calls = []
        self.timed_calls = []
        self.freed = []
        self.ended = set()
        self._behave = behave
        self.reachability = DataCentreReachability(DataCentre("a"), now)
        self.queue = BatchQueue(
            "portal",
            lambda: limits,
            lambda: self.servers,
            self.reachability,
            lambda handle: handle.partition("@")[2],
            self.ended.__contains__,
            self._run,
            lambda item: may_retry,
            lambda service, waited_s: None,
            self.freed.extend,
        )

    async def _run(self, backend, items, timeout_s):
        self.calls.append((backend.entry.id, items))
        self.timed_calls.append((now(), self.calls[-1]))
        if self._behave is not None:
            outcomes = await self._behave(backend, items)
            if outcomes is not None:
                return outcomes
        limits = self._limits
        await asyncio.sleep(limits.call_s + limits.item_s * len(items))
        return [ItemOutcome(handle=f"{p.request_id}/{p.number}@a") for p in items]


def items(request, count=1, in_s=1.0, size=8_000, priority=0, **fields):
    return [
        BatchItem(
            request_id=request,
            stage=0,
            number=number,
            key="key",
            inputs=fields.get("inputs", ()),
            deadline=now() + fields.get("deadline_s", 4.0),
            due=now() + in_s,
            priority=priority,
            result_bytes=size,
            preferred_data_centre=fields.get("preferred_data_centre", ""),
            account=fields.get("account"),
        )
        for number in range(count)
    ]


CHAIN = (
    BatchStage(ServiceName("portal"), (), LARGE),
    BatchStage(ServiceName("portal"), (), 8_000),
    BatchStage(ServiceName("clerks"), (1,), 60_000),
    BatchStage(ServiceName("archive"), (2,), 6_000),
)


def routed(
    stages=CHAIN,
    counts=(2, 1, 8, 16),
    target_s=3.3,
    deadline_s=15.0,
    inter_token_target_s=0.8,
    kind=RouteKind.STREAM,
):
    route = Route(
        name="r",
        host="h",
        prefix="/r/",
        kind=kind,
        timeout_s=deadline_s,
        target_s=target_s,
        inter_token_target_s=inter_token_target_s,
        priority=1,
        services=(WeightedService(ServiceName("readers")),),
        max_attempts=2,
        stages=stages,
        public=False,
        resumable=True,
    )
    incoming = IncomingRequest(
        request_id="id",
        method="POST",
        target="/r/x",
        host="h",
        headers=(),
        body=b"",
        arrived_at=0.0,
        caller_deadline_s=deadline_s,
        api_key=None,
        last_event_id=None,
        resumes=None,
        item_counts=counts,
        item_key="key",
        prompt=PromptShape(),
    )
    return RoutedRequest(
        incoming, route, ServiceName("readers"), None, deadline_s, target_s
    )


def _limits(batch, item_s, memory=21e6):
    return BatchLimits(1, 2, batch, 0.15, item_s, memory, 4.0)


def deployment():
    by_name = {
        PORTAL: DeployedService(PORTAL, 100, batch_limits=_limits(4, 0.032)),
        CLERKS: DeployedService(CLERKS, 100, batch_limits=_limits(15, 0.0085)),
        ARCHIVE: DeployedService(ARCHIVE, 100, batch_limits=_limits(30, 0.0043)),
    }
    return Deployment(1, {}, by_name, {}, False, CallerLimits(1 << 20, 15.0))
