"""The settings and budgets of a node for tests without a complete one."""

import time

from eelgrass_coordination.ids import DataCentre, NodeId
from eelgrass_node.process.host_settings import HostSettings, StoreSettings
from eelgrass_node.process.memory_budget import Budgets

from .entry import BOUNDS

__all__ = ["host_budgets", "host_settings"]


def host_settings(
    seeds: tuple[str, ...] = ("n1:1",), data_centres: str = "abc"
) -> HostSettings:
    """Return the settings of the node ``n0`` in data centre a."""
    return HostSettings(
        node=NodeId("n0"),
        data_centre=DataCentre("a"),
        callers="n0:3",
        readiness="n0:4",
        internal="n0:1",
        gossip="n0:2",
        seeds=seeds,
        seed_gossip_port=2,
        store=StoreSettings("store:1"),
        memory_bytes=300_000_000,
        max_descriptors=4100,
        bounds=BOUNDS,
        region_by_data_centre=dict.fromkeys(data_centres, "east"),
    )


def host_budgets() -> Budgets:
    """Return the budgets of a machine of the users."""
    return Budgets(300_000_000, 4100, time.monotonic, lambda name: None)
