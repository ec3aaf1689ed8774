"""Keeps the stream of one request at the software version that began it."""

import asyncio
from collections.abc import Awaitable, Callable

from eelgrass_coordination.ids import SoftwareVersion

from ..exceptions import CallFailed, RequestRefused
from ..process.backends import Backend
from ..process.stream_origins import StreamOrigin, StreamOrigins
from .incarnation_check import check_incarnation, first_confirmed
from .incoming_request import RoutedRequest, WireCodec
from .reasons import RetryReason

__all__ = ["StreamVersion"]

# The time that all checks between two events may take, in seconds. Callers leave after
# 2 s without an event.
MAX_CHECKS_S = 1.5
# The part of the time left to the deadline; the rest is for the stream.
CHECKS_FRACTION = 0.5
# Timeout of a check once that time is up, for servers that were not asked before.
MIN_CHECK_TIMEOUT_S = 0.3


class StreamVersion:
    """The version at which a stream goes on; ``version`` is None until it has begun.

    The origin is recorded before the first event is sent, so that the caller may resume
    the stream at any node.
    """

    def __init__(self, routed: RoutedRequest, origins: StreamOrigins) -> None:
        self._routed = routed
        self._origins = origins
        self._writer: Backend | None = None
        self._checks_end: float | None = None
        self.version = routed.version

    def check_server(self, server: Backend) -> None:
        """Raise :class:`CallFailed` if the next events are of an uncertain version."""
        if self._writer is not server and server.is_version_uncertain:
            raise CallFailed(RetryReason.VERSION_UNCERTAIN, not_run=False)

    async def confirmed_server(
        self,
        codec: WireCodec,
        chosen: Backend,
        next_server: Callable[[list[Backend]], Awaitable[Backend | None]],
        on_failed: Callable[[Backend, CallFailed], None],
    ) -> Backend:
        """Return a server that is certain to be of the version, ``chosen`` if possible.

        ``next_server`` returns another one of the version that is not in a list, or
        None. Raises :class:`CallFailed` if neither may be of the version, and calls
        ``on_failed`` for failures of others than ``chosen``.
        """
        if self.version is None:
            return chosen
        timeout_s = self._check_timeout_s()

        async def check(server: Backend) -> None:
            await check_incarnation(codec, server, timeout_s)

        return await first_confirmed(chosen, next_server, check, on_failed)

    async def begin_events(self, server: Backend) -> None:
        """Note which server writes the next events, before they are sent."""
        is_first = self._writer is None
        self._writer = server
        self._checks_end = None
        if is_first and self._routed.route.is_resumable_stream:
            self.version = server.entry.version
            await self._record(self.version)

    async def check_continuation(self, failed_server: Backend) -> None:
        """Raise :class:`RequestRefused` if the version of the events is uncertain."""
        if self.version is None or self._writer is not failed_server:
            return
        if failed_server.is_version_uncertain:
            await self._record(None)
            raise RequestRefused("the software version of the stream is not certain")

    def release(self) -> None:
        """Stop renewing the copies of the origin, because the request has ended."""
        self._origins.release(self._routed.stream_id)

    def _check_timeout_s(self) -> float:
        now = asyncio.get_running_loop().time()
        if self._checks_end is None:
            left_s = self._routed.deadline - now
            self._checks_end = now + min(MAX_CHECKS_S, CHECKS_FRACTION * left_s)
        return max(MIN_CHECK_TIMEOUT_S, self._checks_end - now)

    async def _record(self, version: SoftwareVersion | None) -> None:
        routed = self._routed
        origin = StreamOrigin(routed.service, version)
        await self._origins.record(routed.stream_id, origin, routed.caller_timeout_s)
