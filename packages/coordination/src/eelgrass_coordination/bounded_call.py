"""An HTTP call that is given up after a time, with the client library's gaps closed."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

__all__ = ["BoundedAnswer", "bounded_call"]


class BoundedAnswer:
    """The answer to a call; ``received`` is how many bytes of its body have come."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.received = 0

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    def raise_for_status(self) -> None:
        """Raise :class:`aiohttp.ClientResponseError` for a status of 400 or over."""
        self._response.raise_for_status()

    async def read(self) -> bytes:
        """Return the whole body."""
        parts: list[bytes] = []
        async for part in self._response.content.iter_any():
            parts.append(part)
            self.received += len(part)
        return b"".join(parts)


@asynccontextmanager
async def bounded_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    within_s: float,
    connect_s: float | None = None,
    **options: Any,
) -> AsyncIterator[BoundedAnswer]:
    """Make a call and give its answer, for use with ``async with``.

    All of it, the reading of the answer too, may take ``within_s`` and the
    connection ``connect_s`` (as long, if not given), in seconds; after that
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
    answer: BoundedAnswer | None = None
    try:
        async with (
            asyncio.timeout(within_s),
            session.request(
                method, url, timeout=timeout, allow_redirects=False, **options
            ) as response,
        ):
            answer = BoundedAnswer(response)
            yield answer
    except TimeoutError as error:
        raise TimeoutError(_story(answer, within_s)) from error


def _story(answer: BoundedAnswer | None, within_s: float) -> str:
    """Return what an on-call engineer wants to know of a call that was given up."""
    if answer is None:
        return f"no answer within {within_s:g} s"
    return f"{answer.received} bytes of an answer within {within_s:g} s"
