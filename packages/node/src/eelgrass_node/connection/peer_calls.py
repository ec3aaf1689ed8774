"""Calls from this node to other nodes, as JSON over HTTP."""

from collections.abc import Callable
from typing import Any, TypeVar

import aiohttp
import msgspec

from eelgrass_coordination import bounded_call, decode_json

from ..exceptions import PeerUnreachable

__all__ = ["PeerCalls"]

T = TypeVar("T")


class PeerCalls:
    """Calls other nodes at their internal addresses, in one shared session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def ask(
        self,
        address: str,
        path: str,
        message: Any,
        answer: type[T],
        within_s: float,
        on_started: Callable[[], None] = lambda: None,
    ) -> T:
        """Post ``message`` to ``/peer/v1/{path}`` and decode the answer.

        The answer must begin within ``within_s`` seconds, plus an allowance for sending
        a large message; ``on_started`` is called when it does. It may then take any
        time while data keeps arriving. Raises :class:`PeerUnreachable` if there is no
        valid answer.
        """
        try:
            async with bounded_call(
                self._session,
                "POST",
                f"http://{address}/peer/v1/{path}",
                within_s,
                data=msgspec.json.encode(message),
            ) as response:
                on_started()
                return decode_json(await response.read(), answer)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            raise PeerUnreachable(address, repr(e)) from e
