"""Tells servers that have ended from connections that broke, with what ran there.

A request that loses its connection cannot tell why: the server ended, reset one
connection, or left as planned. A server that has ended without notice is still listed,
does not leave, and nothing listens at its address.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NewType

from ..log import Part, log
from .backends import Backend, Backends, ServerIncarnation

__all__ = ["CrashDetector", "Fingerprint", "Listening"]

# The same for all attempts at one request.
Fingerprint = NewType("Fingerprint", str)

# A connection may be lost on a bad link; after these tries the server counts as living.
TRIES = 4
AGAIN_S = 0.3
# A caller that goes on elsewhere waits so long for the answer: a host that has lost a
# process refuses a connection within two ways between data centres.
CHECKED_S = 0.05
# Servers that have ended are remembered for calls that notice it late.
MAX_REMEMBERED = 1024


class Listening(Enum):
    """Whether anything listens at an address."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class CrashDetector:
    """Collects the requests that servers were running when they ended.

    ``listening_at`` asks for an address, and ``on_ended`` is told which requests a life
    of a server ended under, more than once where some notice late.
    """

    def __init__(
        self,
        backends: Backends,
        listening_at: Callable[[str], Awaitable[Listening]],
        on_ended: Callable[[ServerIncarnation, list[Fingerprint]], None],
    ) -> None:
        self._backends = backends
        self._listening_at = listening_at
        self._on_ended = on_ended
        self._lost_by_life: dict[ServerIncarnation, list[Fingerprint]] = {}
        self._ended: dict[ServerIncarnation, None] = {}
        self._check_by_life: dict[ServerIncarnation, asyncio.Task] = {}

    def on_connection_lost(self, backend: Backend, request: Fingerprint) -> None:
        """Note that a request lost its connection to a server that may have run it."""
        incarnation = backend.entry.incarnation
        if incarnation in self._ended:
            self._tell(backend, [request])
            return
        if self._is_planned(backend):
            return
        lost = self._lost_by_life.get(incarnation)
        if lost is not None:
            lost.append(request)
            return
        self._lost_by_life[incarnation] = [request]
        check = asyncio.create_task(self._check(backend))
        self._check_by_life[incarnation] = check
        check.add_done_callback(lambda _: self._check_by_life.pop(incarnation))

    async def wait_for_check(self, backend: Backend) -> None:
        """Wait a short while until it is known whether a server has ended."""
        check = self._check_by_life.get(backend.entry.incarnation)
        if check is not None:
            await asyncio.wait({check}, timeout=CHECKED_S)

    def stop(self) -> None:
        """End all checks."""
        for check in self._check_by_life.values():
            check.cancel()

    async def _check(self, backend: Backend) -> None:
        incarnation = backend.entry.incarnation
        try:
            listening = await self._ask(backend)
        finally:
            lost = self._lost_by_life.pop(incarnation)
        if listening is Listening.NO:
            self._remember(incarnation)
            self._tell(backend, lost)
            return
        log(
            Part.HOSTS,
            "Connections to a server were lost; it has not ended.",
            backend=incarnation.id,
            listening=listening.value,
            requests=lost,
        )

    async def _ask(self, backend: Backend) -> Listening:
        for _ in range(TRIES):
            listening = await self._listening_at(backend.entry.address)
            if listening is not Listening.UNKNOWN:
                return listening
            await asyncio.sleep(AGAIN_S)
        return Listening.UNKNOWN

    def _is_planned(self, backend: Backend) -> bool:
        """Return whether a server was known to leave, or to be gone, before."""
        listed = self._backends.by_id.get(backend.entry.id)
        return listed is not backend or self._backends.is_leaving(backend)

    def _remember(self, incarnation: ServerIncarnation) -> None:
        self._ended[incarnation] = None
        if len(self._ended) > MAX_REMEMBERED:
            del self._ended[next(iter(self._ended))]

    def _tell(self, backend: Backend, requests: list[Fingerprint]) -> None:
        log(
            Part.HOSTS,
            "A server has ended while it ran requests.",
            backend=backend.entry.id,
            address=backend.entry.address,
            requests=requests,
        )
        self._on_ended(backend.entry.incarnation, requests)
