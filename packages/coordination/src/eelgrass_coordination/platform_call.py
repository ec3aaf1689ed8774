"""One call to the platform's services, with every failure sorted out.

The client library repeats a dropped call by itself only for idempotent methods,
and follows a 307 by sending the body again: calls that may have an effect are
POSTs, and none is redirected.
"""

import asyncio

import aiohttp

from .exceptions import OutcomeUnknown, PlatformUnavailable, Throttled

__all__ = ["call_platform"]

HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


async def call_platform(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None,
    within_s: float,
) -> bytes:
    """Make a call and return the body of its answer.

    Raises :class:`PlatformUnavailable` where it surely had no effect and
    :class:`OutcomeUnknown` where it may have had one.
    """
    try:
        # The library's own timeout loses a cancellation that comes together with it.
        async with (
            asyncio.timeout(within_s),
            session.request(
                method,
                url,
                data=body,
                headers={"Content-Type": "application/json"} if body else None,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=within_s),
                allow_redirects=False,
            ) as response,
        ):
            answer = await response.read()
            status = response.status
    except aiohttp.ClientConnectorError as error:
        raise PlatformUnavailable(str(error)) from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise OutcomeUnknown(repr(error)) from error
    if status == HTTP_TOO_MANY:
        raise Throttled("rate limit")
    if status == HTTP_UNAVAILABLE:
        raise PlatformUnavailable(f"503 from {url}")
    if status != HTTP_OK:
        raise OutcomeUnknown(f"status {status} from {url}")
    return answer
