"""Calls to the platform's services, with each failure mapped to an exception.

aiohttp retries a dropped call on its own if the method is idempotent. Calls that may
have an effect therefore use POST, which it does not retry.
"""

import aiohttp

from .bounded_call import bounded_call
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
    """Make a call and return the body of its response.

    Raises :class:`PlatformUnavailable` if the call certainly had no effect and
    :class:`OutcomeUnknown` if it may have had one.
    """
    try:
        headers = {"Content-Type": "application/json"} if body else None
        async with bounded_call(
            session, method, url, within_s, data=body, headers=headers
        ) as response:
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
