"""Applies evacuations to a node's servers, and announces them to other nodes."""

from collections.abc import Callable

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import DataCentre

from ...version.deployment import Deployment, ServiceName
from ..backends import MAX_WARM_UP_S, Backends
from .evacuation_gossip import EvacuationGossip
from .evacuations import Evacuations

__all__ = ["EvacuationManager"]


class EvacuationManager:
    """Keeps ``backends`` in sync with the evacuated data centres.

    ``prefix``, ``complete_to`` and ``store_reachable`` are those of
    :class:`Evacuations`, and ``announce`` spreads a gossip item.
    """

    def __init__(
        self,
        backends: Backends,
        prefix: str,
        complete_to: Callable[[], int],
        store_reachable: Callable[[], bool],
        deployment: Callable[[], Deployment | None],
        announce: Callable[[GossipItem], object],
        clock: Callable[[], float],
    ) -> None:
        self._backends = backends
        self._deployment = deployment
        self.evacuations = Evacuations(prefix, complete_to, store_reachable, clock)
        self.gossip = EvacuationGossip(self.evacuations, announce)
        self.evacuations.on_read = self.gossip.announce
        self.evacuations.on_begin = lambda data_centre: backends.notify_all()
        self.evacuations.on_end = self._on_evacuation_end
        backends.is_evacuated = self.evacuations.is_evacuated

    def in_flight(self, data_centre: DataCentre) -> int:
        """Return how many calls of this node still run in a data centre."""
        servers = self._backends.in_data_centre(data_centre)
        return sum(server.in_flight for server in servers)

    def _on_evacuation_end(self, data_centre: DataCentre) -> None:
        """Put a data centre back into use; its servers may have become cold."""
        for server in self._backends.in_data_centre(data_centre):
            server.mark_cold(self._warm_up_s(server.entry.service))
        self._backends.notify_all()

    def _warm_up_s(self, service: str) -> float:
        deployment = self._deployment()
        service_config = deployment and deployment.service_by_name.get(
            ServiceName(service)
        )
        return service_config.warm_up_s if service_config else MAX_WARM_UP_S
