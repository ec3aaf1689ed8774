"""Asks whether anything listens at an address, by a connection without a request."""

import asyncio
import contextlib

from eelgrass_coordination import StallAwareTimeout

from ..process.crash_detector import Listening

__all__ = ["probe_listening"]

# The first packet of a connection is sent again after a second where it was lost;
# asking anew is sooner.
CONNECT_S = 0.3


async def probe_listening(address: str) -> Listening:
    """Return whether connections to an IP address and port are accepted."""
    host, _, port = address.rpartition(":")
    try:
        async with StallAwareTimeout(CONNECT_S):
            _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except ConnectionRefusedError:
        return Listening.NO
    except (OSError, TimeoutError):
        return Listening.UNKNOWN
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return Listening.YES
