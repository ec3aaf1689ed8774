"""Anti-entropy between nodes, and the simultaneous start of many nodes."""

import asyncio
import random

import msgspec
import pytest

from eelgrass_coordination import Member, Membership, MemberState
from eelgrass_coordination.anti_entropy import AntiEntropy, Fingerprints
from eelgrass_coordination.messages import Message, MessageKind
from support.datagram_network import run_network

INTERVAL_S = 1.0


def record(number, **changes):
    """Return the record of member ``number``."""
    address = f"10.1.{number // 250}.{number % 250}:7741"
    member = Member(f"entry-{number}", f"dc{number % 5}", address, address, 1)
    return msgspec.structs.replace(member, **changes)


class Nodes:
    """Many nodes on a simulated network, which start within 0.3 s."""

    def __init__(self, count, seed):
        self._random = random.Random(seed)
        records = [record(number) for number in range(count)]
        seeds = [member.gossip for member in records[:3]]
        self.members = [
            Membership(own, seeds, INTERVAL_S, random.Random(f"{seed}/{own.id}"))
            for own in records
        ]

    async def start(self):
        """Start all nodes in a random order."""
        await asyncio.gather(
            *(self._start_after_random_delay(member) for member in self.members)
        )

    async def stop(self):
        """Stop all nodes."""
        await asyncio.gather(*(member.stop() for member in self.members))

    async def agreed(self, within):
        """Wait until every node knows all others; return whether that was in time."""
        try:
            async with asyncio.timeout(within):
                while not self._all_known():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return False
        return True

    def _all_known(self):
        others = len(self.members) - 1
        return all(len(m.members.reachable()) == others for m in self.members)

    async def _start_after_random_delay(self, member):
        await asyncio.sleep(self._random.random() * 0.3)
        await member.start()


class TestStartOfManyNodes:
    """195 hosts start at once, for example after a power failure.

    Until their nodes agree, several nodes own the queue of the same service and many
    read the tables on their own, while all callers reconnect.
    """

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("loss", [0.0, 0.03])
    def test_all_nodes_agree_within_an_interval(self, seed, loss):
        async def main():
            nodes = Nodes(195, seed)
            await nodes.start()
            agreed = await nodes.agreed(INTERVAL_S)
            await nodes.stop()
            return agreed

        assert run_network(main(), loss, seed)

    def test_a_restarted_node_knows_all_within_half_an_interval(self):
        async def main():
            nodes = Nodes(195, 4)
            await nodes.start()
            await nodes.agreed(10 * INTERVAL_S)
            await nodes.members[100].stop()
            again = Membership(
                record(100, epoch=2), [nodes.members[1].own.gossip], INTERVAL_S
            )
            await again.start()
            await asyncio.sleep(INTERVAL_S / 2)
            known = len(again.members.reachable())
            await again.stop()
            await nodes.stop()
            return known

        assert run_network(main()) == 194

    def test_nodes_that_agree_send_no_records(self):
        async def main():
            nodes = Nodes(30, 5)
            await nodes.start()
            assert await nodes.agreed(5 * INTERVAL_S)
            await asyncio.sleep(60 * INTERVAL_S)
            loop = asyncio.get_running_loop()
            before = loop.sent
            await asyncio.sleep(20 * INTERVAL_S)
            sent = loop.sent - before
            await nodes.stop()
            return sent

        # One probe and one answer for each node and interval, and nothing else.
        assert run_network(main()) <= 30 * 20 * 2 + 30


class TestMissedUpdates:
    """A member gets the updates that it missed at the next comparison."""

    @pytest.mark.parametrize(
        "state", [MemberState.SUSPECT, MemberState.DEAD, MemberState.ALIVE]
    )
    def test_the_newer_record_wins_on_both_sides(self, state):
        async def main():
            nodes = Nodes(6, 6)
            await nodes.start()
            assert await nodes.agreed(5 * INTERVAL_S)
            # Only one node has this record, of a member that stopped without an
            # announcement, and does not pass it on.
            await nodes.members[5].stop()
            version = 1 if state is MemberState.ALIVE else 0
            update = record(5, state=state, version=version)
            nodes.members[0]._merge_record(update, pass_on=False)
            await asyncio.sleep(2.5 * INTERVAL_S)
            believed = [m.members.by_id["entry-5"] for m in nodes.members[:5]]
            await nodes.stop()
            return [known for known in believed if update.supersedes(known)]

        assert run_network(main()) == []


class TestAntiEntropy:
    def _new_anti_entropy(self, live):
        sent = []

        def send(address, kind, *, fingerprints=b"", records=()):
            sent.append((address, kind, fingerprints, records))

        return AntiEntropy(lambda: live, send), sent

    def test_only_differing_records_are_sent(self):
        ours = [record(n) for n in range(20)]
        anti_entropy, sent = self._new_anti_entropy(ours)
        theirs = Fingerprints().pack(ours[:17])
        message = Message(MessageKind.COMPARE, record(30), fingerprints=theirs)
        anti_entropy.answer(message)
        records = [member for _, _, _, part in sent for member in part]
        assert records == ours[17:]

    def test_an_answer_to_a_comparison_is_not_answered_again(self):
        anti_entropy, sent = self._new_anti_entropy([record(0)])
        theirs = Fingerprints().pack([record(0), record(1)])
        message = Message(MessageKind.COMPARE_BACK, record(1), fingerprints=theirs)
        anti_entropy.answer(message)
        assert sent == []

    def test_a_release_that_sends_no_digest_is_not_compared_with(self):
        anti_entropy, sent = self._new_anti_entropy([record(0)])
        anti_entropy.begin_if_different(Message(MessageKind.ACK, record(1)))
        assert sent == []

    def test_truncated_fingerprints_are_ignored(self):
        packed = Fingerprints().pack([record(0), record(1)])
        assert Fingerprints.unpack(packed[:-1]) == {Fingerprints().of(record(0))}

    def test_a_new_state_has_a_new_fingerprint(self):
        fingerprints = Fingerprints()
        alive = fingerprints.of(record(0))
        suspect = fingerprints.of(record(0, state=MemberState.SUSPECT))
        assert alive != suspect
        assert fingerprints.of(record(0)) == alive
