"""The settings of a node, independent of the platform's file format."""

import time

import msgspec

from eelgrass_coordination import Member
from eelgrass_coordination.ids import DataCentre, NodeId

from .warm_up.rate_limit import WarmUpBounds

__all__ = ["HostSettings", "ServingBounds", "StoreSettings"]

# The network traffic at which a queue owner uses up one core: some 800 item sets a
# second (see benchmarks/piece_queue.py), each of 4 kB in and 4 kB out.
LINK_BITS_PER_CORE = 50e6


class StoreSettings(msgspec.Struct, frozen=True):
    """The IP address and port of the platform's store, and its limit for all nodes."""

    address: str
    writes_per_s: float = 100.0


class ServingBounds(msgspec.Struct, frozen=True):
    """Bounds that apply to all nodes together, in seconds unless noted.

    ``stop_s`` is how long a planned stop may take before the process is killed.
    Retries may make up ``retry_ratio`` of the requests for a service in any
    ``retry_window_s``, plus ``retry_slack`` calls. A server that leaves gets no new
    work after ``drain_s``, and a configuration is in force after ``apply_s``. A prompt
    prefix counts as cached for ``reuse_s`` after its last use. The servers of a data
    centre that is being evacuated get no new work after ``evacuate_s``, and cold
    servers get no more than ``warm_up`` allows.
    """

    stop_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    drain_s: float
    apply_s: float
    reuse_s: float
    heartbeat_s: float
    evacuate_s: float = 5.0
    warm_up: WarmUpBounds = WarmUpBounds()


class HostSettings(msgspec.Struct, frozen=True):
    """All settings of one node; addresses are IP addresses and ports.

    ``seeds`` are internal addresses of a few nodes, some of which may no longer exist;
    each listens for gossip at ``seed_gossip_port``. ``metrics`` is the address for
    metrics scrapers, None to disable it. ``cores`` is the processor time that the node
    has, in cores of average speed, and ``link_bits_per_s`` the speed of its network
    link. ``region_by_data_centre`` lists all data centres.
    """

    node: NodeId
    data_centre: DataCentre
    callers: str
    readiness: str
    internal: str
    gossip: str
    seeds: tuple[str, ...]
    seed_gossip_port: int
    store: StoreSettings
    memory_bytes: int
    max_descriptors: int
    bounds: ServingBounds
    metrics: str | None = None
    cores: float = 1.0
    link_bits_per_s: float = 1e9
    region_by_data_centre: dict[str, str] = {}

    def capacity(self) -> float:
        """Return the capacity for work on behalf of all nodes, in cores."""
        return min(self.cores, self.link_bits_per_s / LINK_BITS_PER_CORE)

    def as_member(self) -> Member:
        """Return the member record for a start now, newer than any earlier one."""
        return Member(
            id=self.node,
            data_centre=self.data_centre,
            internal=self.internal,
            gossip=self.gossip,
            epoch=time.time_ns() // 1000,
            capacity=round(self.capacity(), 2),
        )

    def other_seeds(self) -> tuple[str, ...]:
        """Return the internal addresses of the seeds, without this node's own."""
        return tuple(seed for seed in self.seeds if seed != self.internal)

    def seed_gossip_addresses(self) -> list[str]:
        """Return the gossip addresses of the seeds."""
        hosts = (seed.rpartition(":")[0] for seed in self.seeds)
        return [f"{host}:{self.seed_gossip_port}" for host in hosts]
