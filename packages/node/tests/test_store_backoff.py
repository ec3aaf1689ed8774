"""The pauses between tries at the store leave room for what is promised."""

import pytest

from eelgrass_node.process.store_backoff import (
    FULL_READ_RESPONSE_TIMEOUT_S,
    StoreBackoff,
)


class TestFollowPace:
    @pytest.mark.parametrize("deadline_s", [2.0, 3.0, 4.0])
    def test_a_call_without_answer_and_a_pause_fit_into_the_promise(self, deadline_s):
        pace = StoreBackoff(deadline_s)
        pauses = [pace.next_delay_s() for _ in range(1000)]
        assert FULL_READ_RESPONSE_TIMEOUT_S + max(pauses) <= deadline_s * 0.9 + 1e-9

    def test_pauses_grow_and_vary(self):
        pace = StoreBackoff(4.0)
        pauses = [pace.next_delay_s() for _ in range(100)]
        assert pauses[0] < 0.5 < 1.5 < pauses[10]
        assert max(pauses[10:]) - min(pauses[10:]) > 0.3

    def test_an_answer_makes_them_short_again(self):
        pace = StoreBackoff(4.0)
        for _ in range(5):
            pace.next_delay_s()
        pace.reset()
        assert pace.next_delay_s() < 0.5

    def test_a_promise_that_cannot_be_kept_is_kept_as_well_as_may_be(self):
        assert 0 < StoreBackoff(0.5).next_delay_s() < 0.5
