"""Checks whether a server still is the incarnation that its entry describes.

A server may restart under its id, with another software version, and accept requests
before its new entry has been read. A stream that goes on there must not be sent before
the server has said when it was started.
"""

import aiohttp
from multidict import CIMultiDict

from eelgrass_coordination import StallAwareTimeout

from ..exceptions import CallFailed
from ..process.backends import Backend
from .engine_call import CONNECT_S
from .incoming_request import WireCodec
from .reasons import RetryReason

__all__ = ["check_incarnation"]

# Servers answer such calls from memory, also when they are full.
ANSWER_TIMEOUT_S = 0.3


async def check_incarnation(codec: WireCodec, server: Backend) -> None:
    """Raise :class:`CallFailed` if the server has restarted since its entry.

    Nothing is checked if its entry does not state when it was started.
    """
    if not server.entry.started:
        return
    connections = server.connections
    connections.begin_call()
    try:
        async with StallAwareTimeout(ANSWER_TIMEOUT_S):
            context = connections.request(
                "GET", codec.REPORT_PATH, CIMultiDict(), b"", CONNECT_S, reuse=True
            )
            async with context as response:
                started = codec.decode_start(await response.read())
    except TimeoutError as error:
        raise CallFailed(RetryReason.CONNECT_SILENT, not_run=True) from error
    except (aiohttp.ClientError, OSError) as error:
        # Not a lost connection: the request was not running there.
        raise CallFailed(RetryReason.CONNECT_FAILED, not_run=True) from error
    finally:
        connections.end_call()
    if started not in (None, server.entry.started):
        raise CallFailed(RetryReason.BACKEND_REPLACED, not_run=True)
