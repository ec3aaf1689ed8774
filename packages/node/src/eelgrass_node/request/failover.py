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
from .server_selection import select_other
from .serving_context import ServingContext
from .stream_version import StreamVersion

__all__ = ["Failover"]


class Failover:
    """Secures another server for one request while its call goes on."""

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
        self._silent: Backend | None = None
        # Whether the stages ran again for the call to a server to be secured.
        self._has_rerun = False
        self._secured: Backend | None = None

    @property
    def is_secured(self) -> bool:
        """Whether a server has been secured and not been taken yet."""
        return self._secured is not None

    def take(self) -> Backend | None:
        """Return the server that was secured, for the next call, or None."""
        secured, self._secured = self._secured, None
        self._has_rerun = False
        return secured

    def wait_for(self, server: Backend) -> AnswerWait:
        """Return the waits for an answer of a server."""
        return AnswerWait(partial(self.secure, server), self.withdraw)

    def withdraw(self) -> None:
        """Give up the server that was secured, as the present one goes on."""
        self._secured = None
        self._release_rerun()

    async def secure(self, silent: Backend) -> bool:
        """Return whether the request is certain of another server than ``silent``."""
        self._secured = None
        if not self._limits.may_run_again():
            return False
        self._record_silence(silent)
        if not self._stream_version.may_leave(silent) or not self._limits.can_pay():
            return False
        try:
            server = await self._find(silent)
            if server and self._routed.route.stages and self._graph.released:
                self._has_rerun = True
                await self._graph.run()
                await self._confirm(server)
        except (CallFailed, RequestRefused, StagesFailed) as failure:
            self._log_kept(silent, str(failure))
            server = None
        except BaseException:
            self._release_rerun()
            raise
        if server is None or not self._limits.pay_ahead():
            self._release_rerun()
            return False
        self._secured = server
        return True

    async def _find(self, silent: Backend) -> Backend | None:
        criteria = self._criteria()
        first = await select_other(self._context, criteria, [silent])
        if first is None:
            return None
        return await first_confirmed(
            first,
            lambda asked: select_other(self._context, criteria, [silent, *asked]),
            self._confirm,
            partial(record_failure, self._context),
        )

    async def _confirm(self, server: Backend) -> None:
        """Raise :class:`CallFailed` if a server cannot continue a stream now.

        A plain request needs no proof: its caller gets an error if this server is
        silent, too.
        """
        if self._routed.route.kind is not RouteKind.STREAM:
            return
        await self._context.server_checks.confirm(server)
        if not self._context.is_allowed(self._criteria(), server):
            raise CallFailed(RetryReason.BACKEND_WITHDRAWN, not_run=True)

    def _release_rerun(self) -> None:
        """Free the results of stages that ran for a call that is not made."""
        if self._has_rerun:
            self._has_rerun = False
            self._graph.release()

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
