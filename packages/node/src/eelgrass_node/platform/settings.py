"""Decodes the settings file that the platform provides to each node."""

from pathlib import Path

import msgspec
import yaml

from eelgrass_coordination.ids import DataCentre, NodeId

from ..exceptions import SettingsError
from ..process.host_settings import HostSettings, ServingBounds, StoreSettings
from ..process.warm_up import WarmUpBounds

__all__ = ["METRICS_PORT", "load_host_settings"]

# Must be the metrics port that deploy/system.toml declares to the platform.
METRICS_PORT = 9464


class _WireStruct(msgspec.Struct, frozen=True, rename="pascal"):
    """Base of the wire structs; unknown fields are ignored."""


class _Listen(_WireStruct):
    frontend: str
    readiness: str
    control: str


class _Limits(_WireStruct):
    # The share of one core, which is ``cores`` times as fast as a standard one.
    cpu_share: float = 1.0
    cores: float = 1.0
    bandwidth_mbps: float = 1000.0
    memory_mb: float = 300.0
    max_fds: int = 1024


class _Bounds(_WireStruct):
    grace_s: float = 8.0
    retry_budget: float = 0.1
    budget_window_s: float = 10.0
    retry_slack: float = 10.0
    drain_ms: float = 2000.0
    config_apply_ms: float = 2000.0
    reuse_window_s: float = 9.0
    evacuate_ms: float = 5000.0
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0


class _Store(_WireStruct):
    address: str
    writes_per_s: float = 100.0
    reads_per_s: float = 500.0


class _Settings(_WireStruct):
    node_name: str
    zone: str
    listen: _Listen
    platform: _Store
    bind_ip: str
    # Ports reserved for traffic between nodes; gossip uses the first one.
    port_range: tuple[int, int]
    seeds: tuple[str, ...] = ()
    # The region of each data centre.
    zones: dict[str, str] = {}
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    heartbeat_ms: float = 1000.0


def load_host_settings(file: Path) -> HostSettings:
    """Read and check the settings; raise :class:`SettingsError` if they are wrong."""
    name = str(file)
    try:
        raw = yaml.load(file.read_bytes(), Loader=_yaml_loader())
        wire = msgspec.convert(raw, _Settings)
    except OSError as error:
        remedy = "Give the path of a readable file."
        raise SettingsError(name, "file", str(error), remedy) from error
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        remedy = "Correct the value that is named."
        raise SettingsError(name, "settings", str(error), remedy) from error
    bounds = wire.bounds
    return HostSettings(
        node=NodeId(wire.node_name),
        data_centre=DataCentre(wire.zone),
        callers=wire.listen.frontend,
        readiness=wire.listen.readiness,
        internal=wire.listen.control,
        gossip=f"{wire.bind_ip}:{wire.port_range[0]}",
        seeds=wire.seeds,
        seed_gossip_port=wire.port_range[0],
        store=StoreSettings(wire.platform.address, wire.platform.writes_per_s),
        memory_bytes=int(wire.limits.memory_mb * 1e6),
        max_descriptors=wire.limits.max_fds,
        metrics=f"{wire.bind_ip}:{METRICS_PORT}",
        cores=wire.limits.cpu_share * wire.limits.cores,
        link_bits_per_s=wire.limits.bandwidth_mbps * 1e6,
        region_by_data_centre=wire.zones,
        bounds=ServingBounds(
            stop_s=bounds.grace_s,
            retry_ratio=bounds.retry_budget,
            retry_window_s=bounds.budget_window_s,
            retry_slack=bounds.retry_slack,
            drain_s=bounds.drain_ms / 1000,
            apply_s=bounds.config_apply_ms / 1000,
            reuse_s=bounds.reuse_window_s,
            heartbeat_s=wire.heartbeat_ms / 1000,
            evacuate_s=bounds.evacuate_ms / 1000,
            warm_up=WarmUpBounds(bounds.warmup_overage, bounds.warmup_slack),
        ),
    )


def _yaml_loader() -> type:
    # The C loader is about ten times as fast, which shortens the start of a node.
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)
