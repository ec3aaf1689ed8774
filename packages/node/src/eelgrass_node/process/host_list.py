"""Polls the platform's list of backend servers, which lags behind.

The pollers of a data centre read the list at every interval and announce the servers
that are leaving. The other nodes read it less often, because the list is long and the
load of reading it would grow with the number of nodes.
"""

import asyncio
import itertools
from collections.abc import Callable

import aiohttp
import msgspec

from eelgrass_coordination import bounded_call, decode_json

from ..log import Part, log
from .backends import Backends, HostEntry

__all__ = ["HostListPoller"]


NON_POLLER_INTERVALS = 10
BYTES_PER_S = 8192


class HostListPoller:
    """Polls the host list; during an outage the last list stays in force.

    ``should_poll`` returns whether this node is currently a poller of its data centre.
    ``on_leaving`` is called for each entry that is newly listed as leaving.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        platform_address: str,
        backends: Backends,
        should_poll: Callable[[], bool],
        interval_s: float,
        timeout_s: float,
    ) -> None:
        self._session = session
        self._url = f"{platform_address}/v1/hosts"
        self._backends = backends
        self._should_poll = should_poll
        self._interval_s = interval_s
        self._timeout_s = timeout_s
        self._failing = False
        self._bytes = 0
        self.on_leaving = lambda backend_id, started: None

    async def run(self) -> None:
        """Poll until cancelled."""
        for turn in itertools.count():
            # A long list is read less often to bound the bytes per second. There are
            # several pollers, and each announces the changes that it sees.
            await asyncio.sleep(max(self._interval_s, self._bytes / BYTES_PER_S))
            if self._failing or turn % NON_POLLER_INTERVALS == 0 or self._should_poll():
                await self.poll()

    async def poll(self) -> None:
        """Read the list once."""
        try:
            async with bounded_call(
                self._session, "POST", self._url, self._timeout_s
            ) as response:
                response.raise_for_status()
                body = await response.read()
            entries = decode_json(body, list[HostEntry])
            self._bytes = len(body)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            self._on_failure(e)
            return
        if self._failing:
            log(Part.HOSTS, "The host list can be read again.")
            self._failing = False
        for entry in self._backends.update(entries):
            log(Part.HOSTS, "A backend server is leaving.", backend=entry.id)
            self.on_leaving(entry.id, entry.started)

    def _on_failure(self, error: Exception) -> None:
        if not self._failing:
            log(Part.HOSTS, "The host list cannot be read.", error=repr(error))
        self._failing = True
