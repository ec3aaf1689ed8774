"""Checks one request against the quarantines, and reports what its servers did.

A request is refused if servers crashed under it, or under a part of its prompt. A
request with such a part may be admitted as a trial.
"""

import asyncio
from functools import cached_property

from ..exceptions import PromptPartQuarantined, RequestQuarantined
from ..process.backends import Backend
from ..process.crash_subjects import Fingerprint, PartKey
from .fingerprint import fingerprint_of, part_keys_of
from .incoming_request import ResponseHead, RoutedRequest
from .serving_context import ServingContext

__all__ = ["QuarantineCheck"]

# A server that crashes when it begins an answer may have sent the head and an event by
# then. An answer counts as begun if it has gone on for this long after its first event.
SOUND_AFTER_S = 0.15
# A request that has a part in quarantine is told to return no later than this. The
# part may have been exonerated by then.
MAX_RETRY_AFTER_S = 3600.0
HTTP_REDIRECT = 300
HTTP_SERVER_ERROR = 500


class QuarantineCheck:
    """The checks of one request, over all of its calls."""

    def __init__(self, context: ServingContext, routed: RoutedRequest) -> None:
        self._poison_requests = context.poison_requests
        self._trials = context.part_trials
        self._routed = routed
        # The held parts that this request has a permit to try.
        self._trial: frozenset[PartKey] | None = None
        self._first_event_at: float | None = None
        self._answer_recorded = False

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """The digest of the request."""
        return fingerprint_of(self._routed)

    @cached_property
    def _parts(self) -> frozenset[PartKey]:
        return part_keys_of(self._routed)

    @property
    def is_suspect(self) -> bool:
        """Whether a server has crashed under this request."""
        quarantine = self._poison_requests.quarantine
        return bool(quarantine) and quarantine.is_suspect(self.fingerprint)

    async def check(self) -> None:
        """Raise :class:`RequestRefused` if the request may not be sent to a server."""
        quarantine = self._poison_requests.quarantine
        if quarantine and quarantine.is_quarantined(self.fingerprint):
            raise RequestQuarantined(
                self.fingerprint, quarantine.remaining_s(self.fingerprint)
            )
        if self._poison_requests.parts.quarantine:
            await self._check_parts()

    async def _check_parts(self) -> None:
        held = self._poison_requests.parts.quarantine.held_among(self._parts)
        if not held or held == self._trial:
            return
        permit = await self._trials.admit(held)
        if not permit.granted:
            raise PromptPartQuarantined(min(MAX_RETRY_AFTER_S, permit.after_s))
        self._trial = held

    def record_lost_server(self, backend: Backend) -> None:
        """Report that a server was lost that may have been running the request."""
        self._poison_requests.crash_detector.on_connection_lost(
            backend, self.fingerprint, self._parts
        )

    def end_trial(self) -> None:
        """Give a permit back after a failed call; it was for one call only."""
        self._trial = None
        self._first_event_at = None

    def record_events(self, backend: Backend, headed_at: float) -> None:
        """Report events of a stream whose head came at ``headed_at``."""
        now = asyncio.get_running_loop().time()
        if self._first_event_at is None:
            self._first_event_at = now
        if now - self._first_event_at >= SOUND_AFTER_S:
            self._record_answer(backend, headed_at)

    def record_answered(
        self, backend: Backend, head: ResponseHead, headed_at: float
    ) -> None:
        """Report a complete answer that began at ``headed_at``."""
        if self._poison_requests.quarantine and head.status < HTTP_SERVER_ERROR:
            self._poison_requests.record_success(self.fingerprint)
        if head.status < HTTP_REDIRECT:
            self._record_answer(backend, headed_at)

    def _record_answer(self, backend: Backend, headed_at: float) -> None:
        if self._answer_recorded or not self._poison_requests.parts.quarantine:
            return
        self._answer_recorded = True
        self._poison_requests.parts.record_answer(
            self._parts, backend.entry.version, headed_at
        )
