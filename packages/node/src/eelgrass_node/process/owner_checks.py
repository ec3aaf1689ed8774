"""Asks owners of queues that went silent, by probes, whether they are back.

The pattern it answers: a host stands still for part of a second. The nodes that
handed it pieces then ran a queue of their own before the same servers for seconds,
long after it went on, and each took results of the others for a full server.
"""

import asyncio
from collections.abc import Callable

from eelgrass_coordination import Member
from eelgrass_coordination.ids import NodeId

from .queue_owners import QueueOwners

__all__ = ["OwnerChecks"]

# A probe is one datagram there and one back.
PROBE_AGAIN_S = 0.1


class OwnerChecks:
    """The checks of one node; ``probe`` sends a probe to a member."""

    def __init__(self, owners: QueueOwners, probe: Callable[[Member], None]) -> None:
        self._owners = owners
        self._probe = probe
        self._running: dict[NodeId, asyncio.Task] = {}

    def check(self, owner: Member) -> None:
        """Probe an owner for as long as it is distrusted."""
        if owner.id not in self._running:
            task = asyncio.create_task(self._check(owner))
            self._running[owner.id] = task
            task.add_done_callback(lambda _: self._running.pop(owner.id))

    def on_ack(self, member: Member) -> None:
        """Trust an owner again that answers a probe."""
        if member.id in self._running:
            self._owners.on_answer(member)

    def stop(self) -> None:
        """End all checks."""
        for task in self._running.values():
            task.cancel()

    async def _check(self, owner: Member) -> None:
        while self._owners.is_backed_off(owner):
            self._probe(owner)
            await asyncio.sleep(PROBE_AGAIN_S)
