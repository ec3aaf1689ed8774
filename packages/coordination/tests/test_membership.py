"""Membership: failure detection, refutation, restarts, and constant load."""

import asyncio

import msgspec
import pytest

from eelgrass_coordination import GossipItem, Member, Membership, MemberState
from eelgrass_coordination.joining import JOIN_INTERVALS
from eelgrass_standins.ports import free_addresses

INTERVAL_S = 0.1
# Time to detect a failure: a probe of every member in turn, the suspicion period, and
# some reserve for a busy machine.
DETECTION_S = 3.0


class Group:
    """Members in one process, each with its own socket."""

    def __init__(self, count):
        self._addresses = free_addresses(count)
        self.members = [self._new(n, epoch=1) for n in range(count)]

    async def __aenter__(self):
        for member in self.members:
            await member.start()
        await self.until(
            lambda: all(
                len(self.alive(m)) == len(self.members) - 1 for m in self.members
            )
        )
        return self

    async def __aexit__(self, *exc):
        for member in self.members:
            await member.stop()

    async def restart(self, number, epoch):
        """Restart a member as a new process with the same id."""
        await self.members[number].stop()
        self.members[number] = self._new(number, epoch)
        await self.members[number].start()

    def alive(self, member):
        """Return the ids of the members that ``member`` considers alive."""
        records = member.members.by_id.values()
        return {r.id for r in records if r.state is MemberState.ALIVE}

    def state(self, seen_by, number):
        """Return the state that one member assigns to another."""
        return self.members[seen_by].members.by_id[f"entry-{number}"].state

    async def until(self, condition, within=DETECTION_S):
        """Wait until ``condition`` holds."""
        async with asyncio.timeout(within):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(INTERVAL_S / 4)

    def _new(self, number, epoch):
        address = self._addresses[number]
        own = Member(f"entry-{number}", "x", address, address, epoch)
        return Membership(own, seeds=self._addresses[:2], interval_s=INTERVAL_S)


class TestMembership:
    async def test_all_members_consider_a_killed_member_dead(self):
        async with Group(5) as group:
            await group.members[4].stop()
            await group.until(
                lambda: all(group.state(n, 4) is MemberState.DEAD for n in range(4))
            )

    async def test_a_leaving_member_is_noticed_at_once(self):
        async with Group(5) as group:
            await group.members[4].leave()
            await group.until(
                lambda: all(group.state(n, 4) is MemberState.LEFT for n in range(4)),
                within=5 * INTERVAL_S,
            )

    async def test_a_member_refutes_that_it_is_dead(self):
        async with Group(4) as group:
            victim = group.members[3].own
            for n in range(3):
                record = msgspec.structs.replace(victim, state=MemberState.DEAD)
                group.members[n]._merge_records([record])
            await group.until(
                lambda: all(group.state(n, 3) is MemberState.ALIVE for n in range(3))
            )
            assert group.members[3].own.version > victim.version

    @pytest.mark.parametrize("epoch", [2, 0])
    async def test_a_restarted_member_is_alive_again(self, epoch):
        # Epoch 0 simulates a clock that was set back between the starts.
        async with Group(4) as group:
            await group.members[3].stop()
            await group.until(lambda: group.state(0, 3) is MemberState.DEAD)
            await group.restart(3, epoch)
            await group.until(
                lambda: all(group.state(n, 3) is MemberState.ALIVE for n in range(3))
            )

    async def test_a_gossip_item_reaches_each_member_once(self):
        async with Group(6) as group:
            received = []
            for member in group.members[1:]:
                member.on_gossip_item = received.append
            item = GossipItem("leaving", "engine-1", 3)
            assert group.members[0].announce_gossip_item(item)
            await group.until(lambda: len(received) == 5)
            await asyncio.sleep(3 * INTERVAL_S)
            assert received == [item] * 5
            assert not group.members[0].announce_gossip_item(
                GossipItem("leaving", "engine-1", 2)
            )

    async def test_more_items_than_fit_in_one_message_reach_all(self):
        """A crash affects many requests, and all nodes must learn of each at once."""
        async with Group(6) as group:
            received = [set() for _ in group.members]
            for member, names in zip(group.members, received, strict=True):
                member.on_gossip_item = lambda item, names=names: names.add(item.name)
            items = [GossipItem("ended", f"request-{n}", 1) for n in range(30)]
            assert group.members[0].announce_gossip_items(items) == items
            await group.until(lambda: all(len(names) == 30 for names in received[1:]))

    async def test_members_that_start_together_agree_within_an_interval(self):
        """All hosts restart after a power failure, the seeds after the others.

        Until the nodes agree on the members, each of them owns the queues by itself,
        and the servers are overcommitted. That used to take four intervals of a second.
        """
        addresses = free_addresses(8)
        members = []
        for number, address in enumerate(addresses):
            own = Member(f"entry-{number}", "x", address, address, 1)
            members.append(Membership(own, addresses[:2], interval_s=1.0))
        for member in reversed(members):
            await member.start()
            await asyncio.sleep(0.04)
        async with asyncio.timeout(0.8):
            while any(len(m.members.reachable()) < 7 for m in members):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        for member in members:
            await member.stop()

    async def test_a_seed_that_is_down_is_not_probed_for_ever(self):
        down, address = free_addresses(2)
        alone = Membership(
            Member("entry-0", "x", address, address, 1), [down], INTERVAL_S
        )
        await alone.start()
        await asyncio.sleep(JOIN_INTERVALS * INTERVAL_S * 1.5)
        sent = alone.sent_messages
        await asyncio.sleep(3 * INTERVAL_S)
        assert alone.sent_messages - sent <= 1
        await alone.stop()

    async def test_message_rate_does_not_grow_with_the_number_of_members(self):
        rates = []
        for count in (3, 12):
            async with Group(count) as group:
                await asyncio.sleep(10 * INTERVAL_S)
                before = sum(m.sent_messages for m in group.members)
                await asyncio.sleep(20 * INTERVAL_S)
                sent = sum(m.sent_messages for m in group.members) - before
            rates.append(sent / count / 20)
        assert rates[1] <= rates[0] * 1.25
