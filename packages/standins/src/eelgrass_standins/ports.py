"""Free ports on the loopback address, for tests, measurements and the demo."""

import socket

__all__ = ["free_addresses"]

LOOPBACK = "127.0.0.1"


def free_addresses(count: int) -> list[str]:
    """Return that many addresses whose TCP and UDP ports are free."""
    held: list[socket.socket] = []
    addresses: list[str] = []
    while len(addresses) < count:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream.bind((LOOPBACK, 0))
        held.append(stream)
        port = stream.getsockname()[1]
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held.append(datagram)
        try:
            datagram.bind((LOOPBACK, port))
        except OSError:
            continue
        addresses.append(f"{LOOPBACK}:{port}")
    for sock in held:
        sock.close()
    return addresses
