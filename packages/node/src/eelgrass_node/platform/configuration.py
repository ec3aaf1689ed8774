"""Decodes the operator's configuration row into a :class:`Deployment`."""

import msgspec

from eelgrass_coordination import JsonDecoder

from ..exceptions import ConfigurationMalformed
from ..version.deployment import (
    AccountGrant,
    BatchLimits,
    BatchStage,
    CallerLimits,
    Deployment,
    ModelLimits,
    Route,
    RouteKind,
    Service,
    ServiceName,
    WeightedService,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_TABLE",
    "decode_deployment",
]

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# The rest of a key with this prefix names a data centre to evacuate.
EVACUATION_PREFIX = "evacuate/"

_KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_DEFAULT_TIMEOUT_MS = 30_000.0
_DEFAULT_HEADER_BYTES = 16 << 10
_DEFAULT_BODY_BYTES = 4 << 20
_DEFAULT_HEADER_MS = 3000.0
_DEFAULT_IDLE_MS = 15_000.0


class _WireStruct(msgspec.Struct, frozen=True, rename="pascal"):
    """Base of the wire structs; unknown fields are ignored."""


class _WeightedBackend(_WireStruct):
    service: str
    weight: float = 1.0


class _Stage(_WireStruct):
    service: str
    after: tuple[int, ...] = ()
    bytes: float = 0.0


class _Route(_WireStruct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    target_latency_ms: float | None = None
    target_itl_ms: float | None = None
    priority: int = 0
    service: str | None = None
    # Despite their wire name these are services, among which the requests are split.
    backends: tuple[_WeightedBackend, ...] | None = None
    max_attempts: int = 1
    stages: tuple[_Stage, ...] | None = None
    public: bool = False
    stream_resume: bool = False
    allowed_regions: tuple[str, ...] | None = None


class _Engine(_WireStruct):
    slots: int = 1
    kv_capacity: int = 0
    # Engine memory per cached token, and the bandwidth of the engine's link.
    kv_token_bytes: float = 0.0
    bandwidth_mbps: float = 0.0


class _Segments(_WireStruct):
    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_ms: float = 0.0
    item_ms: float = 0.0
    headroom_mb: float = 0.0
    handle_s: float = 1.0


class _Service(_WireStruct):
    name: str
    max_connections: int = 100
    warmup_s: float = 0.0
    # New requests per second that a cold server can handle.
    warmup_per_s: float = 0.0
    engine: _Engine | None = None
    # The wire calls the batch items of a stage segments.
    segments: _Segments | None = None


class _Limits(_WireStruct):
    max_header_bytes: int = _DEFAULT_HEADER_BYTES
    max_body_bytes: int = _DEFAULT_BODY_BYTES
    header_timeout_ms: float = _DEFAULT_HEADER_MS
    idle_timeout_ms: float = _DEFAULT_IDLE_MS


class _Tenant(_WireStruct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] | None = None


class _Configuration(_WireStruct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


_decoder = JsonDecoder(_Configuration)


def decode_deployment(value: bytes) -> Deployment:
    """Decode a configuration; raise :class:`ConfigurationMalformed` if it is wrong."""
    try:
        wire = _decoder.decode(value)
        return _deployment(wire)
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise ConfigurationMalformed(repr(error)) from error


def _deployment(wire: _Configuration) -> Deployment:
    routes_by_host: dict[str, list[Route]] = {}
    for route in wire.routes:
        routes_by_host.setdefault(route.host.lower(), []).append(_route(route))
    # Longest prefix first, so that the first match is the most specific one.
    ordered = {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in routes_by_host.items()
    }
    tenants = wire.tenants or ()
    return Deployment(
        number=wire.version,
        routes_by_host=ordered,
        service_by_name={s.name: _service(s) for s in wire.services},
        account_by_key={
            key: _account(tenant) for tenant in tenants for key in tenant.api_keys
        },
        has_accounts=bool(tenants),
        limits=CallerLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            header_s=wire.limits.header_timeout_ms / 1000,
            idle_s=wire.limits.idle_timeout_ms / 1000,
        ),
    )


def _account(wire: _Tenant) -> AccountGrant:
    return AccountGrant(wire.name, wire.priority, frozenset(wire.allowed_regions or ()))


def _route(wire: _Route) -> Route:
    if wire.backends:
        services = tuple(
            WeightedService(ServiceName(share.service), share.weight)
            for share in wire.backends
            if share.weight > 0
        )
    else:
        services = (WeightedService(ServiceName(wire.service or "")),)
    timeout_s = wire.timeout_ms / 1000
    target_ms = wire.target_latency_ms
    inter_token_ms = wire.target_itl_ms
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        kind=_KIND_BY_NAME[wire.kind],
        timeout_s=timeout_s,
        target_s=timeout_s if target_ms is None else target_ms / 1000,
        inter_token_target_s=timeout_s
        if inter_token_ms is None
        else inter_token_ms / 1000,
        priority=wire.priority,
        services=services,
        max_attempts=max(1, wire.max_attempts),
        stages=tuple(_stage(stage) for stage in wire.stages or ()),
        public=wire.public,
        resumable=wire.stream_resume,
        regions=frozenset(wire.allowed_regions or ()),
    )


def _stage(wire: _Stage) -> BatchStage:
    return BatchStage(ServiceName(wire.service), wire.after, int(wire.bytes))


def _service(wire: _Service) -> Service:
    model = None
    if wire.engine is not None:
        model = ModelLimits(
            slots=wire.engine.slots,
            memory_tokens=wire.engine.kv_capacity,
            token_bytes=wire.engine.kv_token_bytes,
            link_bytes_per_s=wire.engine.bandwidth_mbps * 1e6 / 8,
        )
    batch_limits = None
    if wire.segments is not None:
        segments = wire.segments
        batch_limits = BatchLimits(
            slots=segments.slots,
            queue=segments.queue,
            batch=max(1, segments.batch),
            call_s=segments.call_ms / 1000,
            item_s=segments.item_ms / 1000,
            memory_bytes=segments.headroom_mb * 1e6,
            result_life_s=segments.handle_s,
        )
    return Service(
        name=ServiceName(wire.name),
        max_connections=wire.max_connections,
        model=model,
        batch_limits=batch_limits,
        warm_up_s=wire.warmup_s,
        warm_up_per_s=wire.warmup_per_s,
    )
