"""Checks whether a process listens at an address, by connecting without a request."""

import asyncio
import contextlib

from eelgrass_coordination import StallAwareTimeout

from ..process.listening import Listening

__all__ = ["probe_listening"]

# A lost SYN is retransmitted after 1 s only; a new attempt is faster.
CONNECT_S = 0.3


async def probe_listening(address: str, within_s: float = CONNECT_S) -> Listening:
    """Return whether an IP address and port accept connections, if that is known.

    The connection must be established within ``within_s`` seconds.
    """
    host, _, port = address.rpartition(":")
    try:
        async with StallAwareTimeout(within_s):
            _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except (ConnectionRefusedError, ConnectionResetError):
        return Listening.NO
    except (OSError, TimeoutError):
        return Listening.UNKNOWN
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return Listening.YES
