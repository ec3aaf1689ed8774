"""Where work may go: data centres that are emptied by the operator.

Used by whatever chooses a server; it decides nothing about which one is best.
"""

from .evacuation_news import EvacuationNews
from .evacuations import Evacuations
from .places import Places

__all__ = ["EvacuationNews", "Evacuations", "Places"]
