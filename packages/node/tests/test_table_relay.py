"""One node of a data centre reads the store's tables for the others."""

import asyncio

import msgspec
import pytest

from eelgrass_coordination import MemberState
from eelgrass_node.exceptions import HistoryGone, PeerUnreachable, StoreUnavailable
from eelgrass_node.process import platform_tables, table_relay
from eelgrass_node.process.store_backoff import RESPONSE_TIMEOUT_S
from eelgrass_node.process.table_relay import (
    ARRIVING_S,
    BACKOFF_S,
    RELAY_WAIT_S,
    RelayedReader,
    TableRelay,
    relay_of,
)
from support.clock import Clock
from support.members import member
from support.simulated_time import run_in_simulated_time
from support.store_rows import PROPAGATION_DEADLINE_S, changes, row, table_replica
from support.store_simulation import Outage, StoreSimulation

TABLE = "servers"


class Source:
    """Answers feeds with what is set; counts how often it was asked."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = 0
        self.wait_s = None
        self.since = None

    async def read_table(self, table):
        return await self.feed(table, 0, 0.0)

    async def feed(self, table, after, wait_s):
        self.asked += 1
        self.wait_s = wait_s
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    async def ask(self, address, table, after, wait_s):
        return await self.feed(table, after, wait_s)

    def response_started_at(self, table):
        return self.since


class TestChoice:
    def relays(self, members):
        found = set()
        for own in members:
            others = [m for m in members if m.id != own.id]
            found.add((relay_of(own, others, TABLE) or own).id)
        return found

    def test_all_nodes_of_a_data_centre_agree(self):
        near = [member(f"n{n}") for n in range(27)]
        assert len(self.relays(near)) == 1

    def test_other_data_centres_have_relays_of_their_own(self):
        members = [member(f"n{n}", "abc"[n % 3]) for n in range(9)]
        assert len(self.relays(members)) == 3

    def test_a_small_host_is_no_relay_beside_a_strong_one(self):
        members = [member(f"n{n}", capacity=0.1) for n in range(26)]
        assert self.relays([*members, member("strong")]) == {"strong"}

    def test_a_suspect_is_not_asked(self):
        near = [member(f"n{n}") for n in range(5)]
        relay = relay_of(member("own"), near, TABLE)
        assert relay is not None
        suspect = msgspec.structs.replace(relay, state=MemberState.SUSPECT)
        others = [suspect if m.id == relay.id else m for m in near]
        assert relay_of(member("own"), others, TABLE) != suspect


class TestFollower:
    def setup_method(self):
        self.clock = Clock()
        self.store = Source(changes(5))
        self.relay = Source(changes(6, row("a", 6)))
        self.reader = RelayedReader(
            self.store, lambda table: [member("relay")], self.relay.ask, {}, self.clock
        )

    async def test_changes_come_from_the_relay(self):
        assert (await self.reader.feed(TABLE, 4, 1.0)).version == 6
        assert self.store.asked == 0
        assert not self.reader.reads_from_store(TABLE)

    async def test_a_relay_that_does_not_answer_is_passed_over_for_a_while(self):
        self.relay.answer = PeerUnreachable("relay:1", "silent")
        for _ in range(3):
            assert (await self.reader.feed(TABLE, 4, 1.0)).version == 5
        assert (self.relay.asked, self.store.asked) == (1, 3)
        assert self.reader.reads_from_store(TABLE)
        self.clock.now = BACKOFF_S
        await self.reader.feed(TABLE, 4, 1.0)
        assert self.relay.asked == 2

    async def test_the_next_one_is_asked_where_the_store_turns_the_relay_away(self):
        lost = Source(StoreUnavailable(TABLE, "the relay does not read it"))
        by_address = {"r1:1": lost, "r2:1": self.relay}
        reader = RelayedReader(
            self.store,
            lambda table: [member("r1"), member("r2")],
            lambda address, *call: by_address[address].ask(address, *call),
            {},
            self.clock,
        )
        assert (await reader.feed(TABLE, 4, 1.0)).version == 6
        assert (await reader.read_table(TABLE)).version == 6
        assert (lost.asked, self.relay.asked, self.store.asked) == (2, 2, 0)

    async def test_after_one_that_was_silent_no_other_is_waited_for(self):
        self.relay.answer = PeerUnreachable("r1:1", "silent")
        reader = RelayedReader(
            self.store,
            lambda table: [member("r1"), member("r2")],
            self.relay.ask,
            {},
            self.clock,
        )
        assert (await reader.feed(TABLE, 4, 1.0)).version == 5
        assert self.relay.asked == 1

    async def test_one_to_which_a_large_answer_still_comes_is_a_relay(self):
        """Its followers all read the store themselves, over narrow links."""
        self.relay.answer = StoreUnavailable(TABLE, "the relay does not read it")
        await self.reader.feed(TABLE, 4, 1.0)
        self.clock.now += 10.0
        assert not self.reader.reads_from_store(TABLE)
        self.store.since = self.clock.now
        self.clock.now += ARRIVING_S
        assert self.reader.reads_from_store(TABLE)

    async def test_one_to_which_it_comes_too_slowly_is_none(self):
        """Its followers are told of no change meanwhile, and did not ask the store."""
        self.store.since = self.clock.now
        self.clock.now += ARRIVING_S + 0.1
        assert not self.reader.reads_from_store(TABLE)

    async def test_a_relay_that_does_not_know_the_version_says_so(self):
        self.relay.answer = HistoryGone(TABLE)
        with pytest.raises(HistoryGone):
            await self.reader.feed(TABLE, 4, 1.0)

    async def test_a_relay_that_lost_the_store_does_not_keep_this_node_from_it(self):
        """How often both are asked is bounded in test_store_return.py."""
        self.relay.answer = StoreUnavailable(TABLE, "the relay does not read it")
        self.store.answer = StoreUnavailable(TABLE, "down")
        for _ in range(8):
            with pytest.raises(StoreUnavailable):
                await self.reader.feed(TABLE, 4, 1.0)
        assert (self.relay.asked, self.store.asked) == (8, 8)

    async def test_one_that_was_not_the_source_is_asked_without_a_wait(self):
        """It may be silent, after the time that it took to lose the one before it."""
        waits = []
        for _ in range(2):
            await self.reader.feed(TABLE, 4, 1.0)
            waits.append(self.relay.wait_s)
        assert waits == [0.0, RELAY_WAIT_S]

    async def test_one_that_failed_does_not_keep_the_next_one_from_being_asked(self):
        """The store turns this node away, and the first relay is silent for long.

        It was asked first in every turn, and after a silent one no other is asked.
        """
        silent = Source(PeerUnreachable("r1:1", "silent"))
        by_address = {"r1:1": silent, "r2:1": self.relay}
        self.store.answer = StoreUnavailable(TABLE, "turned away")
        reader = RelayedReader(
            self.store,
            lambda table: [member("r1"), member("r2")],
            lambda address, *call: by_address[address].ask(address, *call),
            {},
            self.clock,
        )
        with pytest.raises(StoreUnavailable):
            await reader.feed(TABLE, 4, 1.0)
        for _ in range(7):
            assert (await reader.feed(TABLE, 4, 1.0)).version == 6
        assert (silent.asked, self.relay.asked) == (1, 7)

    async def test_one_that_failed_is_asked_again_where_the_store_fails_too(self):
        self.relay.answer = PeerUnreachable("relay:1", "silent")
        self.store.answer = StoreUnavailable(TABLE, "down")
        with pytest.raises(StoreUnavailable):
            await self.reader.feed(TABLE, 4, 1.0)
        self.relay.answer = changes(6, row("a", 6))
        waits = []
        for _ in range(3):
            assert (await self.reader.feed(TABLE, 4, 1.0)).version == 6
            waits.append(self.relay.wait_s)
        assert waits == [0.0, RELAY_WAIT_S, RELAY_WAIT_S]

    async def test_the_first_call_to_the_store_does_not_wait(self):
        """A call that waits and gets no answer is noticed a second later."""
        self.relay.answer = StoreUnavailable(TABLE, "the relay does not read it")
        waits = []
        for _ in range(2):
            await self.reader.feed(TABLE, 4, 1.0)
            waits.append(self.store.wait_s)
        self.store.answer = StoreUnavailable(TABLE, "down")
        with pytest.raises(StoreUnavailable):
            await self.reader.feed(TABLE, 4, 1.0)
        self.store.answer = changes(5)
        await self.reader.feed(TABLE, 4, 1.0)
        waits.append(self.store.wait_s)
        assert waits == [0.0, 1.0, 0.0]

    async def test_a_store_that_turns_away_the_relay_alone_is_read(self):
        self.relay.answer = StoreUnavailable(TABLE, "the relay does not read it")
        for _ in range(3):
            assert (await self.reader.feed(TABLE, 4, 1.0)).version == 5

    async def test_an_outage_of_both_is_an_outage(self):
        self.relay.answer = PeerUnreachable("relay:1", "no store either")
        self.store.answer = StoreUnavailable(TABLE, "down")
        with pytest.raises(StoreUnavailable):
            await self.reader.feed(TABLE, 4, 1.0)


class TestWaits:
    @pytest.mark.parametrize(
        ("pause_s", "wait_s"),
        [
            (0.0, platform_tables.CONFIGURATION_WAIT_S),
            (platform_tables.SERVERS_FEED_DELAY_S, platform_tables.SERVERS_WAIT_S),
            (0.0, platform_tables.CRASHES_WAIT_S),
        ],
    )
    def test_a_relay_stays_one_until_its_next_answer(self, pause_s, wait_s):
        """Longer waits made its followers go to the store after each of them."""
        assert pause_s + wait_s + RESPONSE_TIMEOUT_S < table_relay.FRESH_S


class TestWholeReads:
    """A store that forgets its history made 82 nodes read both tables whole."""

    def setup_method(self):
        self.store = Source(changes(9))
        self.relay = Source(changes(8, row("a", 3)))
        self.reader = RelayedReader(
            self.store, lambda table: [member("relay")], self.relay.ask, {}, Clock()
        )

    async def test_they_come_from_the_relay(self):
        assert (await self.reader.read_table(TABLE)).version == 8
        assert self.store.asked == 0

    async def test_a_relay_that_knows_less_than_this_node_is_passed_over(self):
        self.relay.answer = changes(9)
        await self.reader.feed(TABLE, 9, 1.0)
        self.relay.answer = changes(8)
        assert (await self.reader.read_table(TABLE)).version == 9
        assert self.store.asked == 1

    @pytest.mark.parametrize(
        "failure", [PeerUnreachable("relay:1", "dead"), StoreUnavailable(TABLE, "no")]
    )
    async def test_without_a_relay_they_come_from_the_store(self, failure):
        self.relay.answer = failure
        assert (await self.reader.read_table(TABLE)).version == 9


class TestStartOfManyNodes:
    """The 39 nodes of a data centre start, or get their power back, as a whole.

    They know of each other after 0.4 s. All have read both tables by then; who asked
    on for changes meanwhile did so at the store, each for itself.
    """

    def test_each_node_asks_the_store_once_for_each_table(self):
        async def main():
            day = StoreSimulation(nodes=39, agreed_at=0.4)
            day.change()
            await day.run(3.0)
            return day.store.calls

        # Whole reads, and three a second of the relay of each table.
        assert run_in_simulated_time(main()) <= 39 * 2 + 3 * 3 * 2

    def test_a_change_just_after_the_first_read_is_in_force_in_time(self):
        async def main():
            day = StoreSimulation(nodes=39, agreed_at=0.4)
            day.change()
            running = asyncio.create_task(day.run(4.0))
            await asyncio.sleep(0.01)
            changed_at = asyncio.get_running_loop().time()
            number = day.change()
            await running
            return [day.taken_at[m.id, number] - changed_at for m in day.members]

        assert max(run_in_simulated_time(main())) <= PROPAGATION_DEADLINE_S


class TestTurnedAwayRelay:
    """The store turns the relay of 39 nodes away for 9 s, and serves the others."""

    def test_the_next_one_reads_for_the_others(self):
        async def main():
            outage = Outage(
                5.0, 14.0, frozenset({StoreSimulation.relay(39)}), refuses=True
            )
            day = StoreSimulation([outage], nodes=39)
            day.change()
            return await day.calls_between(5.0, 14.0, until=15.0)

        # Once each as the relay is lost and the next has yet to read; the relays of
        # two tables at three calls a second; and the one turned away in its pace.
        assert run_in_simulated_time(main()) <= 39 * 2 + 9 * 3 * 2 + 25


class TestRelay:
    def setup_method(self):
        self.table = table_replica(Source(changes(0)), TABLE)
        self.reads_from_store = True
        self.relay = TableRelay(
            {TABLE: self.table}, lambda table: self.reads_from_store
        )
        self.table._take_whole(changes(5, row("a", 3)))

    async def test_changes_wake_those_that_wait(self):
        asked = asyncio.create_task(self.relay.changes(TABLE, 5, 2.0))
        await asyncio.sleep(0.01)
        assert not asked.done()
        self.table._take(changes(7, row("a", 6, None), row("b", 7)))
        found = await asyncio.wait_for(asked, 0.5)
        assert found == changes(7, row("a", 6, None), row("b", 7))

    async def test_the_whole_table_is_without_what_is_gone(self):
        self.table._take(changes(7, row("a", 6, None), row("b", 7)))
        found = await self.relay.changes(TABLE, None, 2.0)
        assert found == changes(7, row("b", 7))

    async def test_without_changes_the_wait_ends(self):
        assert await self.relay.changes(TABLE, 5, 0.02) == changes(5)

    async def test_removals_that_it_did_not_see_are_not_hidden(self):
        """After lost history a whole read shows what is there, not what went."""
        self.table._take_whole(changes(9))
        with pytest.raises(HistoryGone):
            await self.relay.changes(TABLE, 5, 0.02)
        assert await self.relay.changes(TABLE, 9, 0.02) == changes(9)

    async def test_rows_from_other_nodes_end_no_wait(self):
        """They are newer than what is complete here, and would come back for ever."""
        self.table.apply_peer_rows((row("a", 9),), "n1:1")
        assert await self.relay.changes(TABLE, 5, 0.02) == changes(5)
        self.table._take(changes(10))
        found = await self.relay.changes(TABLE, 5, 0.02)
        assert found == changes(10, row("a", 9))

    async def test_a_lost_store_ends_the_wait(self):
        asked = asyncio.create_task(self.relay.changes(TABLE, 5, 2.0))
        await asyncio.sleep(0.01)
        self.table._note_lost(StoreUnavailable(TABLE, "down"), 0.3)
        with pytest.raises(StoreUnavailable):
            await asyncio.wait_for(asked, 0.5)

    async def test_one_that_reads_the_table_anew_is_none_meanwhile(self):
        self.table._whole = False
        with pytest.raises(StoreUnavailable):
            await self.relay.changes(TABLE, 5, 0.02)

    async def test_one_that_follows_a_relay_itself_is_none(self):
        """Two nodes that follow each other would never hear of a change."""
        self.reads_from_store = False
        with pytest.raises(StoreUnavailable):
            await self.relay.changes(TABLE, 5, 0.02)
