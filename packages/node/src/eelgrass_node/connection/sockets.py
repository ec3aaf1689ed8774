"""Sockets that notice a peer that has gone silent.

Connections may go silent for good without a reset, and a host behind a cut does
not answer. Without these options a write to it would hang for many minutes.
"""

import socket
from typing import Any

__all__ = ["open_socket"]

# Unacknowledged data is given up after this long: three losses in a row on a
# link of a few milliseconds, and well under the shortest deadlines of 1.6 s.
USER_TIMEOUT_MS = 1500
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2


def open_socket(address: Any) -> socket.socket:
    """Return a new socket for ``address``, as the client library gives it."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened
