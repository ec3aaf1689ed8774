"""Decides when a call to a silent server is given up for a call to another one.

This is the only place that does so. What a call was answering is lost once it is
closed, so the request must be certain of another server first: it may run again, a
server that is known to answer has a place for it, the results of its stages are there,
and the retry budget allows it.
"""

from collections.abc import Callable
from functools import partial

from ..exceptions import CallFailed, RequestRefused, StagesFailed
from ..log import Part, log
from ..process.backends import Backend
from ..process.server_choice import ServerCriteria
from ..version.deployment import RouteKind
from .answer_wait import AnswerWait
from .call_failures import record_failure
from .graph import StageGraph
from .incarnation_check import first_confirmed
from .incoming_request import RoutedRequest
from .reasons import RetryReason
from .retry_limits import RetryLimits
from .server_selection import await_permit, select_other
from .serving_context import ServingContext
from .stream_version import StreamVersion

__all__ = ["Failover"]


class Failover:
    """Secures another server for one request while its call goes on.

    A server for a stream has to answer on a new connection before it is secured. Those
    that :class:`StreamVersion` confirms replace no call that could go on, so that it is
    enough that they have not restarted.
    """

    def __init__(
        self,
        context: ServingContext,
        routed: RoutedRequest,
        limits: RetryLimits,
        graph: StageGraph,
        stream_version: StreamVersion,
        criteria: Callable[[], ServerCriteria],
    ) -> None:
        self._context = context
        self._routed = routed
        self._limits = limits
        self._graph = graph
        self._stream_version = stream_version
        self._criteria = criteria
        # The server whose silence was recorded last.
        self._silent: Backend | None = None
        # Whether the stages have run again for the server that is to take over.
        self._has_rerun = False
        # The server that is to take over, also while it is not secured yet.
        self._held: Backend | None = None
        self._is_secured = False

    @property
    def is_secured(self) -> bool:
        """Whether a server has been secured and not been taken yet."""
        return self._is_secured

    def take(self) -> Backend | None:
        """Return the server that was secured, for the next call.

        None if there is none, or if it may not get the request any more.
        """
        secured = self._held if self._is_secured else None
        self._hold(None)
        self._has_rerun = False
        if secured is None or not self._is_allowed(secured):
            return None
        return secured

    def wait_for(self, server: Backend) -> AnswerWait:
        """Return the waits for an answer of a server."""
        return AnswerWait(partial(self.secure, server), self.release)

    def release(self) -> None:
        """Give up the server that was secured, if there is one; it is not needed."""
        self._hold(None)
        if self._has_rerun:
            self._has_rerun = False
            self._graph.release()

    async def secure(self, silent: Backend) -> bool:
        """Return whether the request is certain of another server than ``silent``."""
        if not self._limits.may_run_again():
            return False
        self._record_silence(silent)
        if not self._limits.may_reserve_retry():
            return False
        try:
            self._is_secured = await self._secure(silent)
        except (CallFailed, RequestRefused, StagesFailed) as failure:
            self._log_kept(silent, str(failure))
        finally:
            if not self._is_secured:
                self.release()
        return self._is_secured

    async def _secure(self, silent: Backend) -> bool:
        server = await self._find(silent)
        if server is None or not self._limits.reserve_retry():
            return False
        if self._routed.route.stages and self._graph.released:
            self._has_rerun = True
            await self._graph.run()
            await self._check_can_take_over(server)
        if self._routed.route.kind is RouteKind.STREAM and server.permit_wait_s():
            # The check has used the permit that there was.
            await await_permit(self._context, server)
        return self._stream_version.may_leave(silent) and self._is_allowed(server)

    async def _find(self, silent: Backend) -> Backend | None:
        """Return a server that is counted as in use from now on."""
        criteria = self._criteria()
        first = await select_other(self._context, criteria, [silent])
        if first is None:
            return None
        self._hold(first)
        try:
            server = await first_confirmed(
                first,
                lambda asked: select_other(self._context, criteria, [silent, *asked]),
                self._check_can_take_over,
                partial(record_failure, self._context),
            )
        except CallFailed as failed:
            record_failure(self._context, first, failed)
            raise
        self._hold(server)
        return server

    def _hold(self, server: Backend | None) -> None:
        """Count a server as in use, in place of the one before, until it is taken."""
        if self._held is not None:
            self._held.in_flight -= 1
        if server is not None:
            server.in_flight += 1
        self._held = server
        self._is_secured = False

    def _is_allowed(self, server: Backend) -> bool:
        return self._context.is_allowed(self._criteria(), server)

    async def _check_can_take_over(self, server: Backend) -> None:
        """Raise :class:`CallFailed` if a server cannot continue a stream now.

        A plain request needs no proof: its caller gets an error if this server is
        silent, too.
        """
        if self._routed.route.kind is not RouteKind.STREAM:
            return
        await self._context.server_checks.check(server)
        if not self._is_allowed(server):
            raise CallFailed(RetryReason.BACKEND_WITHDRAWN, not_run=True)

    def _record_silence(self, silent: Backend) -> None:
        """Prefer other servers for new requests, and check the path to this one."""
        if self._silent is silent:
            return
        self._silent = silent
        failure = CallFailed(RetryReason.CONNECTION_SILENT, not_run=False)
        record_failure(self._context, silent, failure)

    def _log_kept(self, silent: Backend, reason: str) -> None:
        log(
            Part.REQUESTS,
            "A server is silent and no other one can take over; waiting for it.",
            id=self._routed.incoming.request_id,
            backend=silent.entry.id,
            reason=reason,
        )
