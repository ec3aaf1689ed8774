"""Checks whether servers answer now, with one check for all requests that ask."""

import asyncio
from collections.abc import Callable

from ..exceptions import CallFailed
from ..process.backends import Backend, ServerIncarnation
from .incarnation_check import check_answering
from .incoming_request import WireCodec

__all__ = ["ServerChecks"]

# Servers report from memory; a silent one is asked again by the next request.
TIMEOUT_S = 0.4
# For how long a result holds, so that many requests cause few checks.
MAX_AGE_S = 0.2


class ServerChecks:
    """The checks of one process; ``clock`` returns seconds."""

    def __init__(self, codec: WireCodec, clock: Callable[[], float]) -> None:
        self._codec = codec
        self._clock = clock
        self._check_by_incarnation: dict[ServerIncarnation, asyncio.Task] = {}
        self._ended_at: dict[ServerIncarnation, float] = {}

    async def check(self, server: Backend) -> None:
        """Raise :class:`CallFailed` if a server does not answer, or has restarted."""
        self._forget_old()
        incarnation = server.entry.incarnation
        check = self._check_by_incarnation.get(incarnation)
        if check is None:
            check = asyncio.create_task(self._failure_of(server))
            self._check_by_incarnation[incarnation] = check
            check.add_done_callback(lambda _: self._note_end(incarnation))
        failure = await asyncio.shield(check)
        if failure is not None:
            raise CallFailed(failure.reason, failure.not_run) from failure

    async def _failure_of(self, server: Backend) -> CallFailed | None:
        try:
            await check_answering(self._codec, server, TIMEOUT_S)
        except CallFailed as failure:
            return failure
        return None

    def _note_end(self, incarnation: ServerIncarnation) -> None:
        self._ended_at[incarnation] = self._clock()

    def _forget_old(self) -> None:
        oldest = self._clock() - MAX_AGE_S
        for incarnation, ended_at in list(self._ended_at.items()):
            if ended_at <= oldest:
                del self._ended_at[incarnation]
                del self._check_by_incarnation[incarnation]
