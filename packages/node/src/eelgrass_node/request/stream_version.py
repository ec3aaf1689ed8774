"""Keeps the stream of one request at the software version that began it."""

import asyncio

from eelgrass_coordination.ids import SoftwareVersion

from ..exceptions import CallFailed, RequestRefused
from ..log import Part, log
from ..process.backends import Backend
from ..process.server_choice import ServerCriteria
from ..process.stream_origins import StreamOrigin
from .call_failures import record_failure
from .incarnation_check import check_incarnation, first_confirmed, reported_start
from .incoming_request import RoutedRequest
from .reasons import RetryReason
from .server_selection import await_permit, select_other
from .serving_context import ServingContext

__all__ = ["StreamVersion"]

# The time that all checks between two events may take, in seconds. Callers leave after
# 2 s without an event.
MAX_CHECKS_S = 1.5
# The part of the time left to the deadline; the rest is for the stream.
CHECKS_FRACTION = 0.5
# Timeout of a check once that time is up, for servers that were not asked before.
MIN_CHECK_TIMEOUT_S = 0.3
# Servers report from memory. One that does not has ended, or is overloaded.
CONFIRM_TIMEOUT_S = 0.4

# Tasks that go on after their request, which may have ended sooner.
_confirming_tasks: set[asyncio.Task] = set()


class StreamVersion:
    """The version at which a stream goes on; ``version`` is None until it has begun.

    The origin is recorded before the first event is sent, so that the caller may resume
    the stream at any node. If the list of servers is not current, the server that has
    sent the event is asked for its start meanwhile: it may have restarted with another
    version. The stream does not go on elsewhere unless it confirms its entry.
    """

    def __init__(self, routed: RoutedRequest, context: ServingContext) -> None:
        self._routed = routed
        self._context = context
        self._origins = context.origins
        self._confirming: asyncio.Task | None = None
        self._is_uncertain = False
        self._is_released = False
        self._writer: Backend | None = None
        self._checks_end: float | None = None
        self.version = routed.version

    def check_server(self, server: Backend) -> None:
        """Raise :class:`CallFailed` if the next events are of an uncertain version."""
        if self._writer is not server and server.is_version_uncertain:
            raise CallFailed(RetryReason.VERSION_UNCERTAIN, not_run=False)

    async def confirmed_server(
        self, context: ServingContext, criteria: ServerCriteria, chosen: Backend
    ) -> Backend:
        """Return a server that is certain to be of the version, ``chosen`` if possible.

        It is counted as in use instead of ``chosen``. Raises :class:`CallFailed` if
        none is.
        """
        if self.version is None:
            return chosen
        timeout_s = self._check_timeout_s()

        async def check(server: Backend) -> None:
            await check_incarnation(context.codec, server, timeout_s)
            if not context.is_allowed(criteria, server):
                raise CallFailed(RetryReason.BACKEND_WITHDRAWN, not_run=True)

        confirmed = await first_confirmed(
            chosen,
            lambda asked: select_other(context, criteria, asked),
            check,
            lambda server, failed: record_failure(context, server, failed),
        )
        if confirmed.permit_wait_s():
            # The check has used the permit that there was.
            await await_permit(context, confirmed)
        chosen.in_flight -= 1
        confirmed.in_flight += 1
        return confirmed

    async def begin_events(self, server: Backend) -> None:
        """Note which server writes the next events, before they are sent."""
        is_first = self._writer is None
        self._writer = server
        self._checks_end = None
        if is_first and self._routed.route.is_resumable_stream:
            self.version = server.entry.version
            if not self._context.is_list_recent():
                self._confirming = asyncio.create_task(self._confirm_writer(server))
                _confirming_tasks.add(self._confirming)
                self._confirming.add_done_callback(_confirming_tasks.discard)
            await self._record(self.version)

    async def check_continuation(self, failed_server: Backend) -> None:
        """Raise :class:`RequestRefused` if the version of the events is uncertain."""
        if self.version is None or self._writer is not failed_server:
            return
        if self._confirming is not None:
            await asyncio.wait({self._confirming})
        if self._is_uncertain or failed_server.is_version_uncertain:
            await self._record(None)
            raise RequestRefused("the software version of the stream is not certain")

    def may_leave(self, server: Backend) -> bool:
        """Return whether another server could continue what this one has written."""
        if self.version is None or self._writer is not server:
            return True
        is_confirming = self._confirming is not None and not self._confirming.done()
        is_uncertain = self._is_uncertain or server.is_version_uncertain
        return not is_confirming and not is_uncertain

    def release(self) -> None:
        """Stop renewing the copies of the origin, because the request has ended."""
        self._is_released = True
        self._origins.release(self._routed.stream_id)

    async def _confirm_writer(self, server: Backend) -> None:
        """Ask a server whether it is the one of its entry; else note that it is not."""
        if not server.entry.started:
            return
        try:
            started = await reported_start(
                self._context.codec, server, CONFIRM_TIMEOUT_S
            )
        except CallFailed:
            started = None
        if started == server.entry.started:
            return
        self._is_uncertain = True
        if started is not None:
            server.is_version_uncertain = True
        log(
            Part.REQUESTS,
            "Which version began a stream is not certain: the list of servers is "
            "old, and the server does not confirm its entry.",
            id=self._routed.incoming.request_id,
            backend=server.entry.id,
            started=started,
            listed=server.entry.started,
        )
        await self._record(None)
        if self._is_released:
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
