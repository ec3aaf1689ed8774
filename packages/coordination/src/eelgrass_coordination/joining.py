"""The start of a member: it contacts the seeds and gets the records of the group."""

import asyncio
import random

from .absent_members import AbsentMembers
from .anti_entropy import AntiEntropy
from .members import MemberTable

__all__ = ["JOIN_INTERVALS", "join"]

# All members may start at once, and a probe to a seed that is not up yet is lost. Seeds
# are probed this often, for this many intervals, until their records are received.
JOIN_ATTEMPTS_PER_INTERVAL = 5
JOIN_INTERVALS = 4
# Members that a starting node compares its records with, one per join attempt. Each
# comparison about doubles the members it knows: to 400 after eight.
JOIN_COMPARISONS = 8


async def join(
    members: MemberTable,
    absent: AbsentMembers,
    anti_entropy: AntiEntropy,
    interval_s: float,
    randomness: random.Random,
) -> None:
    """Probe the seeds until each is known; compare records with some members."""
    for step in range(JOIN_ATTEMPTS_PER_INTERVAL * JOIN_INTERVALS):
        if not absent.missing_seeds() and step > JOIN_COMPARISONS:
            return
        absent.probe_missing_seeds()
        reachable = members.reachable()
        if step <= JOIN_COMPARISONS and reachable:
            anti_entropy.begin(randomness.choice(reachable))
        await asyncio.sleep(interval_s / JOIN_ATTEMPTS_PER_INTERVAL)
