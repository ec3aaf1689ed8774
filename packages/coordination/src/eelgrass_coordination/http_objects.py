"""Client of the object store over HTTP."""

import aiohttp

from .exceptions import PlatformUnavailable

__all__ = ["HttpObjects"]

DEFAULT_TIMEOUT_S = 5.0
HTTP_OK = 200


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
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; a repeat of the same write is harmless."""
        await self._call("POST", name, body)

    async def get(self, name: str) -> bytes:
        """Read an object."""
        return await self._call("GET", name, None)

    async def _call(self, method: str, name: str, body: bytes | None) -> bytes:
        url = f"{self._address}/v1/objects/{name}"
        try:
            async with self._session.request(
                method, url, data=body, timeout=self._timeout, allow_redirects=False
            ) as response:
                if response.status != HTTP_OK:
                    raise PlatformUnavailable(f"status {response.status} for {name}")
                return await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(repr(error)) from error
