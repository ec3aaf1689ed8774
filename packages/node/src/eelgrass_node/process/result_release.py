"""Frees results of stages through the queue that counts their memory.

The pattern it answers: a node that owns a queue stands still for part of a second.
Others pass it over and free results without it. A queue that does not hear of that
takes its servers for full until the results would have expired, seconds later,
and the pieces that wait there are late beside idle servers.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Protocol

from eelgrass_coordination import Member, MemberState, stall_aware_wait
from eelgrass_coordination.ids import NodeId

from ..exceptions import PeerUnreachable
from ..log import Part, log
from ..version.deployment import ServiceName
from .local_queues import LocalQueues
from .queue_owners import QueueOwners

__all__ = ["ResultReleaser", "ResultsClient"]

# The owner of the queue is given this long; then the results are freed without it.
OWNER_ANSWERS_S = 0.15


class ResultsClient(Protocol):
    """How results are freed by another node."""

    async def free(
        self,
        address: str,
        service: ServiceName,
        handles: list[str],
        within_s: float,
    ) -> None:
        """Have results freed there; raises :class:`PeerUnreachable`."""


class ResultReleaser:
    """Frees the results that this node's requests need no more.

    ``known`` returns a node of which was heard. ``note_silent`` is told of owners that
    do not answer at once, and ``count`` counts those that did not hear of it.
    """

    def __init__(
        self,
        owners: QueueOwners,
        local: LocalQueues,
        client: ResultsClient,
        known: Callable[[NodeId], Member | None],
        note_silent: Callable[[Member], None],
        count: Callable[[str], None],
    ) -> None:
        self._owners = owners
        self._local = local
        self._client = client
        self._known = known
        self._note_silent = note_silent
        self._count = count
        self._tasks: set[asyncio.Task] = set()

    def free(
        self, service: ServiceName, handles: list[str], owner: NodeId | None
    ) -> None:
        """Free results; ``owner`` is the other node whose queue counts them."""
        member = None if owner is None else self._known(owner)
        # One that leaves still counts results while it serves what waits there.
        if member is None or member.state is MemberState.DEAD:
            self._local.free(service, handles)
        else:
            self._keep(self._free_through(member, service, handles))

    async def _free_through(
        self, owner: Member, service: ServiceName, handles: list[str]
    ) -> None:
        """Have the owner of a queue free results.

        One that stands still is still to hear of it, for as long as it counts them.
        """
        within_s = max(OWNER_ANSWERS_S, self._local.result_life_s(service))
        telling = asyncio.ensure_future(
            self._client.free(owner.internal, service, handles, within_s)
        )
        try:
            answered = await stall_aware_wait(telling, OWNER_ANSWERS_S)
            if not answered or telling.exception() is not None:
                self._local.free(service, handles)
                self._note_silent(owner)
            await telling
            self._owners.on_answer(owner)
        except PeerUnreachable as error:
            self._count("handoff.failed")
            log(
                Part.PIECES,
                "The owner of a queue did not hear of results that were freed.",
                owner=owner.id,
                service=service,
                results=len(handles),
                error=str(error),
            )
        finally:
            telling.cancel()

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
