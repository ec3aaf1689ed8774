"""Membership by probing, with news carried on the probes.

Each period a node probes one member over UDP, in a shuffled order, so that the
load on a node does not grow with the number of nodes. A member that answers
neither directly nor through others is suspected and, unless it denies that in
time, held dead. Members held dead are probed now and then, which heals a
partition. The scheme is that of SWIM (Das, Gupta and Motivala, 2002).

Every message also carries the sender's configuration revision and recent
marks, such as back ends that are leaving. Urgent news is pushed at once to a
few members, each of which pushes it on the first time it hears it.

Example::

    membership = Membership(own, seeds, interval_s=1.0)
    await membership.start()
    ...
    await membership.leave()
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from .ids import NodeId, Revision
from .members import Member, MemberState, MemberTable
from .messages import Exchange, Mark, Message, MessageKind, Outbox

__all__ = ["Membership"]

ACK_FRACTION = 0.3
SUSPICION_PERIODS = 4
HELPERS = 3
FAN_OUT = 4
MAX_UPDATES = 8
MAX_MARKS = 8
DEAD_PROBE_PERIODS = 5
FORGET_PERIODS = 7200
# All members may start at once: a greeting is then lost where its seed is not up
# yet. It is repeated so often, for so many intervals, until the seed is heard of.
GREETINGS_PER_INTERVAL = 5
GREETING_INTERVALS = 4
# Changes of members are pushed at once, those that come within this part of an
# interval together: a group that starts as a whole agrees on its members within
# half an interval instead of four.
PUSH_FRACTION = 0.05


class Membership(asyncio.DatagramProtocol):
    """The membership of one node; its own record is ``own``.

    ``on_revision`` is told of a revision with the member that has it and the
    age of its confirmation in seconds; ``on_mark`` of a mark the first time;
    ``on_change`` whenever the set of members has changed; ``on_ack`` of a member
    that has answered a probe, which proves the way there and back.
    """

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str] = (),
        interval_s: float = 1.0,
        randomness: random.Random | None = None,
    ) -> None:
        self.own = own
        self.members = MemberTable()
        self.revision = Revision(0)
        self.confirmed_s: Callable[[], float] = lambda: 0.0
        self.on_revision: Callable[[Revision, Member, float], None] = _ignore
        self.on_mark: Callable[[Mark], None] = _ignore
        self.on_change: Callable[[], None] = _ignore
        self.on_ack: Callable[[Member], None] = _ignore
        self.sent_messages = 0
        self.sent_bytes = 0
        self._seeds = [seed for seed in seeds if seed != own.gossip]
        self._interval_s = interval_s
        self._random = randomness or random.Random()
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(Message)
        self._updates = Outbox()
        self._marks_out = Outbox()
        self._marks: dict[tuple[str, str], tuple[int, int]] = {}
        self._ring: list[NodeId] = []
        self._number = 0
        self._awaited: dict[int, asyncio.Future] = {}
        self._relayed: dict[int, tuple[str, int]] = {}
        self._suspected_at: dict[NodeId, int] = {}
        self._dead_at: dict[NodeId, int] = {}
        self._period = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task] = []
        self._push_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen, greet the seeds and begin to probe."""
        host, _, port = self.own.gossip.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host.strip("[]"), int(port))
        )
        self._note_update(self.own)
        self._tasks = [
            asyncio.create_task(self._join()),
            asyncio.create_task(self._run()),
        ]

    async def leave(self) -> None:
        """Tell others that this node leaves, then stop."""
        self.own = msgspec.structs.replace(self.own, state=MemberState.LEFT)
        for member in self._sample(self.members.reachable(), FAN_OUT * 2):
            self._send(member.gossip, MessageKind.NEWS)
        await self.stop()

    async def stop(self) -> None:
        """Stop without a word, as a crash would."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._push_timer is not None:
            self._push_timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def probe(self, member: Member) -> None:
        """Probe a member now; ``on_ack`` is told if it answers."""
        self._send(member.gossip, MessageKind.PROBE, self._next_number())

    def announce_revision(self, revision: Revision) -> None:
        """Tell of a new configuration revision at once."""
        if revision > self.revision:
            self.revision = revision
            self._push()

    def announce_mark(self, mark: Mark) -> bool:
        """Tell of a mark at once; returns whether it was news here."""
        key = (mark.kind, mark.name)
        known = self._marks.get(key)
        if known is not None and known[0] >= mark.number:
            return False
        self._marks[key] = (mark.number, self._period)
        self._marks_out.put(key, mark, self._retransmissions())
        self._push()
        return True

    def exchange(self) -> Exchange:
        """Return all that is known here, for another node."""
        members = (self.own, *self.members.by_id.values())
        marks = (Mark(*key, known[0]) for key, known in self._marks.items())
        return Exchange(members, tuple(marks))

    def take_exchange(self, theirs: Exchange) -> None:
        """Take in all that another node knows."""
        self._take(theirs.members, theirs.marks)

    def _take(self, members: Iterable[Member], marks: Iterable[Mark]) -> None:
        for member in members:
            self._merge(member)
        for mark in marks:
            if self.announce_mark(mark):
                self.on_mark(mark)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Handle one datagram; one that cannot be read is dropped."""
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError:
            return
        if message.sender.id == self.own.id:
            self._refute_if_needed(message.sender)
            return
        self._take((message.sender, *message.updates), message.marks)
        if message.sender.state is not MemberState.LEFT:
            age_s = message.confirmed_ms / 1000
            self.on_revision(message.revision, message.sender, age_s)
        self._answer(message)

    def _answer(self, message: Message) -> None:
        if message.kind is MessageKind.PROBE:
            self._send(message.sender.gossip, MessageKind.ACK, message.number)
        elif message.kind is MessageKind.PROBE_FOR and message.target is not None:
            number = self._next_number()
            self._relayed[number] = (message.sender.gossip, message.number)
            self._send(message.target.gossip, MessageKind.PROBE, number)
        elif message.kind is MessageKind.ACK:
            self._note_ack(message.number)
            self.on_ack(message.sender)

    def _note_ack(self, number: int) -> None:
        awaited = self._awaited.get(number)
        if awaited is not None and not awaited.done():
            awaited.set_result(True)
        relayed = self._relayed.pop(number, None)
        if relayed is not None:
            self._send(relayed[0], MessageKind.ACK, relayed[1])

    async def _join(self) -> None:
        """Greet the seeds until each is heard of, or is given up for down."""
        for _ in range(GREETINGS_PER_INTERVAL * GREETING_INTERVALS):
            heard = {member.gossip for member in self.members.reachable()}
            missing = [seed for seed in self._seeds if seed not in heard]
            if not missing:
                return
            for seed in missing:
                self._send(seed, MessageKind.PROBE)
            await asyncio.sleep(self._interval_s / GREETINGS_PER_INTERVAL)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            self._period += 1
            await self._probe_next()
            self._judge_suspects()
            if self._period % DEAD_PROBE_PERIODS == 0:
                self._probe_dead()
                self._relayed.clear()
            rest = self._interval_s - (loop.time() - began)
            await asyncio.sleep(max(0.0, rest))

    async def _probe_next(self) -> None:
        member = self._next_in_ring()
        if member is None:
            return
        number = self._next_number()
        answered = asyncio.get_running_loop().create_future()
        self._awaited[number] = answered
        try:
            self._send(member.gossip, MessageKind.PROBE, number, about=member)
            if await self._within(answered, ACK_FRACTION):
                return
            helpers = [m for m in self.members.reachable() if m.id != member.id]
            for helper in self._sample(helpers, HELPERS):
                self._send(helper.gossip, MessageKind.PROBE_FOR, number, target=member)
            if not await self._within(answered, 1 - ACK_FRACTION):
                self._suspect(member)
        finally:
            del self._awaited[number]

    async def _within(self, answered: asyncio.Future, fraction: float) -> bool:
        timeout = self._interval_s * fraction
        await asyncio.wait({answered}, timeout=timeout)
        return answered.done()

    def _next_in_ring(self) -> Member | None:
        while True:
            if not self._ring:
                self._ring = [m.id for m in self.members.reachable()]
                self._random.shuffle(self._ring)
                if not self._ring:
                    return None
            member = self.members.by_id.get(self._ring.pop())
            if member and member.state in (MemberState.ALIVE, MemberState.SUSPECT):
                return member

    def _suspect(self, member: Member) -> None:
        known = self.members.by_id.get(member.id)
        if known is None or known.state is not MemberState.ALIVE:
            return
        self._merge(msgspec.structs.replace(known, state=MemberState.SUSPECT))

    def _judge_suspects(self) -> None:
        for node, since in list(self._suspected_at.items()):
            if self._period - since < SUSPICION_PERIODS:
                continue
            known = self.members.by_id.get(node)
            del self._suspected_at[node]
            if known is not None and known.state is MemberState.SUSPECT:
                self._merge(msgspec.structs.replace(known, state=MemberState.DEAD))
        for node, since in list(self._dead_at.items()):
            if self._period - since >= FORGET_PERIODS:
                del self._dead_at[node]
                self.members.forget(node)
        for key, (_, since) in list(self._marks.items()):
            if self._period - since >= FORGET_PERIODS:
                del self._marks[key]

    def _probe_dead(self) -> None:
        dead = self._sample(self.members.unreachable(), 1)
        for member in dead:
            self._send(member.gossip, MessageKind.PROBE, about=member)
        if not self.members.reachable():
            self._greet_seeds()

    def _greet_seeds(self) -> None:
        for seed in self._seeds:
            self._send(seed, MessageKind.PROBE)

    def _merge(self, member: Member) -> None:
        if member.id == self.own.id:
            self._refute_if_needed(member)
            return
        known = self.members.by_id.get(member.id)
        if not self.members.merge(member):
            return
        self._note_update(member)
        self._suspected_at.pop(member.id, None)
        self._dead_at.pop(member.id, None)
        if member.state is MemberState.SUSPECT:
            self._suspected_at[member.id] = self._period
        elif member.state in (MemberState.DEAD, MemberState.LEFT):
            self._dead_at[member.id] = self._period
        if known is None or known.state is not member.state:
            self._push_soon()
            self.on_change()

    def _refute_if_needed(self, said: Member) -> None:
        """Deny a record of ourselves that says other than we are."""
        own = self.own
        if own.state is MemberState.LEFT or not said.supersedes(own):
            return
        self.own = msgspec.structs.replace(
            own, epoch=max(own.epoch, said.epoch), version=said.version + 1
        )
        self._note_update(self.own)
        self._push()

    def _note_update(self, member: Member) -> None:
        self._updates.put(member.id, member, self._retransmissions())

    def _retransmissions(self) -> int:
        return 3 * math.ceil(math.log2(len(self.members.by_id) + 2))

    def _push_soon(self) -> None:
        """Push what has changed, with what else changes meanwhile."""
        if self._push_timer is None:
            loop = asyncio.get_running_loop()
            wait_s = self._interval_s * PUSH_FRACTION
            self._push_timer = loop.call_later(wait_s, self._push_changes)

    def _push_changes(self) -> None:
        self._push_timer = None
        self._push()

    def _push(self) -> None:
        for member in self._sample(self.members.reachable(), FAN_OUT):
            self._send(member.gossip, MessageKind.NEWS)

    def _sample(self, members: list[Member], most: int) -> list[Member]:
        return self._random.sample(members, min(most, len(members)))

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _send(
        self,
        address: str,
        kind: MessageKind,
        number: int = 0,
        about: Member | None = None,
        target: Member | None = None,
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        updates = self._updates.take(MAX_UPDATES)
        if about is not None and about not in updates:
            # It must hear what is said of it, to be able to deny it.
            updates += (about,)
        message = Message(
            kind=kind,
            sender=self.own,
            number=number,
            target=target,
            revision=self.revision,
            confirmed_ms=int(self.confirmed_s() * 1000),
            updates=updates,
            marks=self._marks_out.take(MAX_MARKS),
        )
        data = self._encoder.encode(message)
        self.sent_messages += 1
        self.sent_bytes += len(data)
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host.strip("[]"), int(port)))


def _ignore(*arguments: object) -> None:
    """Do nothing; the default of every callback."""
