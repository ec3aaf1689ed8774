"""Calls from this node to others, over HTTP with JSON."""

import asyncio
from typing import Any, TypeVar

import aiohttp
import msgspec

from ..exceptions import PeerUnreachable

__all__ = ["PeerCalls"]

T = TypeVar("T")


class PeerCalls:
    """Calls other nodes at their internal addresses; the session is shared."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def ask(
        self, address: str, path: str, message: Any, answer: type[T], within: float
    ) -> T:
        """Post ``message`` to ``/peer/v1/{path}`` and decode the answer.

        ``within`` is in seconds. Raises :class:`PeerUnreachable` where no valid
        answer comes in time.
        """
        try:
            # Not the library's own timeout, which loses a cancellation that comes
            # together with it.
            async with (
                asyncio.timeout(within),
                self._session.post(
                    f"http://{address}/peer/v1/{path}",
                    data=msgspec.json.encode(message),
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=within),
                    allow_redirects=False,
                ) as response,
            ):
                return msgspec.json.decode(await response.read(), type=answer)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            raise PeerUnreachable(address, repr(e)) from e
