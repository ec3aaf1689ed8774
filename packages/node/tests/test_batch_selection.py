"""Which pieces make up a call, with the loads of the users' sheets."""

from eelgrass_node.process.batch_items import BatchItem
from eelgrass_node.process.batch_selection import RESERVE_AFTER_S, select_batch

LARGE = 3_000_000
SMALL = 8_000
MEMORY = 21_000_000.0
PLACES = 4
NOW = 100.0


def a_set(request, count, size=LARGE, queued_at=NOW, **fields):
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


def batch_of(*sets, room=MEMORY, places=PLACES):
    batch = select_batch(
        sets, places, room, MEMORY, lambda item: item.result_bytes, NOW
    )
    return [(item.request_id, item.number) for item in batch]


class TestWholeSets:
    def test_a_set_without_room_is_not_begun(self):
        """In the burst of quiet-1 a server has room for one or two results."""
        batch = batch_of(a_set("three", 3), a_set("one", 1), room=2.0 * LARGE)
        assert batch == [("one", 0)]

    def test_small_results_fill_what_large_ones_leave(self):
        batch = batch_of(a_set("three", 3), a_set("small", 2, SMALL), room=LARGE)
        assert batch == [("small", 0), ("small", 1)]

    def test_a_set_is_split_where_memory_is_ample(self):
        """Sets of six leave four of ten places: 60% of a stage's throughput."""
        sets = [a_set(name, 6, 60_000) for name in ("a", "b")]
        batch = batch_of(*sets, places=10)
        assert len(batch) == 10

    def test_a_set_larger_than_any_call_goes_in_parts(self):
        assert len(batch_of(a_set("ten", 10))) == PLACES


class TestReserve:
    def test_a_set_that_waited_keeps_room_free(self):
        old = a_set("old", 3, queued_at=NOW - RESERVE_AFTER_S - 0.1)
        assert batch_of(old, a_set("new", 1), room=2.0 * LARGE) == []

    def test_the_rest_of_a_begun_set_keeps_room_free(self):
        rest = a_set("rest", 3, set_started=True)
        assert batch_of(rest, a_set("new", 1), room=2.0 * LARGE) == []

    def test_small_results_do_not_wait_for_it(self):
        rest = a_set("rest", 3, set_started=True)
        assert batch_of(rest, a_set("s", 1, SMALL), room=LARGE) == [("s", 0)]


class TestAlone:
    def test_pieces_of_a_silent_call_take_no_others_with_them(self):
        silent = a_set("silent", 2, isolated=True)
        assert batch_of(silent, a_set("other", 1)) == [("silent", 0), ("silent", 1)]
        assert batch_of(a_set("other", 1), silent) == [("other", 0)]
