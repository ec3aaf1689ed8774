"""Origins of streams: they outlive nodes, and what is not known is not guessed."""

import asyncio
import itertools

import pytest

from eelgrass_node.process.stream_origins import (
    VersionHistory,
    VersionRoster,
    VersionRow,
    origin_table,
)
from eelgrass_node.process.stream_origins.messages import encode
from eelgrass_node.process.stream_origins.origin_table import OriginTable, StreamOrigin
from eelgrass_node.process.stream_origins.stream_origins import CONFIRM_TIMEOUT_S
from eelgrass_node.process.stream_origins.version_history import REMOVAL_NOTICE_S
from support.datagram_network import ONE_WAY_DELAY_S, run_network
from support.origin_fleet import (
    CALLER_TIMEOUT_S,
    SERVICE,
    UNIX_MS,
    V1,
    V2,
    OriginFleet,
    server,
)

STREAMS = [f"stream-{number}" for number in range(20)]
UNCERTAIN = StreamOrigin(SERVICE, None)


async def begin(node, streams=STREAMS, origin=V1):
    """Record streams as requests that serve them do."""
    await asyncio.gather(
        *(node.origins.record(stream, origin, CALLER_TIMEOUT_S) for stream in streams)
    )


async def found(node, streams=STREAMS):
    return {await node.find(stream) for stream in streams}


class TestStreamsWhoseNodeHasEnded:
    # Guards against an origin that dies with the node that served the stream.
    def test_every_other_node_finds_their_origin(self):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                await fleet.nodes[0].stop()
                for node in fleet.nodes[1:]:
                    assert await found(node) == {V1}

        run_network(main())

    # Guards against copies that are all at nodes which end together with the first one.
    @pytest.mark.parametrize("others", list(itertools.combinations(range(1, 9), 2)))
    def test_three_of_nine_nodes_end_together(self, others):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                for number in (0, *others):
                    await fleet.nodes[number].stop()
                for number in set(range(9)) - {0, *others}:
                    assert await found(fleet.nodes[number], STREAMS[:3]) == {V1}

        run_network(main())

    # Guards against copies in a single data centre.
    def test_its_data_centre_is_lost(self):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                for number in (0, 3, 6):
                    await fleet.nodes[number].stop()
                for number in (1, 2, 4, 5, 7, 8):
                    assert await found(fleet.nodes[number]) == {V1}

        run_network(main())

    # Guards against copies that are all beyond a cut.
    def test_its_data_centre_is_cut_off(self):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                fleet.cut(0)
                await fleet.nodes[0].stop()
                for number in (3, 6):
                    assert await found(fleet.nodes[number]) == {V1}

        run_network(main())

    # Guards against streams that begin in a cut and have no copy in reach.
    def test_a_stream_that_began_while_its_data_centre_was_cut_off(self):
        async def main():
            async with OriginFleet() as fleet:
                fleet.cut(0)
                await begin(fleet.nodes[0])
                await fleet.nodes[0].stop()
                for number in (3, 6):
                    assert await found(fleet.nodes[number]) == {V1}

        run_network(main())

    @pytest.mark.parametrize("seed", range(5))
    def test_datagrams_are_lost(self, seed):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                await asyncio.sleep(0.5)
                await fleet.nodes[0].stop()
                origins = [await fleet.nodes[1].find(stream) for stream in STREAMS]
                assert set(origins) == {V1}

        run_network(main(), loss=0.1, seed=seed)


class TestNodesThatComeAndGo:
    # Guards against copies that are not renewed after their nodes have restarted.
    def test_all_other_nodes_restart_in_turn(self):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                for number in range(1, 9):
                    await fleet.restart(number)
                    await asyncio.sleep(1.0)
                await fleet.nodes[0].stop()
                assert await found(fleet.nodes[1]) == {V1}

        run_network(main())

    # Guards against copies that leave with their nodes in a planned restart of all.
    def test_all_nodes_leave_in_turn_after_the_first_was_killed(self):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                await fleet.nodes[0].stop()
                for number in range(1, 9):
                    node = fleet.nodes[number]
                    await node.membership.leave()
                    node.origins.leave()
                    await asyncio.sleep(0.7)
                    await fleet.restart(number)
                    await asyncio.sleep(0.3)
                for number in range(1, 9):
                    assert await found(fleet.nodes[number]) == {V1}

        run_network(main())

    def test_a_node_that_joins_finds_the_origin(self):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0])
                await fleet.nodes[0].stop()
                joined = await fleet.add(9)
                await asyncio.sleep(1.0)
                assert await found(joined) == {V1}

        run_network(main())

    # Guards against a node that confirms copies which it takes along when it leaves.
    def test_a_leaving_node_keeps_no_new_copies(self):
        async def main():
            async with OriginFleet(nodes=2) as fleet:
                fleet.nodes[1].origins.leave()
                await begin(fleet.nodes[0], ["s"])
                assert len(fleet.nodes[1].origins.table) == 0

        run_network(main())

    # Guards against streams that are lost beside nodes of an earlier release: they drop
    # these messages.
    def test_every_second_node_is_of_an_earlier_release(self):
        async def main():
            async with OriginFleet() as fleet:
                for node in fleet.nodes[1::2]:
                    node.membership.datagrams.on_payload = lambda *_: None
                await begin(fleet.nodes[0])
                await asyncio.sleep(2.0)
                await fleet.nodes[0].stop()
                for number in (2, 4, 6, 8):
                    assert await found(fleet.nodes[number]) == {V1}

        run_network(main())


class TestRecording:
    def test_the_first_event_waits_for_one_confirmation(self):
        async def main():
            async with OriginFleet() as fleet:
                clock = asyncio.get_running_loop().time
                began = clock()
                await fleet.nodes[0].origins.record("s", V1, CALLER_TIMEOUT_S)
                assert clock() - began < 3 * ONE_WAY_DELAY_S
                assert sum(len(node.origins.table) for node in fleet.nodes) >= 2

        run_network(main())

    # Guards against streams that stand still while other nodes do not answer.
    def test_it_waits_for_a_short_time_only(self):
        async def main():
            async with OriginFleet() as fleet:
                for node in fleet.nodes[1:]:
                    await node.stop()
                clock = asyncio.get_running_loop().time
                began = clock()
                await fleet.nodes[0].origins.record("s", V1, CALLER_TIMEOUT_S)
                assert clock() - began <= CONFIRM_TIMEOUT_S + 0.06
                assert fleet.nodes[0].counts["stream.origin-unconfirmed"] == 1

        run_network(main())

    def test_a_node_alone_does_not_wait(self):
        async def main():
            async with OriginFleet(nodes=1) as fleet:
                clock = asyncio.get_running_loop().time
                began = clock()
                await begin(fleet.nodes[0])
                assert clock() - began < ONE_WAY_DELAY_S
                assert await found(fleet.nodes[0]) == {V1}

        run_network(main())

    def test_messages_of_a_later_release_are_dropped(self):
        async def main():
            async with OriginFleet(nodes=1) as fleet:
                [node] = fleet.nodes
                for payload in (b"", b"{}", b'["later", 1]', encode(V1)):
                    node.origins.receive(payload, "10.1.0.9:1")
                assert node.counts["stream.message-unknown"] == 4

        run_network(main())


class TestUnknownOrigins:
    # Guards against a guess: with two versions listed either may have begun the stream.
    def test_it_is_not_known_if_two_versions_are_listed(self):
        async def main():
            async with OriginFleet() as fleet:
                await asyncio.sleep(2 * CALLER_TIMEOUT_S)
                assert await fleet.nodes[0].find("unknown") is None
                assert await fleet.nodes[0].find(None) is None

        run_network(main())

    def test_the_only_version_of_the_time_in_question_has_begun_it(self):
        async def main():
            async with OriginFleet() as fleet:
                for node in fleet.nodes:
                    node.list_servers("v1")
                await asyncio.sleep(2 * CALLER_TIMEOUT_S)
                assert await fleet.nodes[0].find("unknown") == V1
                assert await fleet.nodes[0].find(None) == V1

        run_network(main())

    # Guards against a node that has just started and takes what it sees now for all
    # that there was.
    def test_a_version_that_only_another_node_has_seen_counts(self):
        async def main():
            async with OriginFleet() as fleet:
                for node in fleet.nodes[1:]:
                    node.list_servers("v2")
                started = await fleet.restart(0)
                started.list_servers("v2")
                await asyncio.sleep(1.0)
                assert await started.find("unknown") is None

        run_network(main())

    def test_nodes_that_have_all_just_started_do_not_know(self):
        async def main():
            async with OriginFleet() as fleet:
                for number in range(9):
                    await fleet.nodes[number].stop()
                for number in range(9):
                    (await fleet.add(number)).list_servers("v2")
                await asyncio.sleep(CALLER_TIMEOUT_S / 4)
                assert await fleet.nodes[0].find("unknown") is None

        run_network(main())

    # Guards against a node that is cut off from the store and does not know of a new
    # version, at which others have begun streams.
    def test_a_node_without_the_store_and_without_others_does_not_know(self):
        async def main():
            async with OriginFleet(nodes=6) as fleet:
                for node in fleet.nodes:
                    node.list_servers("v1")
                await asyncio.sleep(2 * CALLER_TIMEOUT_S)
                fleet.cut(0)
                for number in (0, 3):
                    fleet.nodes[number].is_list_current = False
                assert await fleet.nodes[0].find("unknown") is None

        run_network(main())

    def test_without_the_store_all_nodes_together_know(self):
        async def main():
            async with OriginFleet() as fleet:
                for node in fleet.nodes:
                    node.list_servers("v1")
                await asyncio.sleep(2 * CALLER_TIMEOUT_S)
                for node in fleet.nodes:
                    node.is_list_current = False
                assert await fleet.nodes[0].find("unknown") == V1

        run_network(main())


class TestUncertainOrigins:
    def test_two_versions_of_one_stream_are_an_uncertain_one(self):
        async def main():
            async with OriginFleet() as fleet:
                await begin(fleet.nodes[0], ["s"])
                await begin(fleet.nodes[0], ["s"], UNCERTAIN)
                await asyncio.sleep(0.1)
                await fleet.nodes[0].stop()
                for node in fleet.nodes[1:]:
                    assert await node.find("s") == UNCERTAIN

        run_network(main())


class TestOriginTable:
    def test_entries_expire_and_are_bounded(self, monkeypatch):
        monkeypatch.setattr(origin_table, "MAX_ORIGINS", 3)
        now = 0.0
        table = OriginTable(lambda: now)
        for number in range(5):
            table.put(f"s{number}", V1, 10.0)
        assert [stream for stream, _, _ in table.items()] == ["s2", "s3", "s4"]
        now = 11.0
        assert table.get("s4") is None
        table.put("s5", V2, 10.0)
        assert len(table) == 1

    def test_a_later_entry_prolongs_an_earlier_one(self):
        now = 0.0
        table = OriginTable(lambda: now)
        table.put("s", V1, 10.0)
        now = 8.0
        table.put("s", V1, 1.0)
        assert list(table.items()) == [("s", V1, 2.0)]


LISTED_NOW = VersionRow(SERVICE, "v1", UNIX_MS)


class TestVersionHistory:
    def history(self, *servers, rows=(LISTED_NOW,)):
        self.now = 100.0
        self.servers = list(servers)
        self.is_current = True
        backends = type("Listed", (), {"by_service": {SERVICE: self.servers}})
        self.roster = VersionRoster(
            lambda service: frozenset(s.entry.version for s in self.servers),
            lambda: self.is_current,
            lambda service: 0,
            lambda key, row: None,
            lambda: UNIX_MS,
        )
        self.followed_since = 0.0
        history = VersionHistory(
            backends,
            lambda: self.now,
            lambda: UNIX_MS,
            self.roster,
            lambda: self.followed_since,
        )
        for row in rows:
            self.roster.record(row, 0.0)
        history.servers_changed(SERVICE)
        return history

    async def test_a_version_counts_for_a_while_after_its_last_server(self):
        history = self.history(server("v1"), server("v2"))
        self.servers[:] = [server("v2")]
        history.servers_changed(SERVICE)
        self.now += CALLER_TIMEOUT_S
        assert history.versions(SERVICE, CALLER_TIMEOUT_S) == {"v1", "v2"}
        self.now += CALLER_TIMEOUT_S
        assert history.versions(SERVICE, CALLER_TIMEOUT_S) == {"v2"}

    @pytest.mark.parametrize(
        ("starts", "covers"),
        [
            ([1], True),
            ([1, UNIX_MS - 1000], False),
            # Servers that do not report their start.
            ([0], False),
            ([], False),
        ],
    )
    async def test_servers_that_have_run_for_long_tell_what_was_before(
        self, starts, covers
    ):
        history = self.history(*(server("v1", started) for started in starts))
        assert history.covers(SERVICE, CALLER_TIMEOUT_S) == covers
        self.now += CALLER_TIMEOUT_S
        # A server that was removed before may still have begun a stream since.
        assert history.covers(SERVICE, CALLER_TIMEOUT_S) == covers
        self.now += REMOVAL_NOTICE_S
        assert history.covers(SERVICE, CALLER_TIMEOUT_S)

    # Guards against a version that was removed before this node started: servers that
    # have run for long say nothing of others.
    async def test_nothing_is_covered_without_a_roster(self):
        history = self.history(server("v2", 1), rows=())
        assert not history.covers(SERVICE, CALLER_TIMEOUT_S)
        self.roster.record(VersionRow(SERVICE, "v1", UNIX_MS), 0.0)
        assert history.covers(SERVICE, CALLER_TIMEOUT_S)
        self.is_current = False
        assert not history.covers(SERVICE, CALLER_TIMEOUT_S)

    @pytest.mark.parametrize(
        ("removed_ms", "versions"),
        [
            (None, {"v1", "v2"}),
            (UNIX_MS, {"v1", "v2"}),
            (UNIX_MS - 15_000, {"v1", "v2"}),
            (UNIX_MS - 17_000, {"v2"}),
        ],
    )
    async def test_a_version_counts_for_as_long_as_its_streams(
        self, removed_ms, versions
    ):
        row = VersionRow(SERVICE, "v1", 1, removed_ms)
        history = self.history(server("v2", UNIX_MS), rows=[row])
        assert history.covers(SERVICE, CALLER_TIMEOUT_S)
        assert history.versions(SERVICE, CALLER_TIMEOUT_S) == versions
        # A node that has followed the list for that long knows better.
        self.now += CALLER_TIMEOUT_S + REMOVAL_NOTICE_S
        assert history.versions(SERVICE, CALLER_TIMEOUT_S) == {"v2"}

    # Guards against versions that were listed and removed while a node read nothing,
    # because it stood still or the store was away.
    async def test_a_gap_counts_as_a_start(self):
        history = self.history(server("v2", 1), rows=())
        self.now += CALLER_TIMEOUT_S + REMOVAL_NOTICE_S
        assert history.covers(SERVICE, CALLER_TIMEOUT_S)
        self.followed_since = self.now
        assert not history.covers(SERVICE, CALLER_TIMEOUT_S)
        self.roster.record(VersionRow(SERVICE, "v1", 1), 0.0)
        assert history.covers(SERVICE, CALLER_TIMEOUT_S)
        assert history.versions(SERVICE, CALLER_TIMEOUT_S) == {"v1", "v2"}


class TestVersionRoster:
    """Which rows a node writes, and when; others write them if it does not."""

    def roster(self, rank=0):
        self.listed = frozenset({"v1"})
        self.is_current = True
        self.written = []
        return VersionRoster(
            lambda service: self.listed,
            lambda: self.is_current,
            lambda service: rank,
            lambda key, row: self.written.append(row),
            lambda: UNIX_MS,
        )

    # Guards against versions that no row states, or that none states as removed.
    def test_rows_follow_the_list(self):
        async def main():
            roster = self.roster()
            roster.servers_changed(SERVICE)
            await asyncio.sleep(1.0)
            v1 = VersionRow(SERVICE, "v1", UNIX_MS)
            assert self.written == [v1]
            roster.record(v1, 0.0)
            self.listed = frozenset({"v2"})
            roster.servers_changed(SERVICE)
            await asyncio.sleep(1.0)
            v2 = VersionRow(SERVICE, "v2", UNIX_MS)
            removed = VersionRow(SERVICE, "v1", UNIX_MS, UNIX_MS)
            assert self.written[1:] == [v2, removed]
            roster.record(v2, 0.0)
            roster.record(removed, 0.0)
            self.listed = frozenset({"v1", "v2"})
            roster.servers_changed(SERVICE)
            await asyncio.sleep(1.0)
            assert self.written[3:] == [v1]

        run_network(main())

    # Guards against a list that is not read yet and seems to have no servers.
    def test_nothing_is_written_before_list_and_table_are_read(self):
        async def main():
            roster = self.roster()
            self.is_current = False
            roster.record(VersionRow(SERVICE, "v0", 1), 0.0)
            await asyncio.sleep(10.0)
            assert self.written == []
            self.is_current = True
            await asyncio.sleep(1.0)
            assert {row.version for row in self.written} == {"v0", "v1"}

        run_network(main())

    # Guards against rows that all hosts write at once, and against a writer that ends.
    def test_the_next_host_writes_what_the_first_one_did_not(self):
        async def main():
            roster = self.roster(rank=1)
            roster.servers_changed(SERVICE)
            await asyncio.sleep(2.0)
            assert self.written == []
            await asyncio.sleep(1.0)
            assert self.written == [VersionRow(SERVICE, "v1", UNIX_MS)]
            roster.record(self.written[0], 0.0)
            roster.servers_changed(SERVICE)
            await asyncio.sleep(10.0)
            assert len(self.written) == 1

        run_network(main())
