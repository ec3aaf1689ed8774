"""Servers, queues and requests with stages, as tests of load need them."""

import asyncio

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.process.backends import Backend, HostEntry
from eelgrass_node.process.piece_queue import PieceQueue
from eelgrass_node.process.pieces import Piece, PieceOutcome
from eelgrass_node.process.reach import DataCentreReach
from eelgrass_node.request.arrival import Arrival, PromptShape, Routed
from eelgrass_node.version.deployment import (
    CallerLimits,
    Deployment,
    PieceLimits,
    PieceStage,
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
    "pieces",
    "routed",
    "server",
]

PORTAL, CLERKS, ARCHIVE = (ServiceName(n) for n in ("portal", "clerks", "archive"))
LARGE = 3_000_000
# A tenth of the times on the sheets, so that tests are quick.
LIMITS = PieceLimits(
    slots=1,
    queue=2,
    batch=4,
    call_s=0.015,
    piece_s=0.0032,
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
    """Servers that run pieces; ``behave`` may give outcomes of its own."""

    def __init__(self, *servers, behave=None, may_repeat=True, limits=LIMITS):
        self._limits = limits
        self.servers = list(servers)
        self.calls = []
        self.freed = []
        self.ended = set()
        self._behave = behave
        self.reach = DataCentreReach(DataCentre("a"), now)
        self.queue = PieceQueue(
            "portal",
            lambda: limits,
            lambda: self.servers,
            self.reach,
            lambda handle: handle.partition("@")[2],
            self.ended.__contains__,
            self._run,
            lambda piece: may_repeat,
            lambda service, waited_s: None,
            self.freed.extend,
        )

    async def _run(self, backend, pieces, within_s):
        self.calls.append((backend.entry.id, pieces))
        if self._behave is not None:
            outcomes = await self._behave(backend, pieces)
            if outcomes is not None:
                return outcomes
        limits = self._limits
        await asyncio.sleep(limits.call_s + limits.piece_s * len(pieces))
        return [PieceOutcome(handle=f"{p.request_id}/{p.number}@a") for p in pieces]


def pieces(request, count=1, in_s=1.0, size=8_000, priority=0, **fields):
    return [
        Piece(
            request_id=request,
            stage=0,
            number=number,
            key="key",
            inputs=fields.get("inputs", ()),
            deadline=now() + fields.get("deadline_s", 4.0),
            due=now() + in_s,
            priority=priority,
            result_bytes=size,
            near=fields.get("near", ""),
            account=fields.get("account"),
        )
        for number in range(count)
    ]


CHAIN = (
    PieceStage(ServiceName("portal"), (), LARGE),
    PieceStage(ServiceName("portal"), (), 8_000),
    PieceStage(ServiceName("clerks"), (1,), 60_000),
    PieceStage(ServiceName("archive"), (2,), 6_000),
)


def routed(
    stages=CHAIN,
    counts=(2, 1, 8, 16),
    target_s=3.3,
    deadline_s=15.0,
    gap_target_s=0.8,
    kind=RouteKind.STREAM,
):
    route = Route(
        name="r",
        host="h",
        prefix="/r/",
        kind=kind,
        timeout_s=deadline_s,
        target_s=target_s,
        gap_target_s=gap_target_s,
        priority=1,
        services=(WeightedService(ServiceName("readers")),),
        max_attempts=2,
        stages=stages,
        public=False,
        resumable=True,
    )
    arrival = Arrival(
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
        piece_counts=counts,
        piece_key="key",
        prompt=PromptShape(),
    )
    return Routed(arrival, route, ServiceName("readers"), None, deadline_s, target_s)


def _limits(batch, piece_s, memory=21e6):
    return PieceLimits(1, 2, batch, 0.15, piece_s, memory, 4.0)


def deployment():
    by_name = {
        PORTAL: DeployedService(PORTAL, 100, pieces=_limits(4, 0.032)),
        CLERKS: DeployedService(CLERKS, 100, pieces=_limits(15, 0.0085)),
        ARCHIVE: DeployedService(ARCHIVE, 100, pieces=_limits(30, 0.0043)),
    }
    return Deployment(1, {}, by_name, {}, False, CallerLimits(1 << 20, 15.0))
