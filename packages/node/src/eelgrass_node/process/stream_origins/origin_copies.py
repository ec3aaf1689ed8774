"""Copies the origins of streams to a few other nodes.

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

__all__ = ["OriginCopies", "SendMessage"]

SendMessage = Callable[[str, OriginMessage], None]

# Pauses after which a copy is sent again unless it is confirmed: datagrams may be lost.
RESEND_AFTER_S = (0.03, 0.1, 0.3)
# A node that has not confirmed any of them is passed over for this long. It may be
# dead, partitioned off, or of a release that does not know these messages.
SILENCE_S = 5.0


class _Copying:
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


class OriginCopies:
    """The copies that this node makes; ``send`` sends a message to an address."""

    def __init__(
        self, choice: ReplicaChoice, send: SendMessage, clock: Callable[[], float]
    ) -> None:
        self._choice = choice
        self._send = send
        self._clock = clock
        self._numbers = itertools.count(1)
        self._sent: dict[int, tuple[_Copying, Member]] = {}
        self._copying_by_stream: dict[str, _Copying] = {}
        self._tasks: set[asyncio.Task] = set()

    def copy(self, stream: str, origin: StreamOrigin, for_s: float) -> asyncio.Future:
        """Begin to copy an origin; return a future that the first copy completes.

        The copies are renewed as nodes come and go until :meth:`release` is called.
        """
        copying = _Copying(stream, origin, self._clock() + for_s)
        self._copying_by_stream[stream] = copying
        self._start(copying)
        return copying.confirmed

    def release(self, stream: str) -> None:
        """Stop renewing the copies of a stream, which this node no longer serves."""
        self._copying_by_stream.pop(stream, None)

    def hand_over(self, items: Iterable[tuple[str, StreamOrigin, float]]) -> None:
        """Copy origins to other nodes, because this node is leaving."""
        for stream, origin, for_s in items:
            self._start(_Copying(stream, origin, self._clock() + for_s))

    def on_confirm(self, number: int) -> None:
        """Record that a copy has arrived."""
        copying, member = self._sent.pop(number, (None, None))
        if copying is None:
            return
        self._choice.on_answer(member)
        copying.epoch_by_replica[member.id] = member.epoch
        copying.unconfirmed.discard(member.id)
        if not copying.confirmed.done():
            copying.confirmed.set_result(None)
        if not copying.unconfirmed and not copying.round_complete.done():
            copying.round_complete.set_result(None)

    def on_members_changed(self) -> None:
        """Renew the copies that have been lost with their nodes."""
        for copying in self._copying_by_stream.values():
            if copying.task.done() and self._missing(copying):
                self._start(copying)

    def stop(self) -> None:
        """Stop all copying."""
        for task in self._tasks:
            task.cancel()

    def _start(self, copying: _Copying) -> None:
        copying.task = asyncio.create_task(self._copy(copying))
        self._tasks.add(copying.task)
        copying.task.add_done_callback(self._tasks.discard)

    async def _copy(self, copying: _Copying) -> None:
        """Copy an origin until as many nodes as possible have it, or it expires."""
        while self._clock() < copying.expires_at:
            missing = self._missing(copying)
            if not missing:
                break
            silent = await self._copy_to(copying, missing)
            if not silent:
                break
            # Other nodes take the place of those that do not answer.
            for member in silent:
                self._choice.on_silence(member, SILENCE_S)
        if not copying.confirmed.done():
            # There is no other node that could keep a copy.
            copying.confirmed.set_result(None)

    async def _copy_to(self, copying: _Copying, members: list[Member]) -> list[Member]:
        """Send copies to some nodes; return those that did not confirm any."""
        numbers: list[int] = []
        for pause_s in RESEND_AFTER_S:
            copying.round_complete = asyncio.get_running_loop().create_future()
            copying.unconfirmed = {member.id for member in members}
            numbers += [self._send_copy(copying, member) for member in members]
            await stall_aware_wait(copying.round_complete, pause_s)
            members = [member for member in members if not copying.is_at(member)]
            if not members:
                break
        for number in numbers:
            self._sent.pop(number, None)
        return members

    def _missing(self, copying: _Copying) -> list[Member]:
        """Return the replicas that have no copy yet."""
        replicas = self._choice.replicas(copying.stream)
        return [member for member in replicas if not copying.is_at(member)]

    def _send_copy(self, copying: _Copying, member: Member) -> int:
        number = next(self._numbers)
        self._sent[number] = (copying, member)
        for_s = max(0.0, copying.expires_at - self._clock())
        message = Store(number, copying.stream, copying.origin, round(for_s, 1))
        self._send(member.gossip, message)
        return number
