"""Client of the object store over HTTP."""

import aiohttp

from .exceptions import OutcomeUnknown, PlatformUnavailable
from .platform_call import call_platform

__all__ = ["HttpObjects"]

DEFAULT_TIMEOUT_S = 5.0


class HttpObjects:
    """The object store at ``address``; the caller owns and closes the session."""

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
        """Write an object; repeating the same write has no further effect."""
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
            # Safe to retry: a write replaces the full object, and a retry sends the
            # same bytes.
            raise PlatformUnavailable(str(error)) from error
