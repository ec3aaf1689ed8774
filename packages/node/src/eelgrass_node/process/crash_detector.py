"""Detects crashed servers, and collects the requests that they were running.

A lost connection alone does not tell whether the server crashed, reset one connection
or stopped as planned. A server that has crashed is still listed, is not leaving, and
nothing listens at its address.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ..log import Part, log
from .backends import Backend, Backends, ServerIncarnation
from .crash_subjects import Fingerprint, PartCrash, PartKey
from .listening import Listening

__all__ = ["CrashDetector", "Fingerprint", "Listening"]

# Probes of an address that gives no answer. After these the server counts as running:
# the connection may have been lost on a bad link.
TRIES = 4
RETRY_INTERVAL_S = 0.3
# A request that continues on another server waits this long for the result of a check.
# A host whose process has crashed refuses a connection within one round trip between
# data centres.
CHECK_WAIT_S = 0.05
# Crashed servers that are remembered, for calls that notice the crash late.
MAX_REMEMBERED = 1024


class _LostRequest(msgspec.Struct, frozen=True):
    """A request that lost its server, and the shared parts of its prompt."""

    request: Fingerprint
    parts: frozenset[PartKey]


class CrashDetector:
    """Collects the requests that servers were running when they crashed.

    ``listening_at`` probes an address. ``on_crash`` is called with the incarnation of
    a crashed server and the requests that it was running, and again for requests that
    notice the crash late. ``on_crash_under_parts`` is called with the parts of these
    requests' prompts, if there are any.
    """

    def __init__(
        self,
        backends: Backends,
        listening_at: Callable[[str], Awaitable[Listening]],
        on_crash: Callable[[ServerIncarnation, list[Fingerprint]], None],
        on_crash_under_parts: Callable[[PartCrash], None] = lambda crash: None,
    ) -> None:
        self._backends = backends
        self._listening_at = listening_at
        self._on_crash = on_crash
        self._on_crash_under_parts = on_crash_under_parts
        self._lost_by_incarnation: dict[ServerIncarnation, list[_LostRequest]] = {}
        self._crashed: dict[ServerIncarnation, None] = {}
        self._check_by_incarnation: dict[ServerIncarnation, asyncio.Task] = {}

    def on_connection_lost(
        self,
        backend: Backend,
        request: Fingerprint,
        parts: frozenset[PartKey] = frozenset(),
    ) -> None:
        """Handle the loss of a connection to a server that may have run a request.

        ``parts`` are the shared parts of the request's prompt.
        """
        incarnation = backend.entry.incarnation
        lost_request = _LostRequest(request, parts)
        if incarnation in self._crashed:
            self._report(backend, [lost_request])
            return
        if self._is_planned(backend):
            return
        lost = self._lost_by_incarnation.get(incarnation)
        if lost is not None:
            lost.append(lost_request)
            return
        self._lost_by_incarnation[incarnation] = [lost_request]
        check = asyncio.create_task(self._check(backend))
        self._check_by_incarnation[incarnation] = check
        check.add_done_callback(lambda _: self._check_by_incarnation.pop(incarnation))

    async def wait_for_check(self, backend: Backend) -> None:
        """Wait a short time for the running check of a server, if there is one."""
        check = self._check_by_incarnation.get(backend.entry.incarnation)
        if check is not None:
            await asyncio.wait({check}, timeout=CHECK_WAIT_S)

    def stop(self) -> None:
        """Cancel all checks."""
        for check in self._check_by_incarnation.values():
            check.cancel()

    async def _check(self, backend: Backend) -> None:
        incarnation = backend.entry.incarnation
        try:
            listening = await self._probe(backend)
        finally:
            lost = self._lost_by_incarnation.pop(incarnation)
        if listening is Listening.NO:
            self._remember(incarnation)
            self._report(backend, lost)
            return
        log(
            Part.HOSTS,
            "Connections to a server were lost; it is not considered crashed.",
            backend=incarnation.id,
            listening=listening.value,
            requests=[one.request for one in lost],
        )

    async def _probe(self, backend: Backend) -> Listening:
        for _ in range(TRIES):
            listening = await self._listening_at(backend.entry.address)
            if listening is not Listening.UNKNOWN:
                return listening
            await asyncio.sleep(RETRY_INTERVAL_S)
        return Listening.UNKNOWN

    def _is_planned(self, backend: Backend) -> bool:
        """Return whether a server was already leaving or no longer listed."""
        listed = self._backends.by_id.get(backend.entry.id)
        return listed is not backend or self._backends.is_leaving(backend)

    def _remember(self, incarnation: ServerIncarnation) -> None:
        self._crashed[incarnation] = None
        if len(self._crashed) > MAX_REMEMBERED:
            del self._crashed[next(iter(self._crashed))]

    def _report(self, backend: Backend, lost: list[_LostRequest]) -> None:
        requests = [one.request for one in lost]
        parts = frozenset().union(*(one.parts for one in lost))
        log(
            Part.HOSTS,
            "A server crashed while it was running requests.",
            backend=backend.entry.id,
            address=backend.entry.address,
            requests=requests,
            parts=sorted(parts),
        )
        entry = backend.entry
        self._on_crash(entry.incarnation, requests)
        if parts:
            crash = PartCrash(entry.incarnation, entry.version, tuple(parts))
            self._on_crash_under_parts(crash)
