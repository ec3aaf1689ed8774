"""An HTTP call that is given up in silence, with the client library's gaps closed."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from .running_time import StallAwareTimeout, running_time

__all__ = ["BoundedResponse", "bounded_call", "send_allowance_s"]

# An answer that has begun may pause for so long: a lost packet comes again in half of
# it. One that stops, with its sender frozen or cut off, is given up then.
SILENCE_S = 0.4
# An answer that comes more slowly is given up, too: others may have it sooner. It is
# what each of a hundred answers gets that share a link of 5 Mbit/s.
MIN_RECEIVE_BYTES_PER_S = 6_000
# A body goes out at least this fast while its receiver is well: the narrowest links
# that are planned for carry twice as much, and share it with other calls.
MIN_SEND_BYTES_PER_S = 300_000


def send_allowance_s(size: int) -> float:
    """Return how long a body of ``size`` bytes may take to go out, in seconds.

    A wait for an answer is longer by this. Otherwise a body that grows with the
    deployment would never arrive one day: the call would be made again for ever.

    Sizes are gone by, and not how much has been written, since the operating system
    takes megabytes of a body before it sends the first of them.
    """
    return size / MIN_SEND_BYTES_PER_S


class BoundedResponse:
    """The answer to a call.

    Once it has begun, a time of its own takes the place of ``bound``, which every part
    that comes puts off. What an answer carries grows with the deployment, so that a
    fixed time for all of it would be too short one day: each answer would be thrown
    away half read, and asked for again for ever.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, bound: StallAwareTimeout
    ) -> None:
        self._response = response
        self._bound = bound
        self._began_at = running_time()
        self._put_off()

    @property
    def received(self) -> int:
        """How many bytes of the body have come, compressed as they are on the way."""
        return self._response.content.total_raw_bytes

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    def raise_for_status(self) -> None:
        """Raise :class:`aiohttp.ClientResponseError` for a status of 400 or over."""
        self._response.raise_for_status()

    async def read(self) -> bytes:
        """Return the whole body; the call ends with :class:`TimeoutError` otherwise."""
        parts: list[bytes] = []
        async for part in self._response.content.iter_any():
            parts.append(part)
            self._put_off()
        return b"".join(parts)

    def _put_off(self) -> None:
        """Let the call go on until it has been silent, or slow, for too long."""
        slow_at = self._began_at + SILENCE_S + self.received / MIN_RECEIVE_BYTES_PER_S
        self._bound.restart(min(SILENCE_S, slow_at - running_time()))


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
    """Make a call with the body ``data`` and give its answer, for ``async with``.

    The answer must begin ``within_s`` after the body has had time to go out, and the
    connection come about ``connect_s`` (as long, if not given), in seconds; an answer
    that has begun may take as long as it goes on coming. Otherwise
    :class:`TimeoutError` is raised, which tells how much of the answer had come. No
    redirect is followed: a 307 would send the body again. ``options`` go to the
    session.

    The library's own timeout is not used: it loses a cancellation that comes together
    with it, as after a suspension, and a stop would then never end.

    Example::

        async with bounded_call(session, "POST", url, 1.0, data=body) as answer:
            body = await answer.read()
    """
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s or within_s)
    begins_s = within_s + send_allowance_s(len(data or b""))
    answer: BoundedResponse | None = None
    bound = StallAwareTimeout(begins_s)
    try:
        async with (
            bound,
            session.request(
                method,
                url,
                data=data,
                timeout=timeout,
                allow_redirects=False,
                **options,
            ) as response,
        ):
            answer = BoundedResponse(response, bound)
            yield answer
    except TimeoutError as error:
        if not bound.expired():
            # It is the library's, of a connection that did not come about, or the
            # caller's own.
            raise
        raise TimeoutError(_reason(answer, begins_s)) from error


def _reason(answer: BoundedResponse | None, begins_s: float) -> str:
    """Return why a call was given up: a silent node differs from a slow link."""
    if answer is None:
        return f"no answer within {begins_s:.3g} s"
    return f"an answer that stopped, or came too slowly, after {answer.received} bytes"
