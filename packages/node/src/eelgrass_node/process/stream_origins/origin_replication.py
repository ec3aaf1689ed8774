"""Replicates the origins of streams to a few other nodes.

The copies outlive the node that serves a stream. They are made before its first event
is sent, and again when a node that has one leaves, ends or restarts.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable

from eelgrass_coordination import Member, stall_aware_wait
from eelgrass_coordination.ids import NodeId

from .messages import OriginMessage, Store
from .origin_table import StreamOrigin
from .replica_choice import ReplicaChoice

__all__ = ["OriginReplication", "SendMessage"]

SendMessage = Callable[[str, OriginMessage], None]

# Pauses after which a copy is sent again unless it is confirmed: datagrams may be lost.
RESEND_AFTER_S = (0.03, 0.1, 0.3)
# A node that has not confirmed any of them is passed over for this long. It may be
# dead, partitioned off, or of a release that does not know these messages.
SILENCE_S = 5.0


class _Replication:
    """The copies of one origin; ``confirmed`` is set by the first one."""

    def __init__(self, stream: str, origin: StreamOrigin, expires_at: float) -> None:
        self.stream = stream
        self.origin = origin
        self.expires_at = expires_at
        self.epoch_by_replica: dict[NodeId, int] = {}
        loop = asyncio.get_running_loop()
        self.confirmed = loop.create_future()
        self.round_complete = loop.create_future()
        self.unconfirmed: set[NodeId] = set()
        self.task: asyncio.Task | None = None

    def is_at(self, member: Member) -> bool:
        """Return whether this incarnation of a member has a copy."""
        return self.epoch_by_replica.get(member.id) == member.epoch


class OriginReplication:
    """The copies that this node makes; ``send`` sends a message to an address."""

    def __init__(
        self, choice: ReplicaChoice, send: SendMessage, clock: Callable[[], float]
    ) -> None:
        self._choice = choice
        self._send = send
        self._clock = clock
        self._numbers = itertools.count(1)
        self._sent: dict[int, tuple[_Replication, Member]] = {}
        self._replication_by_stream: dict[str, _Replication] = {}
        self._tasks: set[asyncio.Task] = set()

    def replicate(
        self, stream: str, origin: StreamOrigin, ttl_s: float
    ) -> asyncio.Future:
        """Begin to copy an origin; return a future that the first copy completes.

        The copies are renewed as nodes come and go until :meth:`release` is called.
        """
        replication = _Replication(stream, origin, self._clock() + ttl_s)
        self._replication_by_stream[stream] = replication
        self._start(replication)
        return replication.confirmed

    def release(self, stream: str) -> None:
        """Stop renewing the copies of a stream, which this node no longer serves."""
        self._replication_by_stream.pop(stream, None)

    def hand_over(self, items: Iterable[tuple[str, StreamOrigin, float]]) -> None:
        """Copy origins to other nodes, because this node is leaving."""
        for stream, origin, ttl_s in items:
            self._start(_Replication(stream, origin, self._clock() + ttl_s))

    def on_confirm(self, number: int) -> None:
        """Record that a copy has arrived."""
        replication, member = self._sent.pop(number, (None, None))
        if replication is None:
            return
        self._choice.on_answer(member)
        replication.epoch_by_replica[member.id] = member.epoch
        replication.unconfirmed.discard(member.id)
        if not replication.confirmed.done():
            replication.confirmed.set_result(None)
        if not replication.unconfirmed and not replication.round_complete.done():
            replication.round_complete.set_result(None)

    def on_members_changed(self) -> None:
        """Renew the copies that have been lost with their nodes."""
        for replication in self._replication_by_stream.values():
            if replication.task.done() and self._missing(replication):
                self._start(replication)

    def stop(self) -> None:
        """Stop all replication."""
        for task in self._tasks:
            task.cancel()

    def _start(self, replication: _Replication) -> None:
        replication.task = asyncio.create_task(self._copy(replication))
        self._tasks.add(replication.task)
        replication.task.add_done_callback(self._tasks.discard)

    async def _copy(self, replication: _Replication) -> None:
        """Copy an origin until as many nodes as possible have it, or it expires."""
        while self._clock() < replication.expires_at:
            missing = self._missing(replication)
            if not missing:
                break
            silent = await self._copy_to(replication, missing)
            if not silent:
                break
            # Other nodes take the place of those that do not answer.
            for member in silent:
                self._choice.on_silence(member, SILENCE_S)
        if not replication.confirmed.done():
            # There is no other node that could keep a copy.
            replication.confirmed.set_result(None)

    async def _copy_to(
        self, replication: _Replication, members: list[Member]
    ) -> list[Member]:
        """Send copies to some nodes; return those that did not confirm any."""
        numbers: list[int] = []
        for pause_s in RESEND_AFTER_S:
            replication.round_complete = asyncio.get_running_loop().create_future()
            replication.unconfirmed = {member.id for member in members}
            numbers += [self._send_copy(replication, member) for member in members]
            await stall_aware_wait(replication.round_complete, pause_s)
            members = [member for member in members if not replication.is_at(member)]
            if not members:
                break
        for number in numbers:
            self._sent.pop(number, None)
        return members

    def _missing(self, replication: _Replication) -> list[Member]:
        """Return the replicas that have no copy yet."""
        replicas = self._choice.replicas(replication.stream)
        return [member for member in replicas if not replication.is_at(member)]

    def _send_copy(self, replication: _Replication, member: Member) -> int:
        number = next(self._numbers)
        self._sent[number] = (replication, member)
        ttl_s = max(0.0, replication.expires_at - self._clock())
        message = Store(number, replication.stream, replication.origin, round(ttl_s, 1))
        self._send(member.gossip, message)
        return number
