"""Tells other nodes which data centres are being emptied, and hears of it.

A node that neither reaches the store nor a relay hears of it so, within milliseconds.
"""

from collections.abc import Callable

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import DataCentre

from ...log import Part, log
from .evacuations import Evacuations

__all__ = ["EvacuationGossip"]

GOSSIP_KIND = "evacuation"
# The number of a mark holds the version of the row, and in its last bit whether the row
# is there.
STATES = 2


class EvacuationGossip:
    """News between the nodes; ``announce`` tells of a mark."""

    def __init__(
        self, evacuations: Evacuations, announce: Callable[[GossipItem], object]
    ) -> None:
        self._evacuations = evacuations
        self._announce = announce

    def announce(
        self, data_centre: DataCentre, version: int, is_evacuated: bool
    ) -> None:
        """Tell other nodes what was read of a data centre."""
        number = version * STATES + int(is_evacuated)
        self._announce(GossipItem(GOSSIP_KIND, data_centre, number))

    def receive(self, mark: GossipItem) -> None:
        """Take in what another node tells; marks of other kinds are nothing here."""
        if mark.kind != GOSSIP_KIND:
            return
        if not mark.name or mark.number < 0:
            log(Part.HOSTS, "A mark is not taken.", name=mark.name, number=mark.number)
            return
        version, is_evacuated = divmod(mark.number, STATES)
        self._evacuations.apply_gossip(
            DataCentre(mark.name), version, bool(is_evacuated)
        )
