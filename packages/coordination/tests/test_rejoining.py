"""Members that leave or end and start again find the others, and are found by them."""

import asyncio
import random

import msgspec
import pytest

from eelgrass_coordination import Member, Membership, MemberState
from support.datagram_network import run_network

INTERVAL_S = 1.0
MEMBERS = 6
# How long members have been up before some are restarted, and how long a planned stop
# takes before the process ends and starts again.
UP_S = 4.0
STOP_S = 2.6
# Callers come back within a second or two of the end of their host.
REJOIN_S = 1.0
# A partition is healed within seconds of its end.
HEALED_S = 6.0


class RestartingGroup:
    """Members on a simulated network, the first ``seeds`` of which are the seeds."""

    def __init__(self, seeds, count=MEMBERS, randomness=0):
        self._randomness = randomness
        self._addresses = [f"10.0.0.{number + 1}:1" for number in range(count)]
        self.seeds = self._addresses[:seeds]
        self.members = [self._new(number, epoch=1) for number in range(count)]

    async def start(self, up_s=UP_S):
        """Start all members and let them be up for a while."""
        for member in self.members:
            await member.start()
        await asyncio.sleep(up_s)

    async def restart(self, number, planned=True):
        """Stop a member, as planned or at once, and start it in a new process."""
        old = self.members[number]
        if planned:
            await old.leave()
            await asyncio.sleep(STOP_S)
        await old.stop()
        self.members[number] = self._new(number, old.own.epoch + 1)
        await self.members[number].start()

    async def restart_together(self, numbers, planned=True):
        """Restart several members at the same time."""
        await asyncio.gather(*(self.restart(number, planned) for number in numbers))

    async def rejoined_after(self, within_s):
        """Return the seconds until all know each other; infinity if too long."""
        loop = asyncio.get_running_loop()
        since = loop.time()
        while loop.time() - since < within_s:
            if self.knows_all():
                return loop.time() - since
            await asyncio.sleep(0.02)
        return float("inf")

    def knows_all(self):
        """Return whether each member knows all others in their present incarnation."""
        own = {member.own.id: member.own.epoch for member in self.members}
        return all(
            {m.id: m.epoch for m in member.members.reachable()}
            == {node: epoch for node, epoch in own.items() if node != member.own.id}
            for member in self.members
        )

    async def stop(self):
        """Stop all members."""
        await asyncio.gather(*(member.stop() for member in self.members))

    def _new(self, number, epoch):
        address = self._addresses[number]
        own = Member(f"node-{number}", f"dc-{number % 3}", address, address, epoch)
        seed = number + 100 * self._randomness
        return Membership(own, self.seeds, INTERVAL_S, random.Random(seed))


class TestMembersThatRestart:
    # Guards against seeds that know nobody but each other after a restart, while the
    # others do not look for members that left.
    @pytest.mark.parametrize("loss", [0.0, 0.05])
    @pytest.mark.parametrize("planned", [True, False])
    @pytest.mark.parametrize("seeds", [1, 2, 3])
    def test_seeds_that_restart_together_find_the_others(self, seeds, planned, loss):
        async def main():
            group = RestartingGroup(seeds)
            await group.start()
            await group.restart_together(range(seeds), planned)
            took_s = await group.rejoined_after(2 * REJOIN_S)
            await group.stop()
            return took_s

        assert run_network(main(), loss) <= REJOIN_S

    # Guards against a seed that is back before the others take it for gone, so that
    # nobody looks for it.
    @pytest.mark.parametrize("count", [4, 9])
    @pytest.mark.parametrize("randomness", range(6))
    def test_the_only_seed_is_killed_and_starts_at_once(self, count, randomness):
        async def main():
            group = RestartingGroup(1, count, randomness)
            await group.start(UP_S + 0.15 * randomness)
            await group.restart(0, planned=False)
            took_s = await group.rejoined_after(2 * REJOIN_S)
            await group.stop()
            return took_s

        assert run_network(main()) <= REJOIN_S

    # Guards against two groups that do not know each other while a release goes on.
    @pytest.mark.parametrize("seeds", [1, 3])
    def test_members_that_are_restarted_in_turn_stay_one_group(self, seeds):
        async def main():
            group = RestartingGroup(seeds)
            await group.start()
            took_s = []
            for number in range(MEMBERS):
                await group.restart(number)
                took_s.append(await group.rejoined_after(2 * REJOIN_S))
            await group.stop()
            return took_s

        assert max(run_network(main())) <= REJOIN_S

    # Guards against a restarted member that is not found because no seed is left.
    def test_it_is_found_although_all_seeds_are_gone(self):
        async def main():
            group = RestartingGroup(seeds=3)
            await group.start()
            group.seeds = ["10.9.0.1:1", "10.9.0.2:1", "10.9.0.3:1"]
            await group.restart_together([0, 1, 2, 3])
            took_s = await group.rejoined_after(2 * REJOIN_S)
            await group.stop()
            return took_s

        assert run_network(main()) <= REJOIN_S

    # Guards against members that start during a partition and look for their seeds, all
    # of which are on the other side, for their first seconds only.
    def test_members_that_start_during_a_partition_are_found_after_it(self):
        async def main():
            loop = asyncio.get_running_loop()
            loop.is_cut = lambda source, to: (source < "10.0.0.4") != (to < "10.0.0.4")
            group = RestartingGroup(seeds=3)
            await group.start(up_s=30.0)
            apart = [len(member.members.reachable()) for member in group.members]
            loop.is_cut = lambda source, to: False
            took_s = await group.rejoined_after(2 * HEALED_S)
            await group.stop()
            return apart, took_s

        apart, took_s = run_network(main())
        assert apart == [2, 2, 2, 0, 0, 0]
        assert took_s <= HEALED_S

    # Guards against members that left for good and are probed for ever at that rate.
    def test_members_that_left_for_good_cost_little(self):
        async def main():
            group = RestartingGroup(seeds=1)
            await group.start()
            rest = group.members[2:]
            await asyncio.gather(*(member.leave() for member in group.members[:2]))
            await asyncio.gather(*(member.stop() for member in group.members[:2]))
            await asyncio.sleep(120.0)
            sent = sum(member.sent_messages for member in rest)
            await asyncio.sleep(20.0)
            sent = sum(member.sent_messages for member in rest) - sent
            await group.stop()
            return sent / len(rest) / 20.0

        # A probe and an answer each second, and one more message at most.
        assert run_network(main()) <= 3.0

    # Guards against a member that left and is taken for alive because of old news.
    def test_a_member_that_left_does_not_come_back_by_old_records(self):
        async def main():
            group = RestartingGroup(seeds=1)
            await group.start()
            left = group.members[5]
            await left.leave()
            await asyncio.sleep(0.5)
            record = msgspec.structs.replace(left.own, state=MemberState.ALIVE)
            await left.stop()
            group.members[1]._merge_records([record])
            await asyncio.sleep(20.0)
            known = [m.members.reachable() for m in group.members[:5]]
            await group.stop()
            return [len(members) for members in known]

        assert run_network(main()) == [4] * 5
