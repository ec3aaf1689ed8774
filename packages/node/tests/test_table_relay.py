"""Relays: one node of a data centre reads the store's tables for the others."""

import asyncio
from random import Random

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from eelgrass_coordination import MemberState
from eelgrass_node.connection.peer_calls import PeerCalls
from eelgrass_node.connection.table_feed import TableFeedClient, TableFeedInterface
from eelgrass_node.exceptions import HistoryGone, PeerUnreachable, StoreUnavailable
from eelgrass_node.process import platform_tables, table_relay
from eelgrass_node.process.platform_tables import (
    SERVERS_FEED_DELAY_S,
    SERVERS_WAIT_S,
)
from eelgrass_node.process.store_backoff import RESPONSE_TIMEOUT_S
from eelgrass_node.process.table_relay import (
    BACKOFF_S,
    MAX_RECEIVE_S,
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
    """Answers feeds with the given answer and counts the calls."""

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


class TestRelayOf:
    def relays(self, members):
        found = set()
        for own in members:
            others = [m for m in members if m.id != own.id]
            found.add((relay_of(own, others, TABLE) or own).id)
        return found

    def test_all_nodes_of_a_data_centre_choose_the_same_relay(self):
        local = [member(f"n{n}") for n in range(27)]
        assert len(self.relays(local)) == 1

    def test_each_data_centre_has_its_own_relay(self):
        members = [member(f"n{n}", "abc"[n % 3]) for n in range(9)]
        assert len(self.relays(members)) == 3

    def test_a_low_capacity_node_is_no_relay_beside_a_high_capacity_one(self):
        members = [member(f"n{n}", capacity=0.1) for n in range(26)]
        assert self.relays([*members, member("strong")]) == {"strong"}

    def test_a_suspected_node_is_not_a_relay(self):
        local = [member(f"n{n}") for n in range(5)]
        relay = relay_of(member("own"), local, TABLE)
        assert relay is not None
        suspect = msgspec.structs.replace(relay, state=MemberState.SUSPECT)
        others = [suspect if m.id == relay.id else m for m in local]
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

    async def test_a_relay_that_does_not_answer_is_backed_off(self):
        self.relay.answer = PeerUnreachable("relay:1", "silent")
        for _ in range(3):
            assert (await self.reader.feed(TABLE, 4, 1.0)).version == 5
        assert (self.relay.asked, self.store.asked) == (1, 3)
        assert self.reader.reads_from_store(TABLE)
        self.clock.now = BACKOFF_S
        await self.reader.feed(TABLE, 4, 1.0)
        assert self.relay.asked == 2

    async def test_the_next_relay_is_asked_if_the_store_rejects_the_first(self):
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

    async def test_no_other_relay_is_asked_after_a_silent_one(self):
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

    async def test_a_node_that_is_receiving_a_large_answer_is_a_relay(self):
        """Otherwise all its followers would read the store over slow links."""
        self.relay.answer = StoreUnavailable(TABLE, "the relay does not read it")
        await self.reader.feed(TABLE, 4, 1.0)
        self.clock.now += 10.0
        assert not self.reader.reads_from_store(TABLE)
        self.store.since = self.clock.now
        self.clock.now += MAX_RECEIVE_S
        assert self.reader.reads_from_store(TABLE)

    async def test_a_node_that_receives_too_slowly_is_not_a_relay(self):
        """Its followers would get no changes meanwhile and not ask the store."""
        self.store.since = self.clock.now
        self.clock.now += MAX_RECEIVE_S + 0.1
        assert not self.reader.reads_from_store(TABLE)

    async def test_lost_history_at_the_relay_is_reported(self):
        self.relay.answer = HistoryGone(TABLE)
        with pytest.raises(HistoryGone):
            await self.reader.feed(TABLE, 4, 1.0)

    async def test_a_relay_that_lost_the_store_does_not_keep_this_node_from_asking_it(
        self,
    ):
        """The bound on the number of calls is checked in test_store_return.py."""
        self.relay.answer = StoreUnavailable(TABLE, "the relay does not read it")
        self.store.answer = StoreUnavailable(TABLE, "down")
        for _ in range(8):
            with pytest.raises(StoreUnavailable):
                await self.reader.feed(TABLE, 4, 1.0)
        assert (self.relay.asked, self.store.asked) == (8, 8)

    async def test_a_relay_that_was_not_the_source_is_asked_without_a_wait(self):
        """It may be silent too, and the failure of the last source has taken time."""
        waits = []
        for _ in range(2):
            await self.reader.feed(TABLE, 4, 1.0)
            waits.append(self.relay.wait_s)
        assert waits == [0.0, RELAY_WAIT_S]

    async def test_a_failed_relay_does_not_keep_the_next_one_from_being_asked(self):
        """The store rejects this node, and the first relay is silent for a long time.

        If the silent relay were asked first in every turn, no other would be asked.
        """
        silent = Source(PeerUnreachable("r1:1", "silent"))
        by_address = {"r1:1": silent, "r2:1": self.relay}
        self.store.answer = StoreUnavailable(TABLE, "rejected")
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

    async def test_a_failed_relay_is_asked_again_if_the_store_fails_too(self):
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
        """With a wait, a missing answer would be detected a second later."""
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

    async def test_the_store_is_read_if_it_rejects_only_the_relay(self):
        self.relay.answer = StoreUnavailable(TABLE, "the relay does not read it")
        for _ in range(3):
            assert (await self.reader.feed(TABLE, 4, 1.0)).version == 5

    async def test_a_failure_of_relay_and_store_is_an_outage(self):
        self.relay.answer = PeerUnreachable("relay:1", "silent")
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
    def test_a_relay_remains_one_until_its_next_answer(self, pause_s, wait_s):
        """With longer waits its followers would ask the store after each of them."""
        assert pause_s + wait_s + RESPONSE_TIMEOUT_S < table_relay.STORE_READ_MAX_AGE_S


class TestFullReads:
    """After a lost history not all of 82 nodes read both tables from the store."""

    def setup_method(self):
        self.store = Source(changes(9))
        self.relay = Source(changes(8, row("a", 3)))
        self.reader = RelayedReader(
            self.store, lambda table: [member("relay")], self.relay.ask, {}, Clock()
        )

    async def test_rows_come_from_the_relay(self):
        assert (await self.reader.read_table(TABLE)).version == 8
        assert self.store.asked == 0

    async def test_a_relay_that_is_behind_this_node_is_not_used(self):
        self.relay.answer = changes(9)
        await self.reader.feed(TABLE, 9, 1.0)
        self.relay.answer = changes(8)
        assert (await self.reader.read_table(TABLE)).version == 9
        assert self.store.asked == 1

    @pytest.mark.parametrize(
        "failure", [PeerUnreachable("relay:1", "dead"), StoreUnavailable(TABLE, "no")]
    )
    async def test_without_a_relay_rows_come_from_the_store(self, failure):
        self.relay.answer = failure
        assert (await self.reader.read_table(TABLE)).version == 9


class TestStartOfManyNodes:
    """The 39 nodes of a data centre start at the same time, as after a power failure.

    They know each other after 0.4 s. All have read both tables by then, and a node that
    asks for changes before would ask the store.
    """

    def test_each_node_asks_the_store_once_for_each_table(self):
        async def main():
            simulation = StoreSimulation(nodes=39, members_known_at=0.4)
            simulation.change()
            await simulation.run(3.0)
            return simulation.store.calls

        # A full read per node and table, and three calls a second by each relay.
        assert run_in_simulated_time(main()) <= 39 * 2 + 3 * 3 * 2

    def test_a_change_just_after_the_first_read_is_in_force_in_time(self):
        async def main():
            simulation = StoreSimulation(nodes=39, members_known_at=0.4)
            simulation.change()
            running = asyncio.create_task(simulation.run(4.0))
            await asyncio.sleep(0.01)
            changed_at = asyncio.get_running_loop().time()
            number = simulation.change()
            await running
            return [
                simulation.applied_at[m.id, number] - changed_at
                for m in simulation.members
            ]

        assert max(run_in_simulated_time(main())) <= PROPAGATION_DEADLINE_S


class TestRejectedRelay:
    """The store rejects the relay of 39 nodes for 9 s, and serves the others."""

    def test_the_next_relay_reads_for_the_others(self):
        async def main():
            outage = Outage(
                5.0, 14.0, frozenset({StoreSimulation.relay(39)}), refuses=True
            )
            simulation = StoreSimulation([outage], nodes=39)
            simulation.change()
            return await simulation.calls_between(5.0, 14.0, until=15.0)

        # One call per node and table until the next relay has read the store, three
        # calls a second by the relays of two tables, and the rejected relay's retries.
        assert run_in_simulated_time(main()) <= 39 * 2 + 9 * 3 * 2 + 25


class TestTimeOfChanges:
    """A change is known to be younger than a time, also at nodes that have a relay."""

    def ages(self, seed, outages=(), delivery_s=0.0):
        """Return how much older each change of servers may be than it is, by node."""
        random = Random(seed)

        async def main():
            simulation = StoreSimulation(outages, nodes=6)
            simulation.store.delivery_s = delivery_s
            running = asyncio.create_task(simulation.run(12.0))
            for number in range(12):
                await asyncio.sleep(random.uniform(0.0, 1.4))
                simulation.list_server(f"i{number % 3}")
            await running
            written_at = simulation.store.written_at
            return {
                node: {
                    version: written_at[version] - after
                    for version, after in servers.acknowledged_after
                    if after is not None
                }
                for node, servers in simulation.server_list_by_node.items()
            }

        return run_in_simulated_time(main())

    # Guards against servers that are taken for having begun to leave later than so.
    @pytest.mark.parametrize("seed", range(30))
    def test_it_is_never_taken_for_younger_than_it_is(self, seed):
        random = Random(seed)
        names = [f"n{number}" for number in range(6)]
        outages = [
            Outage(
                begin := random.uniform(0.0, 9.0),
                begin + random.uniform(0.0, 3.0),
                frozenset(random.sample(names, random.randint(1, 6))),
                refuses=random.random() < 0.5,
            )
            for _ in range(3)
        ]
        ages = self.ages(seed, outages, delivery_s=random.choice((0.0, 0.1, 0.3)))
        assert min(a for of_node in ages.values() for a in of_node.values()) >= 0

    # Guards against bounds so loose that no time is left to use them.
    @pytest.mark.parametrize("seed", range(10))
    def test_it_is_taken_for_little_older_than_it_is(self, seed):
        ages = self.ages(seed)
        # The waits of two calls of the relay, the delay between them, and some time to
        # answer: a change may come at the end of either wait.
        longest_s = SERVERS_FEED_DELAY_S + 2 * SERVERS_WAIT_S + 0.1
        for of_node in ages.values():
            assert len(of_node) >= 11
            assert max(of_node.values()) <= longest_s

    async def test_it_is_told_with_the_answer_of_a_relay(self):
        table = table_replica(Source(changes(0)), TABLE)
        table._apply_snapshot(changes(5, row("a", 3)))
        app = web.Application()
        TableFeedInterface(TableRelay({TABLE: table}, lambda name: True)).add_routes(
            app
        )
        now = asyncio.get_running_loop().time()
        news = changes(6, row("a", 6))
        table._apply(msgspec.structs.replace(news, acknowledged_after=now - 0.7))
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            address = f"{server.host}:{server.port}"
            client = TableFeedClient(PeerCalls(session), lambda table, key: None)
            answer = await client.ask(address, TABLE, 5, 0.0)
            assert answer.rows == (row("a", 6),)
            assert now - 0.9 < answer.acknowledged_after <= now - 0.7
            whole = await client.ask(address, TABLE, None, 0.0)
            assert whole.acknowledged_after is None


class TestRelay:
    def setup_method(self):
        self.table = table_replica(Source(changes(0)), TABLE)
        self.reads_from_store = True
        self.relay = TableRelay(
            {TABLE: self.table}, lambda table: self.reads_from_store
        )
        self.table._apply_snapshot(changes(5, row("a", 3)))

    async def test_changes_end_the_wait(self):
        asked = asyncio.create_task(self.relay.changes(TABLE, 5, 2.0))
        await asyncio.sleep(0.01)
        assert not asked.done()
        self.table._apply(changes(7, row("a", 6, None), row("b", 7)))
        found = await asyncio.wait_for(asked, 0.5)
        assert found == changes(7, row("a", 6, None), row("b", 7))

    async def test_a_full_read_has_no_removed_rows(self):
        self.table._apply(changes(7, row("a", 6, None), row("b", 7)))
        found = await self.relay.changes(TABLE, None, 2.0)
        assert found == changes(7, row("b", 7))

    async def test_without_changes_the_wait_ends(self):
        assert await self.relay.changes(TABLE, 5, 0.02) == changes(5)

    async def test_missed_removals_are_reported_as_lost_history(self):
        """After lost history a full read does not show which rows were removed."""
        self.table._apply_snapshot(changes(9))
        with pytest.raises(HistoryGone):
            await self.relay.changes(TABLE, 5, 0.02)
        assert await self.relay.changes(TABLE, 9, 0.02) == changes(9)

    async def test_rows_from_peers_do_not_end_the_wait(self):
        """They are newer than the complete version; every call would return them."""
        self.table.apply_peer_rows((row("a", 9),), "n1:1")
        assert await self.relay.changes(TABLE, 5, 0.02) == changes(5)
        self.table._apply(changes(10))
        found = await self.relay.changes(TABLE, 5, 0.02)
        assert found == changes(10, row("a", 9))

    async def test_a_lost_store_ends_the_wait(self):
        asked = asyncio.create_task(self.relay.changes(TABLE, 5, 2.0))
        await asyncio.sleep(0.01)
        self.table._on_lost(StoreUnavailable(TABLE, "down"), 0.3)
        with pytest.raises(StoreUnavailable):
            await asyncio.wait_for(asked, 0.5)

    async def test_a_node_is_no_relay_until_its_full_read_completes(self):
        self.table._is_complete = False
        with pytest.raises(StoreUnavailable):
            await self.relay.changes(TABLE, 5, 0.02)

    async def test_a_node_that_follows_a_relay_is_no_relay(self):
        """Two nodes that follow each other would never get a change."""
        self.reads_from_store = False
        with pytest.raises(StoreUnavailable):
            await self.relay.changes(TABLE, 5, 0.02)
