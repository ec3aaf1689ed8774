"""The platform's configuration: routes, services and client accounts.

A decoded configuration is immutable; a newer one replaces it completely. All
durations are in seconds.

Example::

    match = deployment.match("pule25.example", "/puxa400/2f")
    if match is not None:
        service = deployment.service_by_name[match.services[0].name]
"""

import math
import random
from enum import Enum
from typing import NewType

import msgspec

__all__ = [
    "AccountGrant",
    "CallerLimits",
    "Deployment",
    "ModelLimits",
    "BatchLimits",
    "BatchStage",
    "Route",
    "RouteKind",
    "Service",
    "ServiceName",
    "WeightedService",
]

ServiceName = NewType("ServiceName", str)


class RouteKind(Enum):
    """How a route's requests are answered, and whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests, given as a positive weight."""

    name: ServiceName
    weight: float = 1.0


class BatchStage(msgspec.Struct, frozen=True):
    """A stage that must have run before the final call of a request.

    ``after`` holds the numbers of the stages whose results it needs;
    ``result_bytes`` is the approximate size of one batch item's result.
    """

    service: ServiceName
    after: tuple[int, ...]
    result_bytes: int


class Route(msgspec.Struct, frozen=True):
    """How requests for one host and path prefix are served, and by which services.

    ``target_s`` is the latency target, and ``inter_token_target_s`` that for the time
    between tokens of a stream. ``priority`` 0 is the most urgent. If the route is
    ``resumable``, another backend server may continue a broken stream. Requests are
    restricted to ``regions``; without any they may run everywhere.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    inter_token_target_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    stages: tuple[BatchStage, ...]
    public: bool
    resumable: bool
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be retried."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_resumable_stream(self) -> bool:
        """Whether its answers are streams that may go on at another backend server."""
        return self.kind is RouteKind.STREAM and self.resumable

    @property
    def service_names(self) -> tuple[ServiceName, ...]:
        """The names of the services that serve the route's requests."""
        return tuple(service.name for service in self.services)

    def pick_service(self, randomness: random.Random) -> ServiceName:
        """Return a random service; their weights set the odds."""
        if len(self.services) == 1:
            return self.services[0].name
        weights = [service.weight for service in self.services]
        return randomness.choices(self.services, weights)[0].name

    def final_stages(self) -> tuple[int, ...]:
        """Return the numbers of the stages that no other stage depends on."""
        followed = {before for stage in self.stages for before in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)


class ModelLimits(msgspec.Struct, frozen=True):
    """The capacity of one model engine: concurrent requests, and tokens in memory.

    ``token_bytes`` is the memory that one token takes, and ``link_bytes_per_s`` the
    rate at which engines copy cached tokens from each other. If engines do not copy,
    both are 0.
    """

    slots: int
    memory_tokens: int
    token_bytes: float = 0.0
    link_bytes_per_s: float = 0.0

    def copy_s(self, tokens: int) -> float:
        """Return how many seconds it takes to copy tokens; infinity if not possible."""
        if not self.token_bytes or not self.link_bytes_per_s:
            return math.inf
        return tokens * self.token_bytes / self.link_bytes_per_s


class BatchLimits(msgspec.Struct, frozen=True):
    """The capacity of one backend server that runs stages.

    It runs ``slots`` calls at a time and queues up to ``queue`` more, each with up to
    ``batch`` items. A call takes ``call_s`` plus about ``item_s`` per item. The server
    keeps results for ``result_life_s``, in ``memory_bytes`` altogether.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    item_s: float
    memory_bytes: float
    result_life_s: float


class Service(msgspec.Struct, frozen=True):
    """A service and the limits of each of its backend servers.

    A server is cold for ``warm_up_s`` after its start and can handle
    ``warm_up_per_s`` new requests per second meanwhile; 0 means no limit.
    """

    name: ServiceName
    max_connections: int
    model: ModelLimits | None = None
    batch_limits: BatchLimits | None = None
    warm_up_s: float = 0.0
    warm_up_per_s: float = 0.0


class AccountGrant(msgspec.Struct, frozen=True):
    """The client account to which an API key belongs.

    Its requests are restricted to ``regions``, if there are any.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests and on idle connections.

    ``header_s`` limits the time in which the header of a connection's first request
    must arrive.
    """

    max_body_bytes: int
    idle_s: float
    max_header_bytes: int = 16 << 10
    header_s: float = 3.0


class Deployment(msgspec.Struct, frozen=True):
    """A complete configuration; each newer one has a larger ``number``."""

    number: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[ServiceName, Service]
    account_by_key: dict[str, AccountGrant]
    has_accounts: bool
    limits: CallerLimits

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of ``path``, if any."""
        routes = self.routes_by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)
