"""Evacuation of data centres by the operator: their servers get no new work.

The package decides which servers may get work, not which of them is best.
"""

from .evacuation_gossip import EvacuationGossip
from .evacuations import Evacuations
from .manager import EvacuationManager

__all__ = ["EvacuationGossip", "EvacuationManager", "Evacuations"]
