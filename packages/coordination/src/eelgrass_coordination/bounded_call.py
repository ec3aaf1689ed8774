"""An HTTP call that ends when its response stops or is too slow.

The timeouts count running time, and replace the client library's own, which can lose
a cancellation.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from .running_time import StallAwareTimeout, running_time

__all__ = ["BoundedResponse", "bounded_call", "send_allowance_s"]

# Longest pause within a response body. A lost packet is retransmitted within half of
# it; a longer pause means that the sender is frozen or disconnected.
IDLE_TIMEOUT_S = 0.4
# A response that arrives more slowly is given up as well, since another server may
# deliver it sooner. A hundred responses that share a link of 5 Mbit/s get this each.
MIN_RECEIVE_BYTES_PER_S = 6_000
# Lowest rate at which a request body is sent while its receiver is healthy. The
# narrowest links that are planned for carry twice as much, shared with other calls.
MIN_SEND_BYTES_PER_S = 300_000


def send_allowance_s(size: int) -> float:
    """Return how long sending a body of ``size`` bytes may take, in seconds.

    Timeouts for the start of a response are extended by it. With a fixed timeout, a
    body that grows with the deployment would at some size never arrive in time, and
    the call would be retried for ever.

    The allowance depends on the size and not on the bytes written so far, because the
    operating system buffers megabytes of a body before it sends the first of them.
    """
    return size / MIN_SEND_BYTES_PER_S


class BoundedResponse:
    """The response to a call.

    Once the response has started, ``timeout`` is restarted at every chunk. Responses
    grow with the deployment, so a fixed timeout for the complete response would at
    some size be too short: every response would be discarded half read, and the call
    would be retried for ever.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, timeout: StallAwareTimeout
    ) -> None:
        self._response = response
        self._timeout = timeout
        self._started_at = running_time()
        self._extend_timeout()

    @property
    def received(self) -> int:
        """How many bytes of the body have been received, before decompression."""
        return self._response.content.total_raw_bytes

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    def raise_for_status(self) -> None:
        """Raise :class:`aiohttp.ClientResponseError` for a status of 400 or over."""
        self._response.raise_for_status()

    async def read(self) -> bytes:
        """Return the complete body.

        The call raises :class:`TimeoutError` if the body stops or is too slow.
        """
        chunks: list[bytes] = []
        async for chunk in self._response.content.iter_any():
            chunks.append(chunk)
            self._extend_timeout()
        return b"".join(chunks)

    def _extend_timeout(self) -> None:
        """Restart the timeout, to expire once the body is idle or slow for too long."""
        too_slow_at = (
            self._started_at + IDLE_TIMEOUT_S + self.received / MIN_RECEIVE_BYTES_PER_S
        )
        self._timeout.restart(min(IDLE_TIMEOUT_S, too_slow_at - running_time()))


@asynccontextmanager
async def bounded_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    within_s: float,
    connect_s: float | None = None,
    data: bytes | None = None,
    **options: Any,
) -> AsyncIterator[BoundedResponse]:
    """Make a call with the body ``data`` and yield its response, for ``async with``.

    The connection must be established within ``connect_s`` seconds (default:
    ``within_s``), and the response must start ``within_s`` seconds after the time that
    :func:`send_allowance_s` grants for sending the body. A response that has started
    may take as long as it keeps arriving. Otherwise :class:`TimeoutError` is raised,
    with the number of bytes received. Redirects are not followed: a 307 would send the
    body again. ``options`` are passed to the session.

    The library's own timeout is not used: it loses a cancellation that coincides with
    it, as may happen after the process was suspended, and stopping the process would
    then never finish.

    Example::

        async with bounded_call(session, "POST", url, 1.0, data=body) as response:
            body = await response.read()
    """
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s or within_s)
    response_timeout_s = within_s + send_allowance_s(len(data or b""))
    response: BoundedResponse | None = None
    response_timeout = StallAwareTimeout(response_timeout_s)
    try:
        async with (
            response_timeout,
            session.request(
                method,
                url,
                data=data,
                timeout=timeout,
                allow_redirects=False,
                **options,
            ) as raw_response,
        ):
            response = BoundedResponse(raw_response, response_timeout)
            yield response
    except TimeoutError as error:
        if not response_timeout.expired():
            # The library's connection timeout, or a timeout of the caller's block.
            raise
        raise TimeoutError(_timeout_reason(response, response_timeout_s)) from error


def _timeout_reason(response: BoundedResponse | None, response_timeout_s: float) -> str:
    """Return why a call was given up, to tell a silent peer from a slow link."""
    if response is None:
        return f"no response within {response_timeout_s:.3g} s"
    return f"response stopped or was too slow after {response.received} bytes"
