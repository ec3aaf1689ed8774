"""An overloaded event loop is told apart from a pause of the process."""

import pytest

from eelgrass_node.process.loop_load import (
    INTERVAL_S,
    OVERLOAD_DELAY_S,
    WINDOW_S,
    LoopLoad,
)


@pytest.fixture
def load():
    return LoopLoad()


def record(load, delays, start=10.0):
    """Record timers that were delayed one after the other; return the time."""
    now = start
    for delay_s in delays:
        now += INTERVAL_S + delay_s
        load.record(now, delay_s)
    return now


class TestLoopLoad:
    def test_a_lasting_delay_is_an_overload_until_it_ends(self, load):
        now = record(load, [2 * OVERLOAD_DELAY_S] * 3)
        assert load.is_overloaded
        record(load, [0.0], now)
        assert not load.is_overloaded

    # Guards against a host that turns callers away after each pause of its process.
    @pytest.mark.parametrize("pause_s", [0.3, 3.0])
    def test_a_pause_is_no_overload(self, load, pause_s):
        overloaded = []
        now = 10.0
        for delays in ([0.0] * 20, [pause_s], [0.0] * 20, [pause_s], [0.0]):
            now = record(load, delays, now)
            overloaded.append(load.is_overloaded)
        assert not any(overloaded)

    def test_short_delays_are_none_either(self, load):
        record(load, [0.5 * OVERLOAD_DELAY_S] * 20)
        assert not load.is_overloaded
        assert load.delay_s == pytest.approx(0.5 * OVERLOAD_DELAY_S)

    def test_delays_before_the_window_are_forgotten(self, load):
        now = record(load, [0.0])
        record(load, [2 * OVERLOAD_DELAY_S] * 4, now + WINDOW_S)
        assert load.is_overloaded
