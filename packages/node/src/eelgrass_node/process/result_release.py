"""Frees results of stages through the queue that accounts for their memory.

If a queue owner stalls for part of a second, other nodes skip it and free results
without it. An owner that is not notified counts its servers as full until the results
would have expired, seconds later, so that the items in its queue become late while
servers are idle.
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

# How long to wait for the queue owner before the results are freed without it.
OWNER_TIMEOUT_S = 0.15


class ResultsClient(Protocol):
    """Asks other nodes to free results."""

    async def free(
        self,
        address: str,
        service: ServiceName,
        handles: list[str],
        timeout_s: float,
    ) -> None:
        """Have results freed there; raises :class:`PeerUnreachable`."""


class ResultReleaser:
    """Frees the results that this node's requests no longer need.

    ``find_member`` returns the record of a member, ``on_silent`` is called for owners
    that do not answer at once, and ``count`` counts owners that could not be notified.
    """

    def __init__(
        self,
        owners: QueueOwners,
        local: LocalQueues,
        client: ResultsClient,
        find_member: Callable[[NodeId], Member | None],
        on_silent: Callable[[Member], None],
        count: Callable[[str], None],
    ) -> None:
        self._owners = owners
        self._local = local
        self._client = client
        self._find_member = find_member
        self._on_silent = on_silent
        self._count = count
        self._tasks: set[asyncio.Task] = set()

    def free(
        self, service: ServiceName, handles: list[str], owner: NodeId | None
    ) -> None:
        """Free results; ``owner`` is the other node whose queue accounts for them."""
        member = None if owner is None else self._find_member(owner)
        # An owner that leaves still accounts for results until its queue is empty.
        if member is None or member.state is MemberState.DEAD:
            self._local.free(service, handles)
        else:
            self._run_in_background(self._free_through(member, service, handles))

    async def _free_through(
        self, owner: Member, service: ServiceName, handles: list[str]
    ) -> None:
        """Have a queue owner free results.

        If it does not answer in time, the results are freed here. The call goes on for
        the lifetime of the results, because a stalled owner still has to be notified.
        """
        timeout_s = max(OWNER_TIMEOUT_S, self._local.result_life_s(service))
        call = asyncio.ensure_future(
            self._client.free(owner.internal, service, handles, timeout_s)
        )
        try:
            answered = await stall_aware_wait(call, OWNER_TIMEOUT_S)
            if not answered or call.exception() is not None:
                self._local.free(service, handles)
                self._on_silent(owner)
            await call
            self._owners.on_answer(owner)
        except PeerUnreachable as error:
            self._count("handoff.failed")
            log(
                Part.PIECES,
                "Queue owner was not notified of freed results; it counts their memory "
                "as used until they expire.",
                owner=owner.id,
                service=service,
                results=len(handles),
                error=str(error),
            )
        finally:
            call.cancel()

    def _run_in_background(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
