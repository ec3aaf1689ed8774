"""Membership by probing, with news carried on the probes.

Each period a node probes one member over UDP, in a shuffled order, so that the
load on a node does not grow with the number of nodes. A member that answers
neither directly nor through others is suspected and, unless it denies that in
time, held dead. Members held dead are probed now and then, which heals a
partition. The scheme is that of SWIM (Das, Gupta and Motivala, 2002).

Every message also carries the sender's configuration revision and recent
marks, such as back ends that are leaving. Urgent news is pushed at once to a
few members, each of which pushes it on the first time it hears it. What a member
has missed it gets where it compares its records with those of another
(:mod:`.comparison`): some others after its start, and any whose digest differs.

Example::

    membership = Membership(own, seeds, interval_s=1.0)
    await membership.start()
    await membership.leave()
"""

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from .anti_entropy import AntiEntropy
from .datagrams import Datagrams
from .gossip_items import GossipItems
from .ids import NodeId, Revision
from .members import Member, MemberState, MemberTable
from .messages import BroadcastQueue, Exchange, GossipItem, Message, MessageKind
from .running_time import stall_aware_wait
from .suspicion import Suspicions

__all__ = ["Membership"]

# Part of an interval, after which others probe a member, too: by a second way.
ACK_FRACTION = 0.3
HELPERS = 3
# News that is urgent goes to so many, and from each of them on: 195 in four rounds.
FAN_OUT = 4
# Records and marks of one message fit into one packet.
MAX_UPDATES = 8
MAX_MARKS = 8
# One that is held dead is probed every so many periods, which heals a cut in seconds.
DEAD_PROBE_PERIODS = 5
# All members may start at once: a greeting is then lost where its seed is not up
# yet. It is repeated so often, for so many intervals, until the seed is heard of.
GREETINGS_PER_INTERVAL = 5
GREETING_INTERVALS = 4
# Changes of members are pushed, those that come within this part of an interval
# together: a small group that starts as a whole agrees within half an interval.
PUSH_FRACTION = 0.05
# A node that has started compares its records with so many others, one with each
# greeting: each time it knows about twice as many, and 400 after eight.
START_COMPARISONS = 8


class Membership:
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
        self.on_gossip_item: Callable[[GossipItem], None] = _ignore
        self.on_change: Callable[[], None] = _ignore
        self.on_ack: Callable[[Member], None] = _ignore
        self._seeds = [seed for seed in seeds if seed != own.gossip]
        self._interval_s = interval_s
        self._random = randomness or random.Random()
        self._datagrams = Datagrams(self._receive)
        self._updates = BroadcastQueue()
        self._marks = GossipItems()
        self._ring: list[NodeId] = []
        self._numbers = itertools.count(1)
        self._awaited: dict[int, asyncio.Future] = {}
        self._relayed: dict[int, tuple[str, int]] = {}
        self._suspicions = Suspicions()
        self._comparison = AntiEntropy(self._live, self._send)
        self._period = 0
        self._tasks: list[asyncio.Task] = []
        self._push_timer: asyncio.TimerHandle | None = None

    @property
    def sent_messages(self) -> int:
        """How many messages were sent."""
        return self._datagrams.sent

    @property
    def sent_bytes(self) -> int:
        """How many bytes the messages had together."""
        return self._datagrams.sent_bytes

    async def start(self) -> None:
        """Listen, greet the seeds and begin to probe."""
        await self._datagrams.open(self.own.gossip)
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
        self._datagrams.close()

    def probe(self, member: Member) -> None:
        """Probe a member now; ``on_ack`` is told if it answers."""
        self._send(member.gossip, MessageKind.PROBE, next(self._numbers))

    def announce_revision(self, revision: Revision) -> None:
        """Tell of a new configuration revision at once."""
        if revision > self.revision:
            self.revision = revision
            self._push()

    def announce_gossip_item(self, mark: GossipItem) -> bool:
        """Tell of a mark at once; returns whether it was news here."""
        return bool(self.announce_gossip_items([mark]))

    def announce_gossip_items(self, marks: Iterable[GossipItem]) -> list[GossipItem]:
        """Tell of marks at once; returns those that were news here."""
        times = self._retransmissions()
        news = [mark for mark in marks if self._marks.take(mark, self._period, times)]
        for _ in range(0, len(news), MAX_MARKS):
            self._push()
        return news

    def exchange(self) -> Exchange:
        """Return all that is known here, for another node."""
        return Exchange((self.own, *self.members.by_id.values()), self._marks.all())

    def apply_exchange(self, theirs: Exchange) -> None:
        """Take in all that another node knows."""
        self._take(theirs.members, theirs.marks)

    def _take(self, members: Iterable[Member], marks: Iterable[GossipItem]) -> None:
        self._merge_all(members)
        for mark in self.announce_gossip_items(marks):
            self.on_gossip_item(mark)

    def _receive(self, message: Message) -> None:
        if message.sender.id == self.own.id:
            self._refute_if_needed(message.sender)
            return
        if message.kind is MessageKind.RECORDS:
            self._take((message.sender,), message.marks)
            self._take_records(message)
        else:
            self._take((message.sender, *message.updates), message.marks)
        if message.sender.state is not MemberState.LEFT:
            age_s = message.confirmed_ms / 1000
            self.on_revision(message.revision, message.sender, age_s)
        self._answer(message)

    def _answer(self, message: Message) -> None:
        if message.kind is MessageKind.PROBE:
            self._send(message.sender.gossip, MessageKind.ACK, message.number)
        elif message.kind is MessageKind.PROBE_FOR and message.target is not None:
            number = next(self._numbers)
            self._relayed[number] = (message.sender.gossip, message.number)
            self._send(message.target.gossip, MessageKind.PROBE, number)
        elif message.kind is MessageKind.ACK:
            self._note_ack(message.number)
            self.on_ack(message.sender)
            self._comparison.begin_if_different(message)
        elif message.kind in (MessageKind.COMPARE, MessageKind.COMPARE_BACK):
            self._comparison.answer(message)

    def _take_records(self, message: Message) -> None:
        """Take in records that this node lacked, and answer older ones with newer.

        Others have told of them already, so they are not passed on as news.
        """
        newer = [
            known
            for record in message.updates
            if (known := self.members.by_id.get(record.id)) and known.supersedes(record)
        ]
        self._merge_all(message.updates, pass_on=False)
        self._comparison.send_records(message.sender, newer)

    def _note_ack(self, number: int) -> None:
        awaited = self._awaited.get(number)
        if awaited is not None and not awaited.done():
            awaited.set_result(True)
        relayed = self._relayed.pop(number, None)
        if relayed is not None:
            self._send(relayed[0], MessageKind.ACK, relayed[1])

    async def _join(self) -> None:
        """Greet the seeds until each is heard of, and compare with some others."""
        for step in range(GREETINGS_PER_INTERVAL * GREETING_INTERVALS):
            heard = {member.gossip for member in self.members.reachable()}
            missing = [seed for seed in self._seeds if seed not in heard]
            if not missing and step > START_COMPARISONS:
                return
            self._greet(missing)
            if step <= START_COMPARISONS:
                for member in self._sample(self.members.reachable(), 1):
                    self._comparison.begin(member)
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
        number = next(self._numbers)
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
        return await stall_aware_wait(answered, self._interval_s * fraction)

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
        if known is not None and known.state is MemberState.ALIVE:
            suspect = msgspec.structs.replace(known, state=MemberState.SUSPECT)
            self._merge_all([suspect])

    def _judge_suspects(self) -> None:
        due = (
            self.members.by_id.get(n) for n in self._suspicions.take_dead(self._period)
        )
        self._merge_all(
            msgspec.structs.replace(member, state=MemberState.DEAD)
            for member in due
            if member is not None and member.state is MemberState.SUSPECT
        )
        for node in self._suspicions.take_forgotten(self._period):
            self.members.forget(node)
        self._marks.forget_old(self._period)

    def _probe_dead(self) -> None:
        for dead in self._sample(self.members.unreachable(), 1):
            self._send(dead.gossip, MessageKind.PROBE, about=dead)
        if not self.members.reachable():
            self._greet(self._seeds)

    def _greet(self, seeds: Iterable[str]) -> None:
        for seed in seeds:
            self._send(seed, MessageKind.PROBE)

    def _merge_all(self, members: Iterable[Member], pass_on: bool = True) -> None:
        """Take in records, and tell once where the set of members has changed."""
        changes = [self._take_record(member, pass_on) for member in members]
        if any(changes):
            if pass_on:
                self._push_soon()
            self.on_change()

    def _take_record(self, member: Member, pass_on: bool) -> bool:
        """Take in a record; return whether its member has come, gone or changed."""
        if member.id == self.own.id:
            self._refute_if_needed(member)
            return False
        known = self.members.by_id.get(member.id)
        if not self.members.merge(member):
            return False
        if pass_on:
            self._note_update(member)
        self._suspicions.note(member, self._period)
        return known is None or known.state is not member.state

    def _live(self) -> list[Member]:
        return [self.own, *self.members.reachable()]

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
            later = asyncio.get_running_loop().call_later
            self._push_timer = later(self._interval_s * PUSH_FRACTION, self._push)

    def _push(self) -> None:
        if self._push_timer is not None:
            self._push_timer.cancel()
            self._push_timer = None
        for member in self._sample(self.members.reachable(), FAN_OUT):
            self._send(member.gossip, MessageKind.NEWS)

    def _sample(self, members: list[Member], most: int) -> list[Member]:
        return self._random.sample(members, min(most, len(members)))

    def _send(
        self,
        address: str,
        kind: MessageKind,
        number: int = 0,
        about: Member | None = None,
        target: Member | None = None,
        *,
        fingerprints: bytes = b"",
        records: tuple[Member, ...] = (),
    ) -> None:
        if not self._datagrams.is_open:
            return
        updates = records or self._updates.take(MAX_UPDATES)
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
            marks=self._marks.to_send(MAX_MARKS),
            digest=self._comparison.digest(),
            fingerprints=fingerprints,
        )
        self._datagrams.send(address, message)


def _ignore(*arguments: object) -> None:
    """Do nothing, as every callback does by default."""
