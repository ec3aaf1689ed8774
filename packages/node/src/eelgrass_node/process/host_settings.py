"""The settings of a node on the users' platform, as the product sees them."""

import time

import msgspec

from eelgrass_coordination import Member
from eelgrass_coordination.ids import DataCentre, NodeId

from .warm_up.rate_limit import WarmUpBounds

__all__ = ["HostSettings", "ServingBounds", "StoreSettings"]

# The traffic of a queue's owner that uses up a core: some 800 sets a second (see
# benchmarks/piece_queue.py), each of 4 kB on its way in and 4 kB out, on the
# grown sheets.
LINK_BITS_PER_CORE = 50e6


class StoreSettings(msgspec.Struct, frozen=True):
    """Where the platform's store is, as an IP address and port."""

    address: str


class ServingBounds(msgspec.Struct, frozen=True):
    """Bounds that hold for all nodes together, in seconds unless said.

    ``stop_s`` is how long a planned stop may take before the process is
    killed. Retries may make up ``retry_ratio`` of the requests for a service in
    any ``retry_window_s``, and ``retry_slack`` calls more. A server that leaves
    gets no new work after ``drain_s``; a configuration is in force after
    ``apply_s``. A cached part of a prompt counts as such for ``reuse_s`` after
    its last use. The servers of a data centre that is emptied get no new work after
    ``evacuate_s``, and cold ones no more than ``warm_up`` says.
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

    ``seeds`` are internal addresses of a few nodes, some of which may be gone;
    each listens for gossip at ``seed_gossip_port``. ``metrics`` is where scrapers
    ask, None for nowhere. ``cores`` is the processor time that the node has, in
    cores of usual speed, and ``link_bits_per_s`` the speed of its network link.
    ``region_by_data_centre`` knows all data centres.
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
        """Return how much work for all nodes this one can take on, in cores."""
        return min(self.cores, self.link_bits_per_s / LINK_BITS_PER_CORE)

    def as_member(self) -> Member:
        """Return the record of the node for a start now, newer than those before."""
        return Member(
            id=self.node,
            data_centre=self.data_centre,
            internal=self.internal,
            gossip=self.gossip,
            epoch=time.time_ns() // 1000,
            capacity=round(self.capacity(), 2),
        )

    def other_seeds(self) -> tuple[str, ...]:
        """Return the internal addresses of the seeds but its own."""
        return tuple(seed for seed in self.seeds if seed != self.internal)

    def seed_gossip_addresses(self) -> list[str]:
        """Return the gossip addresses of the seeds."""
        hosts = (seed.rpartition(":")[0] for seed in self.seeds)
        return [f"{host}:{self.seed_gossip_port}" for host in hosts]
