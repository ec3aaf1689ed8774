"""Selects a server for a request, within the limits of cold and limited servers."""

import asyncio

import msgspec

from ..exceptions import CallFailed, RequestRefused, ServersLimited
from ..process.backends import Backend, ServerIncarnation
from ..process.server_choice import ServerCriteria
from .reasons import RetryReason
from .serving_context import ServingContext

__all__ = ["await_permit", "select_other", "select_server"]

# Servers that may deny a permit before the request is refused; asking for a permit
# may take a call to another node.
MAX_DENIED = 4
# Values of Retry-After, in seconds; a cold server takes a few requests a second.
WARM_UP_RETRY_S = 0.4
MIN_RETRY_S = 0.1
# How long a stream that has begun, or a request whose stages have run, waits for a
# server that has reached its request limit. Callers leave after 2 s without an event.
MAX_PERMIT_WAIT_S = 1.0


async def select_server(
    context: ServingContext, criteria: ServerCriteria, may_wait: bool = False
) -> Backend:
    """Return a server that may receive the request now.

    With ``may_wait`` the request waits for a server that has reached its limit.
    Raises :class:`RequestRefused` as :func:`_select_now` does.
    """
    loop = asyncio.get_running_loop()
    latest = loop.time() + MAX_PERMIT_WAIT_S
    while True:
        try:
            return await _select_now(context, criteria)
        except ServersLimited as limited:
            if not may_wait or loop.time() + limited.wait_s > latest:
                raise
            await asyncio.sleep(limited.wait_s)


async def _select_now(context: ServingContext, criteria: ServerCriteria) -> Backend:
    """Return a server that may receive the request now.

    Raises :class:`RequestRefused` if no server may receive it, or if the only ones left
    are cold or limited and take no more requests for now.
    """
    denied: frozenset[ServerIncarnation] = frozenset()
    retry_after_s = WARM_UP_RETRY_S
    while len(denied) < MAX_DENIED:
        tried = criteria.tried | denied
        server = context.choose(msgspec.structs.replace(criteria, tried=tried))
        if server is None:
            raise context.no_server_refusal(criteria)
        if server.entry.incarnation in denied:
            break
        permit = await context.admit(server)
        if permit.granted:
            return server
        denied |= {server.entry.incarnation}
        retry_after_s = max(MIN_RETRY_S, min(retry_after_s, permit.after_s))
    raise RequestRefused(
        "the servers of the service are warming up or limited", retry_after_s
    )


async def await_permit(context: ServingContext, server: Backend) -> None:
    """Wait for a permit for one more request to a chosen server.

    Raises :class:`CallFailed` if there is none in time.
    """
    loop = asyncio.get_running_loop()
    latest = loop.time() + MAX_PERMIT_WAIT_S
    while not (permit := await context.admit(server)).granted:
        if loop.time() + permit.after_s > latest:
            raise CallFailed(RetryReason.BACKEND_LIMITED, not_run=True)
        await asyncio.sleep(permit.after_s)


async def select_other(
    context: ServingContext, criteria: ServerCriteria, servers: list[Backend]
) -> Backend | None:
    """Return a server that is not in a list and may receive the request now, or None.

    Servers that the request has tried before are not returned either.
    """
    tried = criteria.tried | {server.entry.incarnation for server in servers}
    server = context.choose(msgspec.structs.replace(criteria, tried=tried))
    if server is None or server.entry.incarnation in tried:
        return None
    permit = await context.admit(server)
    return server if permit.granted else None
