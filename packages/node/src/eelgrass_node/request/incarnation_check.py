"""Checks whether a server still is the incarnation that its entry describes.

A server may restart under its id, with another software version, and accept requests
before its new entry has been read. A stream that goes on there must not be sent before
the server has said when it was started.

Overloaded servers may report late, and one that has failed silently does not report at
all. So a report may take long, and other servers are asked meanwhile.
"""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
from multidict import CIMultiDict

from eelgrass_coordination import StallAwareTimeout

from ..connection.answer_bounds import MAX_REPORT_BYTES, read_bounded
from ..connection.backend import RequestWithheld
from ..connection.calls import MisattributedAnswer
from ..exceptions import AnswerTooLong, CallFailed
from ..log import Part, log
from ..process.backends import Backend
from .client_errors import CONNECT_S, call_failure
from .incoming_request import WireCodec
from .reasons import RetryReason

__all__ = [
    "check_answering",
    "check_incarnation",
    "confirms_start",
    "first_confirmed",
    "reported_start",
]

# Servers report from memory, within milliseconds unless they are overloaded.
NEXT_SERVER_DELAY_S = 0.1
MAX_ASKED = 3
CONFIRM_TIMEOUT_S = 0.4
HTTP_SERVER_ERROR = 500


async def first_confirmed(
    first: Backend,
    next_server: Callable[[list[Backend]], Awaitable[Backend | None]],
    check: Callable[[Backend], Awaitable[None]],
    on_failed: Callable[[Backend, CallFailed], None],
) -> Backend:
    """Return the first server that passes ``check``, beginning with ``first``.

    While none has passed, another one is checked beside them after each
    ``NEXT_SERVER_DELAY_S``, or as soon as a check fails; ``next_server`` returns one
    that is not in a list, or None.
    Raises the :class:`CallFailed` of ``first`` if all checks fail. ``on_failed`` is
    called for all other failures.
    """
    asked = [first]
    failed: dict[Backend, CallFailed] = {}
    checks = {asyncio.create_task(_outcome(check, first))}
    try:
        while checks:
            delay_s = NEXT_SERVER_DELAY_S if len(asked) < MAX_ASKED else None
            done, checks = await asyncio.wait(
                checks, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
            )
            for server, failure in (task.result() for task in done):
                if failure is None:
                    _report(failed, on_failed)
                    return server
                failed[server] = failure
            server = None
            if len(asked) < MAX_ASKED:
                server = await next_server(asked)
            if server is not None:
                asked.append(server)
                checks.add(asyncio.create_task(_outcome(check, server)))
    finally:
        for task in checks:
            task.cancel()
        await asyncio.gather(*checks, return_exceptions=True)
    failure = failed.pop(first)
    _report(failed, on_failed)
    raise failure


async def _outcome(
    check: Callable[[Backend], Awaitable[None]], server: Backend
) -> tuple[Backend, CallFailed | None]:
    try:
        await check(server)
    except CallFailed as failure:
        return server, failure
    return server, None


def _report(
    failed: dict[Backend, CallFailed], on_failed: Callable[[Backend, CallFailed], None]
) -> None:
    for server, failure in failed.items():
        log(
            Part.REQUESTS,
            "A server did not confirm that it has not restarted.",
            backend=server.entry.id,
            reason=failure.reason.value,
        )
        on_failed(server, failure)


async def check_incarnation(
    codec: WireCodec, server: Backend, timeout_s: float
) -> None:
    """Raise :class:`CallFailed` if the server has restarted since its entry.

    Nothing is checked if its entry does not state when it was started.
    """
    if server.entry.started:
        await check_answering(codec, server, timeout_s)


async def check_answering(codec: WireCodec, server: Backend, timeout_s: float) -> None:
    """Raise :class:`CallFailed` unless the server answers, and has not restarted."""
    started = await reported_start(codec, server, timeout_s)
    if server.entry.started and started not in (None, server.entry.started):
        raise CallFailed(RetryReason.BACKEND_REPLACED, not_run=True)


async def reported_start(
    codec: WireCodec, server: Backend, timeout_s: float
) -> int | None:
    """Return when a server says that it was started; None if it does not say.

    The server is asked on a new connection: the network path may have dropped open
    ones, and a report names no attempt. Raises :class:`CallFailed` if it does not
    answer, or reports an error.
    """
    connections = server.connections
    connections.begin_call()
    try:
        async with StallAwareTimeout(timeout_s):
            context = connections.request(
                "GET", codec.REPORT_PATH, CIMultiDict(), b"", CONNECT_S
            )
            async with context as response:
                if response.status >= HTTP_SERVER_ERROR:
                    raise CallFailed(RetryReason.BACKEND_WITHDRAWN, not_run=True)
                return codec.decode_start(
                    await read_bounded(response, MAX_REPORT_BYTES)
                )
    except TimeoutError as error:
        raise CallFailed(RetryReason.CONNECT_SILENT, not_run=True) from error
    except (
        RequestWithheld,
        AnswerTooLong,
        MisattributedAnswer,
        aiohttp.ClientResponseError,
    ) as error:
        raise CallFailed(call_failure(error).reason, not_run=True) from error
    except (aiohttp.ClientError, OSError) as error:
        # Not a lost connection: the request was not running there.
        raise CallFailed(RetryReason.CONNECT_FAILED, not_run=True) from error
    finally:
        connections.end_call()


async def confirms_start(codec: WireCodec, server: Backend) -> bool | None:
    """Return whether the server that listens is the one of its entry.

    One whose entry states no start, or that reports none, counts. None if it does not
    answer.
    """
    try:
        started = await reported_start(codec, server, CONFIRM_TIMEOUT_S)
    except CallFailed:
        return None if server.entry.started else True
    return not server.entry.started or started in (None, server.entry.started)
