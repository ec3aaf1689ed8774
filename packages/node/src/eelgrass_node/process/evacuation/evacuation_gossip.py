"""Announces evacuated data centres to other nodes, and applies their announcements.

In this way a node that reaches neither the store nor a relay learns of an evacuation
within milliseconds.
"""

from collections.abc import Callable

from eelgrass_coordination import GossipItem
from eelgrass_coordination.ids import DataCentre

from ...log import Part, log
from .evacuations import Evacuations

__all__ = ["EvacuationGossip"]

GOSSIP_KIND = "evacuation"
# The number of a gossip item contains the version of the row and, in its last bit,
# whether the row exists.
STATES = 2


class EvacuationGossip:
    """Evacuation gossip of one node; ``announce`` spreads a gossip item."""

    def __init__(
        self, evacuations: Evacuations, announce: Callable[[GossipItem], object]
    ) -> None:
        self._evacuations = evacuations
        self._announce = announce

    def announce(
        self, data_centre: DataCentre, version: int, is_evacuated: bool
    ) -> None:
        """Announce the state of a data centre that was read from the store."""
        self._announce(_item(data_centre, version, is_evacuated))

    def items(self) -> tuple[GossipItem, ...]:
        """Return what this node knows, for one that has not heard the gossip of it."""
        return tuple(_item(*state) for state in self._evacuations.newest())

    def receive(self, item: GossipItem) -> None:
        """Apply a gossip item from another node; other kinds are ignored."""
        if item.kind != GOSSIP_KIND:
            return
        if not item.name or item.number < 0:
            log(
                Part.HOSTS,
                "A gossip item is invalid.",
                name=item.name,
                number=item.number,
            )
            return
        version, is_evacuated = divmod(item.number, STATES)
        self._evacuations.apply_gossip(
            DataCentre(item.name), version, bool(is_evacuated)
        )


def _item(data_centre: DataCentre, version: int, is_evacuated: bool) -> GossipItem:
    return GossipItem(GOSSIP_KIND, data_centre, version * STATES + int(is_evacuated))
