"""Probes queue owners that did not answer, to use them again as soon as they do.

Without probes, a host that stalled for part of a second was skipped for seconds after
it had recovered. Meanwhile the nodes that had handed it items ran queues of their own
on the same servers, and each mistook results of the others for a full server.
"""

import asyncio
from collections.abc import Callable

from eelgrass_coordination import Member
from eelgrass_coordination.ids import NodeId

from .queue_owners import QueueOwners

__all__ = ["OwnerChecks"]

# Frequent probes are cheap: each is one datagram in each direction.
PROBE_INTERVAL_S = 0.1


class OwnerChecks:
    """The checks of one node; ``probe`` sends a probe to a member."""

    def __init__(self, owners: QueueOwners, probe: Callable[[Member], None]) -> None:
        self._owners = owners
        self._probe = probe
        self._running: dict[NodeId, asyncio.Task] = {}

    def check(self, owner: Member) -> None:
        """Probe an owner for as long as it is backed off."""
        if owner.id not in self._running:
            task = asyncio.create_task(self._check(owner))
            self._running[owner.id] = task
            task.add_done_callback(lambda _: self._running.pop(owner.id))

    def on_ack(self, member: Member) -> None:
        """End the backoff of an owner that answers a probe."""
        if member.id in self._running:
            self._owners.on_answer(member)

    def stop(self) -> None:
        """Stop all checks."""
        for task in self._running.values():
            task.cancel()

    async def _check(self, owner: Member) -> None:
        while self._owners.is_backed_off(owner):
            self._probe(owner)
            await asyncio.sleep(PROBE_INTERVAL_S)
