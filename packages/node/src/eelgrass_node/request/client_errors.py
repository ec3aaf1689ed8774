"""What the exceptions of the client library say of a call to a backend server."""

import aiohttp

from ..connection.backend import ServerLimited, ServerResting
from ..connection.calls import MisattributedAnswer
from ..exceptions import AnswerTooLong, CallFailed
from .reasons import RetryReason

__all__ = ["CONNECT_S", "call_failure"]

# A connection is established within a few milliseconds unless its first packet is
# lost, which is sent again only after a second.
CONNECT_S = 0.3


def call_failure(error: Exception) -> CallFailed:
    """Convert an exception of the client library to a :class:`CallFailed`."""
    if isinstance(error, ServerResting):
        return CallFailed(RetryReason.BACKEND_RESTING, not_run=True)
    if isinstance(error, ServerLimited):
        return CallFailed(RetryReason.BACKEND_LIMITED, not_run=True)
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return CallFailed(RetryReason.CONNECT_SILENT, not_run=True)
    if isinstance(error, aiohttp.ClientConnectorError):
        return CallFailed(RetryReason.CONNECT_FAILED, not_run=True)
    if isinstance(error, MisattributedAnswer):
        return CallFailed(RetryReason.WRONG_ATTEMPT, not_run=False)
    if isinstance(error, TimeoutError):
        return CallFailed(RetryReason.CONNECTION_SILENT, not_run=False)
    if isinstance(error, (aiohttp.ClientResponseError, AnswerTooLong, ValueError)):
        return CallFailed(RetryReason.BAD_ANSWER, not_run=False)
    return CallFailed(RetryReason.CONNECTION_LOST, not_run=False)
