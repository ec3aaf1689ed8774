"""Membership protocol: failure detection by probes, with piggybacked gossip.

In each period a node probes one member over UDP, in a shuffled order, so that the load
on a node does not grow with the number of nodes. A member that answers neither
directly nor through other members is suspected and, unless it refutes that in time,
considered dead. Members that are gone are probed, too (:mod:`.absent_members`), as they
may start again or have been partitioned off. The protocol follows SWIM (Das, Gupta and
Motivala, 2002).

Every message also carries the sender's configuration revision and recent gossip items,
such as backend servers that are leaving. Urgent updates are pushed at once to a few
members, each of which pushes them on when it first receives them. A member gets the
updates that it missed by anti-entropy (:mod:`.anti_entropy`): it compares its records
with some members after its start, and with any member whose digest differs.

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

from .absent_members import AbsentMembers
from .anti_entropy import AntiEntropy
from .datagrams import Datagrams
from .gossip_items import GossipItems
from .ids import NodeId, Revision
from .joining import join
from .members import Member, MemberState, MemberTable
from .messages import BroadcastQueue, Exchange, GossipItem, Message, MessageKind
from .running_time import stall_aware_wait
from .suspicion import Suspicions

__all__ = ["Membership"]

# Fraction of an interval after which other members are asked to probe a member that has
# not answered, over other network paths.
ACK_FRACTION = 0.3
INDIRECT_PROBES = 3
# Members that an urgent update is pushed to by each node: four rounds reach 195 nodes.
FANOUT = 4
# Limits that keep the records and gossip items of a message within one packet.
MAX_UPDATES = 8
MAX_GOSSIP_ITEMS = 8
# Periods after which indirect probes without an answer are dropped.
INDIRECT_PROBE_PERIODS = 5
# Changes of members are batched for this fraction of an interval and then pushed. A
# small group whose members all start at once agrees within half an interval.
PUSH_FRACTION = 0.05


class Membership:
    """The membership of one node; its own record is ``own``.

    ``on_revision`` is called with a received configuration revision, the member that
    has it and the age of its confirmation in seconds, ``on_gossip_item`` with each new
    gossip item, ``on_change`` when members have come, gone or restarted, and ``on_ack``
    with a member that has answered a probe, which shows that both directions of the
    network path work. Payloads of other protocols pass through ``datagrams``.
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
        self._interval_s = interval_s
        self._random = randomness or random.Random()
        self.datagrams = Datagrams(self._receive)
        self._updates = BroadcastQueue()
        self._gossip_items = GossipItems()
        self._probe_order: list[NodeId] = []
        self._numbers = itertools.count(1)
        self._pending_probes: dict[int, asyncio.Future] = {}
        self._indirect_probes: dict[int, tuple[str, int]] = {}
        self._suspicions = Suspicions()
        self._absent = AbsentMembers(
            self.members,
            self._suspicions,
            [seed for seed in seeds if seed != own.gossip],
            self._send_probe,
            interval_s,
            self._random,
        )
        self._anti_entropy = AntiEntropy(self._live_members, self._send)
        self._period = 0
        self._has_left = False
        self._tasks: list[asyncio.Task] = []
        self._push_timer: asyncio.TimerHandle | None = None

    @property
    def sent_messages(self) -> int:
        """The number of messages sent."""
        return self.datagrams.sent

    @property
    def sent_bytes(self) -> int:
        """The total size of the messages sent, in bytes."""
        return self.datagrams.sent_bytes

    async def start(self) -> None:
        """Listen, contact the seeds and start probing."""
        await self.datagrams.open(self.own.gossip)
        self._queue_update(self.own)
        self._tasks = [
            asyncio.create_task(
                join(
                    self.members,
                    self._absent,
                    self._anti_entropy,
                    self._interval_s,
                    self._random,
                )
            ),
            asyncio.create_task(self._run()),
        ]

    async def leave(self) -> None:
        """Announce that this node leaves; only payloads pass from then on."""
        self.own = msgspec.structs.replace(self.own, state=MemberState.LEFT)
        for member in self._sample(self.members.reachable(), FANOUT * 2):
            self._send(member.gossip, MessageKind.GOSSIP)
        self._has_left = True
        await self._stop_tasks()

    async def stop(self) -> None:
        """Stop at once; without :meth:`leave` before, it looks like a crash."""
        await self._stop_tasks()
        self.datagrams.close()

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._absent.stop()
        if self._push_timer is not None:
            self._push_timer.cancel()

    def probe(self, member: Member) -> None:
        """Probe a member now; ``on_ack`` is called if it answers."""
        self._send(member.gossip, MessageKind.PROBE, next(self._numbers))

    def announce_revision(self, revision: Revision) -> None:
        """Push a new configuration revision to other members at once."""
        if revision > self.revision:
            self.revision = revision
            self._push()

    def announce_gossip_item(self, item: GossipItem) -> bool:
        """Push a gossip item at once; return whether it was new to this node."""
        return bool(self.announce_gossip_items([item]))

    def announce_gossip_items(self, items: Iterable[GossipItem]) -> list[GossipItem]:
        """Push gossip items at once; return those that were new to this node."""
        times = self._retransmissions()
        new_items = [
            item
            for item in items
            if self._gossip_items.apply(item, self._period, times)
        ]
        for _ in range(0, len(new_items), MAX_GOSSIP_ITEMS):
            self._push()
        return new_items

    def exchange(self) -> Exchange:
        """Return all records and gossip items of this node, for another node."""
        return Exchange(
            (self.own, *self.members.by_id.values()), self._gossip_items.all()
        )

    def apply_exchange(self, theirs: Exchange) -> None:
        """Apply all records and gossip items of another node."""
        self._apply(theirs.members, theirs.marks)

    def _apply(self, members: Iterable[Member], items: Iterable[GossipItem]) -> None:
        self._merge_records(members)
        for item in self.announce_gossip_items(items):
            self.on_gossip_item(item)

    def _receive(self, message: Message) -> None:
        if self._has_left:
            return
        if message.sender.id == self.own.id:
            self._refute_if_needed(message.sender)
            return
        if message.kind is MessageKind.RECORDS:
            self._apply((message.sender,), message.marks)
            self._on_records(message)
        else:
            self._apply((message.sender, *message.updates), message.marks)
        if message.sender.state is not MemberState.LEFT:
            age_s = message.confirmed_ms / 1000
            self.on_revision(message.revision, message.sender, age_s)
        self._answer(message)

    def _answer(self, message: Message) -> None:
        if message.kind is MessageKind.PROBE:
            self._send(message.sender.gossip, MessageKind.ACK, message.number)
        elif message.kind is MessageKind.PROBE_FOR and message.target is not None:
            number = next(self._numbers)
            self._indirect_probes[number] = (message.sender.gossip, message.number)
            self._send(message.target.gossip, MessageKind.PROBE, number)
        elif message.kind is MessageKind.ACK:
            self._resolve_ack(message.number)
            self.on_ack(message.sender)
            self._anti_entropy.begin_if_different(message)
        elif message.kind in (MessageKind.COMPARE, MessageKind.COMPARE_BACK):
            self._anti_entropy.answer(message)

    def _on_records(self, message: Message) -> None:
        """Apply records that this node lacked, and reply to older ones with newer.

        The other members already gossip these records, so they are not passed on.
        """
        newer = [
            known
            for record in message.updates
            if (known := self.members.by_id.get(record.id)) and known.supersedes(record)
        ]
        self._merge_records(message.updates, pass_on=False)
        self._anti_entropy.send_records(message.sender, newer)

    def _resolve_ack(self, number: int) -> None:
        answered = self._pending_probes.get(number)
        if answered is not None and not answered.done():
            answered.set_result(True)
        origin = self._indirect_probes.pop(number, None)
        if origin is not None:
            self._send(origin[0], MessageKind.ACK, origin[1])

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            self._period += 1
            await self._probe_next()
            self._expire_suspicions()
            self._absent.begin_period(self._period)
            if self._period % INDIRECT_PROBE_PERIODS == 0:
                self._indirect_probes.clear()
            rest_s = self._interval_s - (loop.time() - started_at)
            await asyncio.sleep(max(0.0, rest_s))

    async def _probe_next(self) -> None:
        member = self._next_to_probe()
        if member is None:
            return
        number = next(self._numbers)
        answered = asyncio.get_running_loop().create_future()
        self._pending_probes[number] = answered
        try:
            self._send(member.gossip, MessageKind.PROBE, number, subject=member)
            if await self._answered_within(answered, ACK_FRACTION):
                return
            peers = [m for m in self.members.reachable() if m.id != member.id]
            for peer in self._sample(peers, INDIRECT_PROBES):
                self._send(peer.gossip, MessageKind.PROBE_FOR, number, target=member)
            if not await self._answered_within(answered, 1 - ACK_FRACTION):
                self._suspect(member)
        finally:
            del self._pending_probes[number]

    async def _answered_within(self, answered: asyncio.Future, fraction: float) -> bool:
        return await stall_aware_wait(answered, self._interval_s * fraction)

    def _next_to_probe(self) -> Member | None:
        while True:
            if not self._probe_order:
                self._probe_order = [m.id for m in self.members.reachable()]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.members.by_id.get(self._probe_order.pop())
            if member and member.state in (MemberState.ALIVE, MemberState.SUSPECT):
                return member

    def _suspect(self, member: Member) -> None:
        known = self.members.by_id.get(member.id)
        if known is not None and known.state is MemberState.ALIVE:
            suspect = msgspec.structs.replace(known, state=MemberState.SUSPECT)
            self._merge_records([suspect])

    def _expire_suspicions(self) -> None:
        due = (
            self.members.by_id.get(n)
            for n in self._suspicions.pop_expired_suspects(self._period)
        )
        self._merge_records(
            msgspec.structs.replace(member, state=MemberState.DEAD)
            for member in due
            if member is not None and member.state is MemberState.SUSPECT
        )
        for node in self._suspicions.pop_forgotten(self._period):
            self.members.forget(node)
        self._gossip_items.forget_old(self._period)

    def _send_probe(self, address: str, member: Member | None) -> None:
        self._send(address, MessageKind.PROBE, subject=member)

    def _merge_records(self, members: Iterable[Member], pass_on: bool = True) -> None:
        """Apply records; call ``on_change`` once if the set of members has changed."""
        changes = [self._merge_record(member, pass_on) for member in members]
        if any(changes):
            if pass_on:
                self._schedule_push()
            self.on_change()

    def _merge_record(self, member: Member, pass_on: bool) -> bool:
        """Apply a record; return whether its member is new, or its start or state."""
        if member.id == self.own.id:
            self._refute_if_needed(member)
            return False
        known = self.members.by_id.get(member.id)
        if not self.members.merge(member):
            return False
        if pass_on:
            self._queue_update(member)
        self._suspicions.record(member, self._period)
        self._absent.on_change()
        if known is None:
            return True
        return (known.epoch, known.state) != (member.epoch, member.state)

    def _live_members(self) -> list[Member]:
        return [self.own, *self.members.reachable()]

    def _refute_if_needed(self, claimed: Member) -> None:
        """Refute a record of this node that supersedes its own."""
        own = self.own
        if own.state is MemberState.LEFT or not claimed.supersedes(own):
            return
        self.own = msgspec.structs.replace(
            own, epoch=max(own.epoch, claimed.epoch), version=claimed.version + 1
        )
        self._queue_update(self.own)
        self._push()

    def _queue_update(self, member: Member) -> None:
        self._updates.put(member.id, member, self._retransmissions())

    def _retransmissions(self) -> int:
        return 3 * math.ceil(math.log2(len(self.members.by_id) + 2))

    def _schedule_push(self) -> None:
        """Push the changes after a short delay, batched with those made meanwhile."""
        if self._push_timer is None:
            later = asyncio.get_running_loop().call_later
            self._push_timer = later(self._interval_s * PUSH_FRACTION, self._push)

    def _push(self) -> None:
        if self._push_timer is not None:
            self._push_timer.cancel()
            self._push_timer = None
        for member in self._sample(self.members.reachable(), FANOUT):
            self._send(member.gossip, MessageKind.GOSSIP)

    def _sample(self, members: list[Member], most: int) -> list[Member]:
        return self._random.sample(members, min(most, len(members)))

    def _send(
        self,
        address: str,
        kind: MessageKind,
        number: int = 0,
        subject: Member | None = None,
        target: Member | None = None,
        *,
        fingerprints: bytes = b"",
        records: tuple[Member, ...] = (),
    ) -> None:
        if self._has_left or not self.datagrams.is_open:
            return
        updates = records or self._updates.take(MAX_UPDATES)
        if subject is not None and subject not in updates:
            # A member must receive the record about itself to be able to refute it.
            updates += (subject,)
        message = Message(
            kind=kind,
            sender=self.own,
            number=number,
            target=target,
            revision=self.revision,
            confirmed_ms=int(self.confirmed_s() * 1000),
            updates=updates,
            marks=self._gossip_items.next_to_send(MAX_GOSSIP_ITEMS),
            digest=self._anti_entropy.digest(),
            fingerprints=fingerprints,
        )
        self.datagrams.send(address, message)


def _ignore(*arguments: object) -> None:
    """Do nothing: the default of every callback."""
