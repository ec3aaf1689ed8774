"""Tests for the crash table in the store: writes, reads and removals."""

import asyncio

import msgspec
import pytest

from eelgrass_coordination.ids import BackendId
from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.platform.store import RowStore
from eelgrass_node.process import crash_table as crash_table_module
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_detector import Fingerprint
from eelgrass_node.process.crash_table import CrashTable
from eelgrass_node.process.quarantine import MAX_CRASHES, RETENTION_S, Quarantine
from eelgrass_node.process.store_tables import StoredRow
from eelgrass_standins.row_store import RowStoreStandIn
from support.clock import Clock
from support.entry import until
from support.serving import served

POISON = Fingerprint("poison")
OTHER = Fingerprint("other")


def incarnation(number):
    return ServerIncarnation(BackendId(f"e{number}"), number)


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(crash_table_module, "BATCH_DELAY_S", 0.005)
    monkeypatch.setattr(crash_table_module, "REMOVAL_DELAY_S", 0.02)
    monkeypatch.setattr(crash_table_module, "RETRY_INTERVAL_S", 0.01)


class Rows:
    """The rows of the table, which notify ``readers``; ``down`` makes writes fail."""

    def __init__(self):
        self.value_by_key = {}
        self.writes = 0
        self.down = False
        self.readers = []

    async def write(self, puts, removes):
        self.writes += 1
        if self.down:
            raise StoreUnavailable("crashes", "down")
        self.value_by_key.update(puts)
        changes = dict(puts)
        for key in removes:
            if self.value_by_key.pop(key, None) is not None:
                changes[key] = None
        rows = tuple(StoredRow(key, 1, value) for key, value in changes.items())
        for reader in self.readers:
            reader.apply_rows(rows)


class Nodes:
    """Some nodes that write to and read from one table; use it as a context."""

    def __init__(self, count=2):
        self.rows = Rows()
        self.unix_ms = 1_700_000_000_000
        self.quarantines = [Quarantine(Clock()) for _ in range(count)]
        self.tables = [
            CrashTable(quarantine, self.rows.write, lambda: self.unix_ms)
            for quarantine in self.quarantines
        ]
        self.rows.readers = self.tables

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(table.run()) for table in self.tables]
        return self

    async def __aexit__(self, *exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class TestWriting:
    async def test_crashes_that_nodes_see_add_up_at_each_node(self):
        async with Nodes() as nodes:
            for number in range(MAX_CRASHES):
                nodes.tables[number % 2].record_crash(incarnation(number), [POISON])
            await until(
                lambda: all(q.is_quarantined(POISON) for q in nodes.quarantines)
            )

    async def test_simultaneous_crashes_are_written_in_one_call(self):
        async with Nodes() as nodes:
            requests = [Fingerprint(f"request-{number}") for number in range(50)]
            nodes.tables[0].record_crash(incarnation(1), requests)
            await until(lambda: len(nodes.quarantines[1]) == 50)
            assert nodes.rows.writes == 1

    async def test_failed_writes_are_repeated_when_the_store_is_back(self):
        async with Nodes() as nodes:
            nodes.rows.down = True
            nodes.tables[0].record_crash(incarnation(1), [POISON])
            await until(lambda: nodes.rows.writes > 2)
            nodes.rows.down = False
            await until(lambda: nodes.quarantines[1].is_suspect(POISON))

    async def test_rows_of_a_request_that_was_served_are_removed(self):
        async with Nodes() as nodes:
            nodes.tables[0].record_crash(incarnation(1), [POISON, OTHER])
            await until(lambda: nodes.quarantines[1].is_suspect(POISON))
            nodes.tables[1].remove_crashes(POISON, [incarnation(1)])
            await until(lambda: not nodes.quarantines[0].is_suspect(POISON))
            assert all(quarantine.is_suspect(OTHER) for quarantine in nodes.quarantines)
            assert len(nodes.rows.value_by_key) == 1

    async def test_nothing_is_written_without_need(self):
        async with Nodes() as nodes:
            nodes.tables[0].record_crash(incarnation(1), [POISON])
            await until(lambda: nodes.rows.writes == 1)
            await asyncio.sleep(0.1)
            assert nodes.rows.writes == 1


class TestBounds:
    async def test_expired_rows_are_removed_with_the_next_write(self):
        async with Nodes() as nodes:
            nodes.tables[0].record_crash(incarnation(1), [POISON])
            await until(lambda: nodes.rows.value_by_key)
            nodes.unix_ms += int(RETENTION_S * 1000) + 1
            nodes.tables[1].record_crash(incarnation(2), [OTHER])
            await until(lambda: len(nodes.rows.value_by_key) == 1)
            await until(lambda: nodes.quarantines[0].is_suspect(OTHER))
            assert not nodes.quarantines[0].is_suspect(POISON)

    async def test_a_flood_of_rows_does_not_evict_a_harmful_request(self, monkeypatch):
        """A caller changes its request each time, so that it is not recognized."""
        monkeypatch.setattr(crash_table_module, "MAX_ROWS", 10)
        async with Nodes() as nodes:
            for number in range(MAX_CRASHES):
                nodes.tables[0].record_crash(incarnation(number), [POISON])
            for number in range(30):
                nodes.unix_ms += 1
                nodes.tables[1].record_crash(
                    incarnation(number), [Fingerprint(f"new-{number}")]
                )
                await asyncio.sleep(0.01)
            await until(lambda: len(nodes.rows.value_by_key) <= 11)
            assert all(
                quarantine.is_quarantined(POISON) for quarantine in nodes.quarantines
            )

    async def test_the_changes_that_wait_for_the_store_are_bounded(self, monkeypatch):
        monkeypatch.setattr(crash_table_module, "MAX_PENDING", 10)
        async with Nodes() as nodes:
            nodes.rows.down = True
            for number in range(100):
                nodes.tables[0].record_crash(incarnation(number), [POISON])
            nodes.rows.down = False
            await until(lambda: len(nodes.rows.value_by_key) == 10)


class TestReading:
    def table(self):
        quarantine = Quarantine(Clock())

        async def write(puts, removes):
            raise AssertionError("nothing to write")

        return quarantine, CrashTable(quarantine, write, lambda: 10_000_000)

    def key(self, server):
        return crash_table_module._key(POISON, ServerIncarnation(BackendId(server)))

    def row(self, key, **fields):
        crash = {"request": POISON, "server": ["e1", 0], "at_ms": 9_999_000, **fields}
        return StoredRow(key, 1, msgspec.json.encode(crash))

    def test_invalid_rows_are_ignored(self):
        quarantine, table = self.table()
        odd = (b"", b"\xff", b"{}", b"[1]", b'{"request":1,"server":["e",0],"at_ms":0}')
        table.apply_rows(tuple(StoredRow(f"x{n}", 1, v) for n, v in enumerate(odd)))
        assert len(quarantine) == 0

    def test_a_row_from_a_host_whose_clock_is_ahead_counts(self):
        quarantine, table = self.table()
        table.apply_rows((self.row("a", at_ms=20_000_000),))
        assert quarantine.is_suspect(POISON)

    def test_a_full_read_removes_rows_that_are_gone(self):
        quarantine, table = self.table()
        keys = [self.key("e1"), self.key("e2")]
        table.apply_rows((self.row(keys[0]), self.row(keys[1], server=["e2", 0])))
        assert len(quarantine.crashed_servers(POISON)) == 2
        table.apply_snapshot({keys[1]})
        assert len(quarantine.crashed_servers(POISON)) == 1
        table.apply_rows((StoredRow(keys[1], 2, None), StoredRow("unknown", 3, None)))
        assert len(quarantine) == 0

    def test_a_row_that_is_removed_before_it_was_read_is_forgotten(self):
        """The crash is known by gossip; the operator cleared the request at once."""
        quarantine, table = self.table()
        quarantine.record_crash(POISON, ServerIncarnation(BackendId("e1")))
        table.apply_rows((StoredRow(self.key("e1"), 2, None),))
        assert len(quarantine) == 0


class TestStore:
    async def test_rows_are_written_and_removed_in_one_call(self):
        stand_in = RowStoreStandIn()
        async with served(stand_in.add_routes) as address:
            store = RowStore(address)
            await store.write("crashes", {"a": b"1", "b": b"2"}, [])
            calls = stand_in.calls_by_table.total()
            await store.write("crashes", {"c": b"\xff"}, ["a"])
            assert stand_in.calls_by_table.total() == calls + 1
            whole = await store.read_table("crashes")
            await store.close()
        assert {row.key: row.value for row in whole.rows} == {"b": b"2", "c": b"\xff"}

    async def test_a_store_that_refuses_is_an_error(self):
        stand_in = RowStoreStandIn()
        stand_in.down = True
        async with served(stand_in.add_routes) as address:
            store = RowStore(address)
            with pytest.raises(StoreUnavailable):
                await store.write("crashes", {"a": b"1"}, [])
            await store.close()
