"""Client of the object store over HTTP."""

import aiohttp

from .exceptions import OutcomeUnknown, PlatformUnavailable
from .platform_call import call_platform

__all__ = ["HttpObjects"]

DEFAULT_TIMEOUT_S = 5.0


class HttpObjects:
    """The object store at ``address``; the session belongs to the caller."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._session = session
        self._address = address
        self._timeout_s = timeout

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; a repeat of the same write is harmless."""
        await self._call("POST", name, body)

    async def get(self, name: str) -> bytes:
        """Read an object."""
        return await self._call("GET", name, None)

    async def _call(self, method: str, name: str, body: bytes | None) -> bytes:
        url = f"{self._address}/v1/objects/{name}"
        try:
            return await call_platform(
                self._session, method, url, body, self._timeout_s
            )
        except OutcomeUnknown as error:
            # Objects are only written whole and with the same bytes again.
            raise PlatformUnavailable(str(error)) from error
