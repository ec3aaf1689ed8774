"""Probes the nodes of a data centre to check whether it is unreachable.

When a data centre is cut off for some seconds, a call that finds that out waits for its
full timeout (0.15 to 0.95 s) and uses up an attempt. Without probes this happens in
each data centre, and again after each suspicion that expires: requests failed with
timeouts for 2.5 s of a partition of 5 s. A membership probe takes one round trip and
costs a datagram. After a timeout the nodes of that data centre are therefore probed. If
none answers, the data centre is suspected until one does, and the other data centres
are probed at once, because this data centre may be the one that is cut off.
"""

import asyncio
from collections.abc import Callable

from eelgrass_coordination import Member, MemberState, stall_aware_sleep

from .reachability import DataCentreReachability

__all__ = ["ReachabilityChecks"]

# A probe takes a round trip between data centres (some ms) plus the delay of a busy
# node (tens of ms).
PROBE_TIMEOUT_S = 0.15
# Interval of the probes of a suspected data centre. The end of a partition is noticed
# within this time.
PROBE_INTERVAL_S = 0.3
# Nodes probed at a time. One that does not answer may be stalled; two of one data
# centre are seldom stalled at the same time.
MAX_PROBED = 3
MIN_PROBED = 2
# Partitions last some 5 s. After this long calls may try again: the nodes of the data
# centre may have been removed for good while its servers are healthy.
MAX_SUSPICION_S = 8.0


class ReachabilityChecks:
    """The reachability checks of one node; ``probe`` sends a probe to a member.

    ``members`` returns all known members, and ``own`` is the node's own data centre,
    which needs no check.
    """

    def __init__(
        self,
        own: str,
        reachability: DataCentreReachability,
        members: Callable[[], list[Member]],
        probe: Callable[[Member], None],
    ) -> None:
        self._own = own
        self._reachability = reachability
        self._members = members
        self._probe = probe
        self._answered: set[str] = set()
        self._running: dict[str, asyncio.Task] = {}

    def record_ack(self, member: Member) -> None:
        """Record that a member has answered a probe."""
        self._answered.add(member.data_centre)
        self._reachability.record_answer(member.data_centre)

    def check(self, data_centre: str) -> None:
        """Start to check a data centre, unless a check is running."""
        if data_centre == self._own or data_centre in self._running:
            return
        task = asyncio.create_task(self._check(data_centre))
        self._running[data_centre] = task
        task.add_done_callback(lambda _: self._running.pop(data_centre))

    def stop(self) -> None:
        """Cancel all checks."""
        for task in self._running.values():
            task.cancel()

    async def _check(self, data_centre: str) -> None:
        if await self._is_answering(data_centre, PROBE_TIMEOUT_S):
            return
        for other in {member.data_centre for member in self._members()}:
            self.check(other)
        for _ in range(round(MAX_SUSPICION_S / PROBE_INTERVAL_S)):
            self._reachability.suspect(data_centre, 2 * PROBE_INTERVAL_S)
            if await self._is_answering(data_centre, PROBE_INTERVAL_S):
                return

    async def _is_answering(self, data_centre: str, within_s: float) -> bool:
        """Return whether a data centre answers, or has too few nodes to probe."""
        probed = self._members_to_probe(data_centre)
        if len(probed) < MIN_PROBED:
            return True
        self._answered.discard(data_centre)
        for member in probed:
            self._probe(member)
        await stall_aware_sleep(within_s)
        return data_centre in self._answered

    def _members_to_probe(self, data_centre: str) -> list[Member]:
        """Return members to probe, preferring those that are believed alive."""
        there = [
            member
            for member in self._members()
            if member.data_centre == data_centre
            and member.state is not MemberState.LEFT
        ]
        there.sort(key=lambda member: member.state is not MemberState.ALIVE)
        return there[:MAX_PROBED]
