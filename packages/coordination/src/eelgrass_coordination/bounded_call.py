"""An HTTP call that is given up after a time, with the client library's gaps closed."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

__all__ = ["bounded_call"]


@asynccontextmanager
async def bounded_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    within_s: float,
    connect_s: float | None = None,
    **options: Any,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Make a call and give its answer, for use with ``async with``.

    All of it, the reading of the answer too, may take ``within_s`` and the
    connection ``connect_s`` (as long, if not given), in seconds; after that
    :class:`TimeoutError` is raised. No redirect is followed: a 307 would send the
    body again. ``options`` go to the session.

    The library's own timeout is not used: it loses a cancellation that comes together
    with it, as after a suspension, and a stop would then never end.

    Example::

        async with bounded_call(session, "POST", url, 1.0, data=body) as response:
            answer = await response.read()
    """
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s or within_s)
    async with (
        asyncio.timeout(within_s),
        session.request(
            method, url, timeout=timeout, allow_redirects=False, **options
        ) as response,
    ):
        yield response
