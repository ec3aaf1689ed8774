"""What the kernel tells of a TCP socket."""

import fcntl
import select
import socket
import struct
import termios

__all__ = ["has_failed", "is_socket_readable", "unacknowledged_bytes"]


def is_socket_readable(opened: socket.socket | None) -> bool:
    """Return whether bytes, or an end, have arrived; a closed socket counts."""
    if opened is None or opened.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(opened.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(opened: socket.socket | None) -> int:
    """Return how many bytes in a socket's send queue the peer has not acknowledged."""
    if opened is None or opened.fileno() < 0:
        return 0
    buffer = fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", buffer)[0]


def has_failed(opened: socket.socket | None) -> bool:
    """Return whether a connection was reset or timed out; a closed socket counts."""
    if opened is None or opened.fileno() < 0:
        return True
    return opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
