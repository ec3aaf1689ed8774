"""Finds free ports on the loopback address, for tests, benchmarks and the demo."""

import random
import socket

__all__ = ["free_addresses"]

LOOPBACK = "127.0.0.1"
# The range lies below the system's ephemeral ports: an outgoing connection could
# otherwise take a port before the test listens on it.
FIRST_PORT = 10_000
LAST_PORT = 31_000

_allocated: set[int] = set()


def free_addresses(count: int) -> list[str]:
    """Return ``count`` addresses whose TCP and UDP ports are free.

    A process gets each port only once, since a port that it was given may not be
    listened on yet.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _allocated:
            continue
        if _is_free(socket.SOCK_STREAM, port) and _is_free(socket.SOCK_DGRAM, port):
            _allocated.add(port)
            addresses.append(f"{LOOPBACK}:{port}")
    return addresses


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
