"""Runs batch items through the queue of their service, at another node or here.

With eight or nine nodes that each see one to three items of a service per second, a
queue per node never fills a call, and its calls find the servers full. One queue per
service, shared by all nodes, avoids both.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from eelgrass_coordination import Member
from eelgrass_coordination.ids import NodeId

from ..exceptions import PeerUnreachable
from ..log import Part, log
from ..version.deployment import ServiceName
from .batch_items import BatchItem, ItemOutcome
from .local_queues import LocalQueues
from .owner_checks import OwnerChecks
from .queue_load import QueueLoad
from .queue_owners import QueueOwners
from .result_release import ResultReleaser, ResultsClient

__all__ = ["Handoff", "SharedQueues"]


class Handoff(ResultsClient, Protocol):
    """Hands items to another node."""

    async def run(
        self, address: str, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        """Have items run there; raises :class:`PeerUnreachable`."""


class SharedQueues:
    """Runs items through the owners of their queues.

    ``on_load`` receives the load of this node's queues, ``find_member`` returns the
    record of a member, ``probe`` sends a member a probe, and ``count`` counts hand-offs
    that failed. ``results`` frees results that are no longer needed.
    """

    def __init__(
        self,
        owners: QueueOwners,
        local: LocalQueues,
        handoff: Handoff,
        on_load: Callable[[ServiceName, QueueLoad], None],
        find_member: Callable[[NodeId], Member | None],
        probe: Callable[[Member], None],
        count: Callable[[str], None],
    ) -> None:
        self._owners = owners
        self._local = local
        self._handoff = handoff
        self._on_load = on_load
        self._count = count
        self.checks = OwnerChecks(owners, probe)
        self.results = ResultReleaser(
            owners, local, handoff, find_member, self._on_silent, count
        )

    async def run(
        self, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        """Run items of one stage and return their outcomes, in order."""
        for owner in self._owners.candidates(service):
            if owner is None:
                break
            try:
                outcomes = await self._handoff.run(owner.internal, service, items)
                self._owners.on_answer(owner)
                return [_with_owner(owner, outcome) for outcome in outcomes]
            except PeerUnreachable as error:
                self._on_failure(owner, service, error)
        outcomes = await self._local.run(service, items)
        self._on_load(service, self._local.load(service))
        return outcomes

    def _on_failure(
        self, owner: Member, service: ServiceName, error: PeerUnreachable
    ) -> None:
        if error.timed_out:
            self._on_silent(owner)
        else:
            self._owners.on_failure(owner)
        self._count("handoff.failed")
        log(
            Part.PIECES,
            "Queue owner does not answer; trying the next candidate.",
            owner=owner.id,
            service=service,
            error=str(error),
        )

    def _on_silent(self, owner: Member) -> None:
        self._owners.on_failure(owner)
        self.checks.check(owner)


def _with_owner(owner: Member, outcome: ItemOutcome) -> ItemOutcome:
    """Return the outcome with the owner whose queue accounts for its result."""
    if outcome.handle is None:
        return outcome
    return msgspec.structs.replace(outcome, owner=owner.id)
