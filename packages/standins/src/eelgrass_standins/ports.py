"""Free ports on the loopback address, for tests, measurements and the demo."""

import random
import socket

__all__ = ["free_addresses"]

LOOPBACK = "127.0.0.1"
# Below the range from which the system takes the ports of outgoing connections:
# one of those could otherwise hold a port by the time it is listened on.
FIRST_PORT = 10_000
LAST_PORT = 31_000

_given: set[int] = set()


def free_addresses(count: int) -> list[str]:
    """Return that many addresses whose TCP and UDP ports are free.

    No port is given twice by a process, since it may not be listened on yet.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _given:
            continue
        if _is_free(socket.SOCK_STREAM, port) and _is_free(socket.SOCK_DGRAM, port):
            _given.add(port)
            addresses.append(f"{LOOPBACK}:{port}")
    return addresses


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
