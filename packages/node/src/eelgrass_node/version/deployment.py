"""One configuration of the users' platform: routes, services, client accounts.

A configuration is never changed once it is decoded; a newer one replaces it
whole. All durations are in seconds.

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
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests, as a positive weight."""

    name: ServiceName
    weight: float = 1.0


class BatchStage(msgspec.Struct, frozen=True):
    """A stage that must have run before a request can.

    ``after`` holds the numbers of the stages whose results it needs;
    ``result_bytes`` is the approximate size of the result of one piece.
    """

    service: ServiceName
    after: tuple[int, ...]
    result_bytes: int


class Route(msgspec.Struct, frozen=True):
    """Where the requests for one host and path prefix go, and how.

    ``priority`` 0 is the most urgent. ``resumable`` says that a broken stream
    may go on at another backend server. ``regions`` are those to which its requests
    are bound; where there are none, they may run anywhere.
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
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def pick_service(self, randomness: random.Random) -> ServiceName:
        """Return one of the services, by weight."""
        if len(self.services) == 1:
            return self.services[0].name
        weights = [service.weight for service in self.services]
        return randomness.choices(self.services, weights)[0].name

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages that no other stage follows."""
        followed = {before for stage in self.stages for before in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)


class ModelLimits(msgspec.Struct, frozen=True):
    """What one model engine holds: concurrent requests and tokens of memory.

    ``token_bytes`` is what a token takes up of it, and ``link_bytes_per_s`` how
    fast engines copy it from each other; both are 0 where they do not.
    """

    slots: int
    memory_tokens: int
    token_bytes: float = 0.0
    link_bytes_per_s: float = 0.0

    def copy_s(self, tokens: int) -> float:
        """Return the seconds of copying tokens between engines, or infinity."""
        if not self.token_bytes or not self.link_bytes_per_s:
            return math.inf
        return tokens * self.token_bytes / self.link_bytes_per_s


class BatchLimits(msgspec.Struct, frozen=True):
    """What one backend server that runs stages takes.

    ``slots`` calls run at a time, ``queue`` more may wait, each with up to
    ``batch`` pieces. A call takes ``call_s`` and about ``piece_s`` a piece.
    Results take up ``memory_bytes`` in all and live for ``result_life_s``.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    item_s: float
    memory_bytes: float
    result_life_s: float


class Service(msgspec.Struct, frozen=True):
    """A service and the limits that hold for each of its backend servers.

    One is cold for ``warm_up_s`` after its start, and bears ``warm_up_per_s`` new
    requests a second meanwhile; 0 stands for no bound.
    """

    name: ServiceName
    max_connections: int
    model: ModelLimits | None = None
    batch_limits: BatchLimits | None = None
    warm_up_s: float = 0.0
    warm_up_per_s: float = 0.0


class AccountGrant(msgspec.Struct, frozen=True):
    """The client account that an API key stands for.

    ``regions`` are those to which its requests are bound, if to any.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long a connection may be idle.

    ``header_s`` bounds the time for the header of a first request.
    """

    max_body_bytes: int
    idle_s: float
    max_header_bytes: int = 16 << 10
    header_s: float = 3.0


class Deployment(msgspec.Struct, frozen=True):
    """A whole configuration; ``number`` grows with each newer one."""

    number: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[ServiceName, Service]
    account_by_key: dict[str, AccountGrant]
    has_accounts: bool
    limits: CallerLimits

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if there is one."""
        routes = self.routes_by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)
