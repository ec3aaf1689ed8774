"""The places of a node's servers, put together: what is emptied, and who is told."""

from collections.abc import Callable

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import DataCentre

from ...version.deployment import Deployment, ServiceName
from ..backends import MAX_WARM_UP_S, Backends
from .evacuation_gossip import EvacuationGossip
from .evacuations import Evacuations

__all__ = ["EvacuationManager"]


class EvacuationManager:
    """Keeps ``backends`` in line with the data centres that are being emptied.

    ``prefix`` begins the keys of the operator's rows, ``complete_to`` and
    ``store_reachable`` tell how far and whether they can be read, and ``announce``
    tells other nodes of a mark.
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
        self.evacuations.on_end = self._use_again
        backends.is_evacuated = self.evacuations.is_evacuated

    def in_flight(self, data_centre: DataCentre) -> int:
        """Return how many calls of this node still run in a data centre."""
        servers = self._backends.in_data_centre(data_centre)
        return sum(server.in_flight for server in servers)

    def _use_again(self, data_centre: DataCentre) -> None:
        """Use a data centre again; its servers may have become cold meanwhile."""
        for server in self._backends.in_data_centre(data_centre):
            server.mark_cold(self._warm_up_s(server.entry.service))
        self._backends.notify_all()

    def _warm_up_s(self, service: str) -> float:
        deployment = self._deployment()
        known = deployment and deployment.service_by_name.get(ServiceName(service))
        return known.warm_up_s if known else MAX_WARM_UP_S
