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
from .freed_results import FreedResults, ResultsClient
from .owner_checks import OwnerChecks
from .piece_owners import PieceOwners
from .piece_service import LocalPieces
from .pieces import Piece, PieceOutcome
from .queue_load import QueueLoad

__all__ = ["Handoff", "SharedPieces"]


class Handoff(ResultsClient, Protocol):
    """How pieces get to another node."""

    async def run(
        self, address: str, service: ServiceName, pieces: list[Piece]
    ) -> list[PieceOutcome]:
        """Have pieces run there; raises :class:`PeerUnreachable`."""


class SharedPieces:
    """Runs pieces through the owners of their queues.

    ``hear_load`` is told the load of queues of this node, ``known`` returns a node of
    which was heard, ``probe`` sends it a probe, and ``count`` counts hand-offs that
    failed. ``freed`` frees the results.
    """

    def __init__(
        self,
        owners: PieceOwners,
        local: LocalPieces,
        handoff: Handoff,
        hear_load: Callable[[ServiceName, QueueLoad], None],
        known: Callable[[NodeId], Member | None],
        probe: Callable[[Member], None],
        count: Callable[[str], None],
    ) -> None:
        self._owners = owners
        self._local = local
        self._handoff = handoff
        self._hear_load = hear_load
        self._count = count
        self.checks = OwnerChecks(owners, probe)
        self.freed = FreedResults(
            owners, local, handoff, known, self._note_silent, count
        )

    async def run(
        self, service: ServiceName, pieces: list[Piece]
    ) -> list[PieceOutcome]:
        """Run pieces of one stage and return their outcomes, in order."""
        for owner in self._owners.candidates(service):
            if owner is None:
                break
            try:
                outcomes = await self._handoff.run(owner.internal, service, pieces)
                self._owners.note_answer(owner)
                return [_held_by(owner, outcome) for outcome in outcomes]
            except PeerUnreachable as error:
                self._note_failure(owner, service, error)
        outcomes = await self._local.run(service, pieces)
        self._hear_load(service, self._local.load(service))
        return outcomes

    def _note_failure(
        self, owner: Member, service: ServiceName, error: PeerUnreachable
    ) -> None:
        if error.silent:
            self._note_silent(owner)
        else:
            self._owners.note_failure(owner)
        self._count("handoff.failed")
        log(
            Part.PIECES,
            "The owner of a queue does not answer.",
            owner=owner.id,
            service=service,
            error=str(error),
        )

    def _note_silent(self, owner: Member) -> None:
        self._owners.note_failure(owner)
        self.checks.check(owner)


def _held_by(owner: Member, outcome: PieceOutcome) -> PieceOutcome:
    """Return an outcome that names the queue that counts its result."""
    if outcome.handle is None:
        return outcome
    return msgspec.structs.replace(outcome, owner=owner.id)
