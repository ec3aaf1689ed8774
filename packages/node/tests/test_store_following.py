"""Table replicas and the server list: outages, lost history and old states."""

import asyncio
import time

import msgspec
import pytest

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.connection.peer_calls import PeerCalls
from eelgrass_node.connection.sockets import new_session
from eelgrass_node.exceptions import (
    HistoryGone,
    ServerEntryMalformed,
    StoreUnavailable,
)
from eelgrass_node.platform.store import RowStore
from eelgrass_node.process import server_list as server_list_module, supervision
from eelgrass_node.process.backends import Backends, BackendState, HostEntry
from eelgrass_node.process.deployments import DeploymentInForce
from eelgrass_node.process.server_list import ServerList
from eelgrass_node.process.store_backoff import RESPONSE_TIMEOUT_S
from eelgrass_node.version.deployment import CallerLimits, Deployment
from support.connections import listen
from support.store_rows import changes, row, table_replica


class Script:
    """A store with scripted answers: changes, or errors to raise."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.asked = []
        self.done = asyncio.Event()

    async def read_table(self, table):
        return await self._next("read")

    async def feed(self, table, after, wait_s):
        return await self._next(after)

    async def _next(self, asked):
        self.asked.append(asked)
        if not self._answers:
            self.done.set()
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


async def follow(*answers):
    script = Script(*answers)
    applied, snapshots = [], []
    table = table_replica(
        script,
        "t",
        on_rows=lambda rows, source: applied.extend((r.key, r.version) for r in rows),
        on_snapshot=snapshots.append,
        on_store_recovered=lambda: snapshots.append("recovered"),
    )
    task = asyncio.create_task(table.run())
    async with asyncio.timeout(5):
        await script.done.wait()
    task.cancel()
    return script.asked, applied, snapshots


class TestTableReplica:
    async def test_changes_follow_a_full_read(self):
        asked, applied, snapshots = await follow(
            changes(5, row("a", 3)), changes(7, row("a", 7))
        )
        assert asked == ["read", 5, 7]
        assert applied == [("a", 3), ("a", 7)]

    async def test_lost_history_leads_to_a_full_read(self):
        asked, applied, snapshots = await follow(
            changes(5, row("a", 3)), HistoryGone("t"), changes(9, row("a", 9))
        )
        assert asked == ["read", 5, "read", 9]
        assert applied == [("a", 3), ("a", 9)]

    async def test_full_reads_back_off_if_the_history_is_lost_again_at_once(self):
        """Without a backoff there were 483 full reads in a second, each with a cost."""
        answers = [changes(5), HistoryGone("t")] * 50
        script = Script(*answers)
        table = table_replica(script, "t")
        task = asyncio.create_task(table.run())
        await asyncio.sleep(0.5)
        task.cancel()
        assert len(script.asked) <= 6

    async def test_an_older_state_is_rejected(self):
        asked, applied, snapshots = await follow(
            changes(9, row("a", 9)),
            HistoryGone("t"),
            changes(4, row("a", 3)),
            changes(10, row("a", 9), row("b", 10)),
        )
        assert applied == [("a", 9), ("b", 10)]

    async def test_recovery_is_reported_before_the_changes_during_the_outage(self):
        asked, applied, snapshots = await follow(
            changes(1, row("a", 1)),
            StoreUnavailable("t", "down"),
            HistoryGone("t"),
            changes(2, row("a", 1)),
        )
        assert snapshots == [{"a"}, "recovered", {"a"}]

    async def test_recovery_is_reported_also_if_the_feed_continues(self):
        asked, applied, snapshots = await follow(
            changes(1, row("a", 1)),
            StoreUnavailable("t", "down"),
            changes(2, row("a", 2, None)),
        )
        assert snapshots == [{"a"}, "recovered"]
        assert applied == [("a", 1), ("a", 2)]


class TestRowsFromPeers:
    """A peer may have an older state of a table than this node."""

    async def test_a_removed_row_does_not_come_back(self):
        """Its removal would not be reported again, and a server would stay in use.

        After lost history the table is read in full, and the replica keeps no trace of
        a removed row. The peer has not seen the removal yet.
        """
        applied = []
        table = table_replica(
            Script(changes(5, row("a", 3)), HistoryGone("t"), changes(9)),
            "t",
            on_rows=lambda rows, source: applied.extend((r.key, r.value) for r in rows),
        )
        task = asyncio.create_task(table.run())
        await asyncio.sleep(0.05)
        assert table.rows() == ()
        table.apply_peer_rows((row("a", 3), row("b", 12)), "n1:1")
        task.cancel()
        assert applied == [("a", b"x"), ("b", b"x")]
        assert [r.key for r in table.rows()] == ["b"]


def decode(key, value):
    if value == b"bad":
        raise ServerEntryMalformed(key, "bad")
    fields = msgspec.json.decode(value)
    return HostEntry(
        BackendId(key),
        "s",
        fields.get("at", f"{key}:1"),
        DataCentre("a"),
        state=BackendState(fields.get("state", "live")),
        started=fields.get("started", 0),
    )


DRAIN_S = 2.0


class TestServerList:
    @pytest.fixture(autouse=True)
    def short_return(self, monkeypatch):
        monkeypatch.setattr(server_list_module, "RELIST_DELAY_S", 0.2)

    def listing(self, *keys):
        self.left = []
        self.backends = Backends(drain_s=DRAIN_S)
        servers = ServerList(self.backends, decode, self.left.append)
        servers.apply_rows(tuple(row(key, 1, b"{}") for key in keys))
        servers.apply_snapshot(set(keys))
        return servers

    def in_reach(self):
        leaving = self.backends.beginning_to_leave("s")
        return {backend.entry.id for backend in leaving}

    def usable(self):
        return {backend.entry.id for backend in self.backends.usable("s")}

    async def test_a_leaving_server_gets_no_new_work(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b'{"state": "leaving"}'),))
        assert self.usable() == {"i2"}
        assert self.left == ["i1"]

    async def test_a_server_that_begins_to_leave_is_in_reach_for_a_while(self):
        servers = self.listing("i1", "i2", "i3", "i4")
        now = asyncio.get_running_loop().time()
        leaving = b'{"state": "leaving"}'
        servers.apply_rows((row("i1", 2, leaving),), now - 0.5)
        servers.apply_rows((row("i2", 3, leaving),), now - DRAIN_S)
        servers.apply_rows((row("i3", 4, leaving),))
        assert self.in_reach() == {"i1"}
        assert self.usable() == {"i4"}
        self.backends.is_evacuated = lambda data_centre: True
        assert self.in_reach() == set()

    # Guards against servers that are counted as leaving from their second notice on.
    async def test_the_first_notice_of_a_leaving_server_counts(self):
        servers = self.listing("i1", "i2", "i3", "i4")
        now = asyncio.get_running_loop().time()
        leaving = b'{"state": "leaving"}'
        for number, key in enumerate(("i1", "i2", "i3")):
            servers.apply_rows((row(key, 2 + number, leaving),), now - DRAIN_S)
        servers.apply_rows((row("i2", 5, b"{}"),), now)
        servers.apply_rows((row("i3", 6, None),), now)
        servers.apply_rows(tuple(row(f"i{n}", 6 + n, leaving) for n in (1, 2, 3)), now)
        assert self.in_reach() == set()
        self.backends.mark_leaving(BackendId("i4"), 0, now)
        assert self.in_reach() == {"i4"}
        self.backends.mark_leaving(BackendId("i4"), 0, now - DRAIN_S)
        assert self.in_reach() == set()

    # Guards against a server whose removal was held back after an outage of the store.
    async def test_a_server_that_was_missing_has_not_just_begun_to_leave(self):
        servers = self.listing("i1", "i2")
        servers.on_store_recovered()
        servers.apply_rows((row("i1", 2, None),))
        now = asyncio.get_running_loop().time()
        servers.apply_rows((row("i1", 3, b'{"state": "leaving"}'),), now)
        assert self.in_reach() == set()

    async def test_a_removed_server_is_dropped_at_once(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, None),))
        assert self.usable() == {"i2"}

    async def test_entries_that_expired_in_an_outage_may_come_back(self):
        servers = self.listing("i1", "i2")
        servers.on_store_recovered()
        servers.apply_snapshot({"i2"})
        assert self.usable() == {"i1", "i2"}
        servers.apply_rows((row("i1", 3, b"{}"),))
        await asyncio.sleep(0.3)
        assert self.usable() == {"i1", "i2"}

    async def test_entries_that_the_feed_removes_after_an_outage_may_come_back(self):
        servers = self.listing("i1", "i2")
        servers.on_store_recovered()
        servers.apply_rows((row("i1", 2, None),))
        assert self.usable() == {"i1", "i2"}

    async def test_an_entry_that_stays_missing_is_dropped(self):
        servers = self.listing("i1", "i2")
        servers.on_store_recovered()
        servers.apply_snapshot({"i2"})
        await asyncio.sleep(0.3)
        assert self.usable() == {"i2"}

    async def test_a_malformed_entry_is_ignored_and_the_others_stay(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b"bad"), row("i3", 3, b"bad")))
        assert self.usable() == {"i2"}

    async def test_a_server_is_used_again_once_its_entry_is_well_formed(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b"bad"),))
        servers.apply_rows((row("i1", 3, b"{}"),))
        assert self.usable() == {"i1", "i2"}

    async def test_a_restarted_server_replaces_its_earlier_incarnation(self):
        servers = self.listing("i1")
        servers.apply_rows((row("i1", 2, b'{"started": 5}'),))
        [earlier] = self.backends.usable("s")
        earlier.suspect()
        earlier.record_load(60, 9)
        servers.apply_rows((row("i1", 3, b'{"started": 9}'),))
        [later] = self.backends.usable("s")
        assert later is not earlier and later.entry.started == 9
        assert later.suspect_until == 0.0 and later.load_at(0.0) == (0, 0)
        assert self.backends.has_ended(earlier.entry.incarnation)
        assert not self.backends.has_ended(later.entry.incarnation)

    async def test_an_incarnation_that_left_does_not_block_the_next_one(self):
        servers = self.listing("i1")
        servers.apply_rows((row("i1", 2, b'{"started": 5, "state": "leaving"}'),))
        assert self.usable() == set()
        servers.apply_rows((row("i1", 3, b'{"started": 9}'),))
        assert self.usable() == {"i1"}

    @pytest.mark.parametrize(
        "stale", [b'{"started": 5}', b'{"started": 5, "state": "leaving"}', b"{}"]
    )
    async def test_an_entry_of_an_earlier_incarnation_is_ignored(self, stale):
        """A delayed write may arrive after the first one of the next incarnation."""
        servers = self.listing("i1")
        servers.apply_rows((row("i1", 2, b'{"started": 9}'),))
        [known] = self.backends.usable("s")
        servers.apply_rows((row("i1", 3, stale),))
        assert self.backends.usable("s") == [known]

    async def test_an_entry_of_an_earlier_incarnation_is_ignored_after_a_removal(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b'{"started": 9}'), row("i1", 3, None)))
        servers.apply_rows((row("i1", 4, b'{"started": 5}'),))
        assert self.usable() == {"i2"}

    async def test_forgetting_a_replaced_incarnation_keeps_the_next_one(self):
        servers = self.listing("i1")
        servers.apply_rows((row("i1", 2, b'{"started": 5}'),))
        [earlier] = self.backends.usable("s")
        servers.apply_rows((row("i1", 3, b'{"started": 9}'),))
        servers.forget(earlier.entry.incarnation)
        assert self.usable() == {"i1"}
        servers.forget(self.backends.usable("s")[0].entry.incarnation)
        assert self.usable() == set()

    async def test_the_start_times_kept_for_removed_servers_are_bounded(
        self, monkeypatch
    ):
        monkeypatch.setattr(server_list_module, "MAX_REMEMBERED", 10)
        servers = self.listing("kept")
        for number in range(50):
            key = f"i{number}"
            servers.apply_rows((row(key, number, b"{}"), row(key, number + 1, None)))
        assert len(servers._newest_start_by_id) <= 11
        assert "kept" in servers._newest_start_by_id


class TestSupervision:
    async def test_work_that_fails_unexpectedly_is_restarted(self, monkeypatch):
        monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.01)
        began = []

        async def work():
            began.append(1)
            if len(began) < 3:
                raise KeyError("unexpected")

        await supervision.keep_running(work)
        assert len(began) == 3


class TestDeploymentInForce:
    def decode(self, raw):
        number = int(raw)
        return Deployment(number, {}, {}, {}, False, CallerLimits(1, 1.0))

    async def test_an_older_configuration_is_rejected(self):
        numbers = []
        in_force = DeploymentInForce("config", self.decode, numbers.append)
        in_force.apply_rows((row("config", 1, b"5"), row("other", 2, b"9")), "store")
        assert in_force.apply(b"4", "peer") is False
        assert in_force.number == 5
        assert in_force.apply(b"8", "peer") is True
        assert numbers == [5, 8]


class TestCancelling:
    """After a stall of the process, a timeout and a cancellation may coincide."""

    @staticmethod
    async def cancel_with_the_timeout(work, timeout_s):
        loop = asyncio.get_running_loop()
        began = loop.time()
        task = asyncio.create_task(work)
        # The loop is blocked across both, so that they fall into one turn.
        loop.call_at(began + timeout_s * 0.9, time.sleep, timeout_s * 0.3)
        loop.call_at(began + timeout_s * 1.1, task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await asyncio.wait_for(task, 5.0)

    @staticmethod
    async def silent_server():
        async def hang(reader, writer):
            await asyncio.sleep(60)

        return await listen(hang)

    async def test_a_call_to_the_store_is_cancelled(self):
        server, address = await self.silent_server()
        store = RowStore(address)
        await self.cancel_with_the_timeout(store.feed("t", 1, 0.0), RESPONSE_TIMEOUT_S)
        await store.close()
        server.close()

    async def test_a_call_to_another_node_is_cancelled(self):
        server, address = await self.silent_server()
        async with new_session(1.0) as session:
            call = PeerCalls(session).ask(address, "state", None, dict, 0.5)
            await self.cancel_with_the_timeout(call, 0.5)
        server.close()
