"""Finds shared parts of prompts that crash servers, and keeps them from servers."""

from .part_gossip import PartGossip
from .part_quarantine import PartQuarantine
from .part_rows import PART_ROW_PREFIX, PartCrashRow, PartRows, decode_part_row
from .poison_parts import PoisonParts
from .trials import AskTrialOwner, TrialAdmission, TrialPermits

__all__ = [
    "PART_ROW_PREFIX",
    "AskTrialOwner",
    "PartCrashRow",
    "PartGossip",
    "PartQuarantine",
    "PartRows",
    "PoisonParts",
    "TrialAdmission",
    "TrialPermits",
    "decode_part_row",
]
