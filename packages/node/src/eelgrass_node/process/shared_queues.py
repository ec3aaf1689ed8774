"""Runs pieces where their service's queue is: at another node, or here.

The pattern it answers: eight or nine nodes that each see one to three pieces a
second of a service fill no call, and their calls find the servers full. One
queue per service for all of them does both.
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
    """How pieces get to another node."""

    async def run(
        self, address: str, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        """Have pieces run there; raises :class:`PeerUnreachable`."""


class SharedQueues:
    """Runs pieces through the owners of their queues.

    ``hear_load`` is told the load of queues of this node, ``known`` returns a node of
    which was heard, ``probe`` sends it a probe, and ``count`` counts hand-offs that
    failed. ``freed`` frees the results.
    """

    def __init__(
        self,
        owners: QueueOwners,
        local: LocalQueues,
        handoff: Handoff,
        on_load: Callable[[ServiceName, QueueLoad], None],
        known: Callable[[NodeId], Member | None],
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
            owners, local, handoff, known, self._note_silent, count
        )

    async def run(
        self, service: ServiceName, items: list[BatchItem]
    ) -> list[ItemOutcome]:
        """Run pieces of one stage and return their outcomes, in order."""
        for owner in self._owners.candidates(service):
            if owner is None:
                break
            try:
                outcomes = await self._handoff.run(owner.internal, service, items)
                self._owners.on_answer(owner)
                return [_held_by(owner, outcome) for outcome in outcomes]
            except PeerUnreachable as error:
                self._note_failure(owner, service, error)
        outcomes = await self._local.run(service, items)
        self._on_load(service, self._local.load(service))
        return outcomes

    def _note_failure(
        self, owner: Member, service: ServiceName, error: PeerUnreachable
    ) -> None:
        if error.timed_out:
            self._note_silent(owner)
        else:
            self._owners.on_failure(owner)
        self._count("handoff.failed")
        log(
            Part.PIECES,
            "The owner of a queue does not answer.",
            owner=owner.id,
            service=service,
            error=str(error),
        )

    def _note_silent(self, owner: Member) -> None:
        self._owners.on_failure(owner)
        self.checks.check(owner)


def _held_by(owner: Member, outcome: ItemOutcome) -> ItemOutcome:
    """Return an outcome that names the queue that counts its result."""
    if outcome.handle is None:
        return outcome
    return msgspec.structs.replace(outcome, owner=owner.id)
