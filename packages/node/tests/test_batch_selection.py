"""Which items make up a call, with results of realistic sizes."""

from eelgrass_node.process.batch_items import BatchItem
from eelgrass_node.process.batch_selection import RESERVE_AFTER_S, select_batch

LARGE = 3_000_000
SMALL = 8_000
MEMORY = 21_000_000.0
MAX_ITEMS = 4
NOW = 100.0


def item_set(request, count, size=LARGE, queued_at=NOW, **fields):
    return [
        BatchItem(
            request_id=request,
            stage=0,
            number=number,
            key="key",
            inputs=(),
            deadline=NOW + 6,
            due=NOW + 1,
            priority=0,
            result_bytes=size,
            queued_at=queued_at,
            **fields,
        )
        for number in range(count)
    ]


def batch_of(*sets, free_bytes=MEMORY, max_items=MAX_ITEMS):
    batch = select_batch(
        sets, max_items, free_bytes, MEMORY, lambda item: item.result_bytes, NOW
    )
    return [(item.request_id, item.number) for item in batch]


class TestCompleteSets:
    def test_a_set_that_does_not_fit_into_memory_is_not_started(self):
        """In bursts a server has memory left for one or two results."""
        batch = batch_of(
            item_set("three", 3), item_set("one", 1), free_bytes=2.0 * LARGE
        )
        assert batch == [("one", 0)]

    def test_small_results_use_the_memory_that_large_ones_leave(self):
        batch = batch_of(
            item_set("three", 3), item_set("small", 2, SMALL), free_bytes=LARGE
        )
        assert batch == [("small", 0), ("small", 1)]

    def test_a_set_is_split_if_memory_is_ample(self):
        """Sets of six in calls of ten would give 60% of a stage's throughput."""
        sets = [item_set(name, 6, 60_000) for name in ("a", "b")]
        batch = batch_of(*sets, max_items=10)
        assert len(batch) == 10

    def test_a_set_larger_than_any_call_is_split(self):
        assert len(batch_of(item_set("ten", 10))) == MAX_ITEMS


class TestReserve:
    def test_a_set_that_has_waited_reserves_memory(self):
        old = item_set("old", 3, queued_at=NOW - RESERVE_AFTER_S - 0.1)
        assert batch_of(old, item_set("new", 1), free_bytes=2.0 * LARGE) == []

    def test_the_rest_of_a_started_set_reserves_memory(self):
        rest = item_set("rest", 3, set_started=True)
        assert batch_of(rest, item_set("new", 1), free_bytes=2.0 * LARGE) == []

    def test_small_results_do_not_wait_for_a_reservation(self):
        rest = item_set("rest", 3, set_started=True)
        assert batch_of(rest, item_set("s", 1, SMALL), free_bytes=LARGE) == [("s", 0)]


class TestIsolated:
    def test_an_isolated_set_shares_no_call_with_others(self):
        silent = item_set("silent", 2, isolated=True)
        assert batch_of(silent, item_set("other", 1)) == [("silent", 0), ("silent", 1)]
        assert batch_of(item_set("other", 1), silent) == [("other", 0)]
