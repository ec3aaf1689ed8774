"""Where work may go: data centres that are emptied by the operator.

Used by whatever chooses a server; it decides nothing about which one is best.
"""

from .evacuation_gossip import EvacuationGossip
from .evacuations import Evacuations
from .manager import EvacuationManager

__all__ = ["EvacuationGossip", "Evacuations", "EvacuationManager"]
