"""The delays between calls to the store fit into the propagation deadline."""

import pytest

from eelgrass_node.process.store_backoff import (
    FULL_READ_RESPONSE_TIMEOUT_S,
    StoreBackoff,
)


class TestStoreBackoff:
    @pytest.mark.parametrize("deadline_s", [2.0, 3.0, 4.0])
    def test_an_unanswered_call_and_a_delay_fit_into_the_deadline(self, deadline_s):
        backoff = StoreBackoff(deadline_s)
        delays = [backoff.next_delay_s() for _ in range(1000)]
        assert FULL_READ_RESPONSE_TIMEOUT_S + max(delays) <= deadline_s * 0.9 + 1e-9

    def test_delays_grow_and_vary(self):
        backoff = StoreBackoff(4.0)
        delays = [backoff.next_delay_s() for _ in range(100)]
        assert delays[0] < 0.5 < 1.5 < delays[10]
        assert max(delays[10:]) - min(delays[10:]) > 0.3

    def test_an_answer_resets_the_delay(self):
        backoff = StoreBackoff(4.0)
        for _ in range(5):
            backoff.next_delay_s()
        backoff.reset()
        assert backoff.next_delay_s() < 0.5

    def test_a_deadline_that_is_too_short_still_gives_short_delays(self):
        assert 0 < StoreBackoff(0.5).next_delay_s() < 0.5
