"""Following the store: outages, lost history, lapsed entries, old states."""

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
    """A store that answers by a script: changes, or errors to raise."""

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
    taken, whole = [], []
    table = table_replica(
        script,
        "t",
        on_rows=lambda rows, source: taken.extend((r.key, r.version) for r in rows),
        on_snapshot=whole.append,
        on_store_recovered=lambda: whole.append("returned"),
    )
    task = asyncio.create_task(table.run())
    async with asyncio.timeout(5):
        await script.done.wait()
    task.cancel()
    return script.asked, taken, whole


class TestFollowedTable:
    async def test_changes_follow_a_whole_read(self):
        asked, taken, whole = await follow(
            changes(5, row("a", 3)), changes(7, row("a", 7))
        )
        assert asked == ["read", 5, 7]
        assert taken == [("a", 3), ("a", 7)]

    async def test_lost_history_leads_to_a_whole_read(self):
        asked, taken, whole = await follow(
            changes(5, row("a", 3)), HistoryGone("t"), changes(9, row("a", 9))
        )
        assert asked == ["read", 5, "read", 9]
        assert taken == [("a", 3), ("a", 9)]

    async def test_history_that_is_gone_again_at_once_is_not_asked_for_in_haste(self):
        """Found by the soak: 483 whole reads in a second, each of them paid for."""
        answers = [changes(5), HistoryGone("t")] * 50
        script = Script(*answers)
        table = table_replica(script, "t")
        task = asyncio.create_task(table.run())
        await asyncio.sleep(0.5)
        task.cancel()
        assert len(script.asked) <= 6

    async def test_an_older_state_is_not_believed(self):
        asked, taken, whole = await follow(
            changes(9, row("a", 9)),
            HistoryGone("t"),
            changes(4, row("a", 3)),
            changes(10, row("a", 9), row("b", 10)),
        )
        assert taken == [("a", 9), ("b", 10)]

    async def test_an_outage_is_told_before_what_changed_in_it(self):
        asked, taken, whole = await follow(
            changes(1, row("a", 1)),
            StoreUnavailable("t", "down"),
            HistoryGone("t"),
            changes(2, row("a", 1)),
        )
        assert whole == [{"a"}, "returned", {"a"}]

    async def test_also_where_the_feed_goes_on(self):
        asked, taken, whole = await follow(
            changes(1, row("a", 1)),
            StoreUnavailable("t", "down"),
            changes(2, row("a", 2, None)),
        )
        assert whole == [{"a"}, "returned"]
        assert taken == [("a", 1), ("a", 2)]


class TestRowsFromOthers:
    """Another node may know less of a table than this one."""

    async def test_a_removed_row_does_not_come_back(self):
        """Its removal is not told again: a server would stay in use for good.

        After lost history the table is read whole, and nothing of a row that was
        removed is kept; the other node had not seen the removal yet.
        """
        taken = []
        table = table_replica(
            Script(changes(5, row("a", 3)), HistoryGone("t"), changes(9)),
            "t",
            on_rows=lambda rows, source: taken.extend((r.key, r.value) for r in rows),
        )
        task = asyncio.create_task(table.run())
        await asyncio.sleep(0.05)
        assert table.rows() == ()
        table.apply_peer_rows((row("a", 3), row("b", 12)), "n1:1")
        task.cancel()
        assert taken == [("a", b"x"), ("b", b"x")]
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


class TestServerList:
    @pytest.fixture(autouse=True)
    def short_return(self, monkeypatch):
        monkeypatch.setattr(server_list_module, "RELIST_DELAY_S", 0.2)

    def listing(self, *keys):
        self.left = []
        self.backends = Backends()
        servers = ServerList(self.backends, decode, self.left.append)
        servers.apply_rows(tuple(row(key, 1, b"{}") for key in keys))
        servers.apply_snapshot(set(keys))
        return servers

    def usable(self):
        return {backend.entry.id for backend in self.backends.usable("s")}

    async def test_a_leaving_server_gets_no_new_work(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b'{"state": "leaving"}'),))
        assert self.usable() == {"i2"}
        assert self.left == ["i1"]

    async def test_a_removed_server_is_gone_at_once(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, None),))
        assert self.usable() == {"i2"}

    async def test_entries_that_lapsed_in_an_outage_may_come_back(self):
        servers = self.listing("i1", "i2")
        servers.on_outage_end()
        servers.apply_snapshot({"i2"})
        assert self.usable() == {"i1", "i2"}
        servers.apply_rows((row("i1", 3, b"{}"),))
        await asyncio.sleep(0.3)
        assert self.usable() == {"i1", "i2"}

    async def test_also_where_the_feed_tells_of_them(self):
        servers = self.listing("i1", "i2")
        servers.on_outage_end()
        servers.apply_rows((row("i1", 2, None),))
        assert self.usable() == {"i1", "i2"}

    async def test_one_still_missing_then_is_gone(self):
        servers = self.listing("i1", "i2")
        servers.on_outage_end()
        servers.apply_snapshot({"i2"})
        await asyncio.sleep(0.3)
        assert self.usable() == {"i2"}

    async def test_a_malformed_entry_names_no_server_and_the_others_hold(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b"bad"), row("i3", 3, b"bad")))
        assert self.usable() == {"i2"}

    async def test_its_server_is_used_again_once_it_is_listed_well(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b"bad"),))
        servers.apply_rows((row("i1", 3, b"{}"),))
        assert self.usable() == {"i1", "i2"}

    async def test_a_server_that_starts_again_takes_the_place_of_its_earlier_life(self):
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

    async def test_a_life_that_left_does_not_hold_back_the_next_one(self):
        servers = self.listing("i1")
        servers.apply_rows((row("i1", 2, b'{"started": 5, "state": "leaving"}'),))
        assert self.usable() == set()
        servers.apply_rows((row("i1", 3, b'{"started": 9}'),))
        assert self.usable() == {"i1"}

    @pytest.mark.parametrize(
        "stale", [b'{"started": 5}', b'{"started": 5, "state": "leaving"}', b"{}"]
    )
    async def test_news_of_an_earlier_life_changes_nothing(self, stale):
        """A delayed write of an earlier life lands after the next life's first."""
        servers = self.listing("i1")
        servers.apply_rows((row("i1", 2, b'{"started": 9}'),))
        [known] = self.backends.usable("s")
        servers.apply_rows((row("i1", 3, stale),))
        assert self.backends.usable("s") == [known]

    async def test_also_after_the_server_was_removed(self):
        servers = self.listing("i1", "i2")
        servers.apply_rows((row("i1", 2, b'{"started": 9}'), row("i1", 3, None)))
        servers.apply_rows((row("i1", 4, b'{"started": 5}'),))
        assert self.usable() == {"i2"}

    async def test_a_replaced_life_does_not_take_the_next_one_with_it(self):
        servers = self.listing("i1")
        servers.apply_rows((row("i1", 2, b'{"started": 5}'),))
        [earlier] = self.backends.usable("s")
        servers.apply_rows((row("i1", 3, b'{"started": 9}'),))
        servers.forget(earlier.entry.incarnation)
        assert self.usable() == {"i1"}
        servers.forget(self.backends.usable("s")[0].entry.incarnation)
        assert self.usable() == set()

    async def test_starts_of_servers_that_are_gone_are_not_kept_for_ever(
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
    async def test_work_that_fails_unexpectedly_begins_anew(self, monkeypatch):
        monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.01)
        began = []

        async def work():
            began.append(1)
            if len(began) < 3:
                raise KeyError("nobody foresaw this")

        await supervision.keep_running(work)
        assert len(began) == 3


class TestDeploymentInForce:
    def decode(self, raw):
        number = int(raw)
        return Deployment(number, {}, {}, {}, False, CallerLimits(1, 1.0))

    async def test_it_never_goes_back(self):
        heard = []
        in_force = DeploymentInForce("config", self.decode, heard.append)
        in_force.apply_rows((row("config", 1, b"5"), row("other", 2, b"9")), "store")
        assert in_force.apply(b"4", "peer") is False
        assert in_force.number == 5
        assert in_force.apply(b"8", "peer") is True
        assert heard == [5, 8]


class TestCancelling:
    """A process that wakes from a pause finds that its timeouts have passed."""

    @staticmethod
    async def cancel_with_the_timeout(work, timeout_s):
        loop = asyncio.get_running_loop()
        began = loop.time()
        task = asyncio.create_task(work)
        # The loop is held up over both, so that they come in one turn.
        loop.call_at(began + timeout_s * 0.9, time.sleep, timeout_s * 0.3)
        loop.call_at(began + timeout_s * 1.1, task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await asyncio.wait_for(task, 5.0)

    @staticmethod
    async def silent_server():
        async def hang(reader, writer):
            await asyncio.sleep(60)

        return await listen(hang)

    async def test_a_call_to_the_store_keeps_its_cancellation(self):
        server, address = await self.silent_server()
        store = RowStore(address)
        await self.cancel_with_the_timeout(store.feed("t", 1, 0.0), RESPONSE_TIMEOUT_S)
        await store.close()
        server.close()

    async def test_a_call_to_another_node_keeps_its_cancellation(self):
        server, address = await self.silent_server()
        async with new_session(1.0) as session:
            call = PeerCalls(session).ask(address, "state", None, dict, 0.5)
            await self.cancel_with_the_timeout(call, 0.5)
        server.close()
