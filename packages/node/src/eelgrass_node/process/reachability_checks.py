"""Checks by probes whether a data centre is out of reach.

The pattern it answers: a data centre is cut off for some seconds. A call that
finds that out waits for its whole bound (0.15 to 0.95 s) and uses up a try, in
each data centre anew and again after each doubt that ends by its time: requests
were refused as silent for 2.5 s of a cut of 5 s. A probe of the membership takes
one way there and back and costs a datagram. So a call that goes silent has the
nodes of that data centre probed; where none answers it is in doubt until one
does, and the other data centres are probed at once, too: it may be this one that
is cut off.
"""

import asyncio
from collections.abc import Callable

from eelgrass_coordination import Member, MemberState, stall_aware_sleep

from .reachability import DataCentreReachability

__all__ = ["ReachabilityChecks"]

# A probe is answered in two ways between data centres (some ms) and the time for
# which a busy node is held up (tens of ms).
ANSWER_S = 0.15
# How often a data centre in doubt is probed again: the end of a cut is noticed
# within this time.
AGAIN_S = 0.3
# Nodes that are probed at a time. One that does not answer may be frozen; two of
# one data centre are seldom frozen together.
MOST_PROBED = 3
LEAST_PROBED = 2
# Cuts last some 5 s. After this long calls may try again: the nodes there may be
# gone for good while its servers are well.
MAX_SUSPICION_S = 8.0


class ReachabilityChecks:
    """The checks of one node; ``probe`` sends a probe to a member.

    ``members`` returns all that are known, and ``own`` is the data centre that
    needs no check.
    """

    def __init__(
        self,
        own: str,
        reach: DataCentreReachability,
        members: Callable[[], list[Member]],
        probe: Callable[[Member], None],
    ) -> None:
        self._own = own
        self._reach = reach
        self._members = members
        self._probe = probe
        self._answered: set[str] = set()
        self._running: dict[str, asyncio.Task] = {}

    def record_ack(self, member: Member) -> None:
        """Note that a member has answered a probe."""
        self._answered.add(member.data_centre)
        self._reach.record_answer(member.data_centre)

    def check(self, data_centre: str) -> None:
        """Begin to check a data centre, unless that is under way."""
        if data_centre == self._own or data_centre in self._running:
            return
        task = asyncio.create_task(self._check(data_centre))
        self._running[data_centre] = task
        task.add_done_callback(lambda _: self._running.pop(data_centre))

    def stop(self) -> None:
        """End all checks."""
        for task in self._running.values():
            task.cancel()

    async def _check(self, data_centre: str) -> None:
        if await self._answers(data_centre, ANSWER_S):
            return
        for other in {member.data_centre for member in self._members()}:
            self.check(other)
        for _ in range(round(MAX_SUSPICION_S / AGAIN_S)):
            self._reach.suspect(data_centre, 2 * AGAIN_S)
            if await self._answers(data_centre, AGAIN_S):
                return

    async def _answers(self, data_centre: str, within_s: float) -> bool:
        """Return whether a data centre answers, or cannot be asked."""
        probed = self._probed(data_centre)
        if len(probed) < LEAST_PROBED:
            return True
        self._answered.discard(data_centre)
        for member in probed:
            self._probe(member)
        await stall_aware_sleep(within_s)
        return data_centre in self._answered

    def _probed(self, data_centre: str) -> list[Member]:
        """Return members to probe, rather those that are believed alive."""
        there = [
            member
            for member in self._members()
            if member.data_centre == data_centre
            and member.state is not MemberState.LEFT
        ]
        there.sort(key=lambda member: member.state is not MemberState.ALIVE)
        return there[:MOST_PROBED]
