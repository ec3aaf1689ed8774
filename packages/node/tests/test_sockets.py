"""Tests for the socket options that detect a peer that no longer answers."""

import pytest

from eelgrass_node.connection import sockets


def closes_connection(silent_from_s, silent_s):
    """Return whether Linux closes a connection that is idle from 0 s on.

    The peer is silent for a while. With a user timeout set, a keep-alive probe that is
    due closes the connection if a probe was sent before, and nothing was received
    within the user timeout; the number of probes does not matter.
    """
    received_at, probes = 0.0, 0
    at = float(sockets.KEEP_ALIVE_IDLE_S)
    while at < silent_from_s + silent_s + 10:
        if probes and (at - received_at) * 1000 >= sockets.USER_TIMEOUT_MS:
            return True
        if silent_from_s <= at < silent_from_s + silent_s:
            probes += 1
            at += sockets.KEEP_ALIVE_INTERVAL_S
        else:
            received_at, probes = at, 0
            at += sockets.KEEP_ALIVE_IDLE_S
    return False


class TestKeepAlive:
    # Guards against calls that are lost because their server was silent for a second.
    @pytest.mark.parametrize("silent_from_ms", range(0, 2000, 100))
    def test_a_peer_that_is_silent_for_a_second_keeps_its_connections(
        self, silent_from_ms
    ):
        assert not closes_connection(silent_from_ms / 1000, 1.5)

    def test_a_peer_that_stays_silent_loses_its_connections(self):
        assert closes_connection(0.5, 10.0)
