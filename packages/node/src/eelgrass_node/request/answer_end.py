"""Decides whether an answer that ends with its connection is complete.

An answer with neither a length nor chunks ends when its connection is closed. That
proves nothing by itself: the kernel closes the connections of a process that ends, of
the server or of a relay, as regularly as a server does behind a whole answer.

============================================ =======================================
What closes the connection                   What tells
============================================ =======================================
the server, behind the answer                another connection to it stays open, or
                                             it reports the start that it had
the end of the server's process              its other connections are closed, too;
                                             nobody listens, or another process does
the end of a relay's process                 the same for connections through it
a relay that stops, or loses one side        it resets the connection
this node, or a reset, or a lost path        no regular close has been received
============================================ =======================================

A server that closes one answer early and goes on cannot be told from a sound one.
"""

import asyncio
from enum import Enum

import msgspec

from eelgrass_coordination import stall_aware_sleep

from ..connection.calls import CallPath
from ..connection.end_witness import WitnessLease
from ..connection.response_handler import ConnectionEnd
from ..exceptions import CallFailed
from ..log import Part, log
from ..process.backends import Backend
from ..process.listening import Listening
from .incarnation_check import reported_start
from .incoming_request import RoutedRequest, WireCodec
from .reasons import RetryReason

__all__ = ["EndEvidence", "evidence_of_end"]

# Servers report from memory; one that is silent may still be sound.
REPORT_TIMEOUT_S = 0.3
# Interval at which a server is asked again that does not answer.
RETRY_INTERVAL_S = 0.1
# A sound server may be silent for a second or so.
MAX_SILENCE_S = 1.5
# A listening server that gives no report for these reasons is not silent: it resets
# connections beyond its limit, or has asked for rest.
NO_REPORT_REASONS = frozenset(
    (
        RetryReason.CONNECT_FAILED,
        RetryReason.BACKEND_RESTING,
        RetryReason.BACKEND_LIMITED,
    )
)


class EndEvidence(Enum):
    """What shows that an answer without a length is complete, or is not."""

    WITNESS_OPEN = "another connection to the server stays open"
    SAME_START = "the server reports the start that it had"
    LISTENING = "a server listens"
    RESET = "the connection was reset"
    NOT_CLOSED = "the peer has not closed the connection"
    RELAY_UNKNOWN = "whether the relay went on is not known"
    ADDRESS_TAKEN = "the address has another server"
    NOT_LISTENING = "nobody listens"
    OTHER_START = "the server reports a later start"
    WITNESS_LOST = "another connection to the server has ended with it"
    SILENT = "the server does not answer"

    @property
    def is_complete(self) -> bool:
        """Whether the answer counts as complete."""
        return self in _COMPLETE


_COMPLETE = frozenset(
    (EndEvidence.WITNESS_OPEN, EndEvidence.SAME_START, EndEvidence.LISTENING)
)


class _End(msgspec.Struct, frozen=True):
    """An answer whose body has ended, and what is known of its connection."""

    codec: WireCodec
    backend: Backend
    path: CallPath


async def evidence_of_end(
    codec: WireCodec,
    routed: RoutedRequest,
    backend: Backend,
    path: CallPath,
    witness: WitnessLease | None,
) -> EndEvidence:
    """Return what shows how an answer has ended; ``path`` is that of its call.

    May wait for a server that does not answer.
    """
    end = _End(codec, backend, path)
    evidence = _evidence_here(end)
    if evidence is None:
        goes_on = None if witness is None else await witness.process_goes_on()
        if goes_on:
            evidence = EndEvidence.WITNESS_OPEN
        else:
            evidence = await _ask_server(end, is_witness_lost=goes_on is False)
    log(
        Part.REQUESTS,
        "An answer without a length has ended.",
        id=routed.incoming.request_id,
        backend=backend.entry.id,
        end=None if path.connection is None else path.connection.end.value,
        relay=None if path.relay is None else path.relay.id,
        evidence=evidence.value,
        is_complete=evidence.is_complete,
    )
    return evidence


def _evidence_here(end: _End) -> EndEvidence | None:
    """Return what this node knows without asking; None if a peer has closed."""
    connection = end.path.connection
    if connection is None or connection.end is ConnectionEnd.LOST:
        return EndEvidence.RESET
    if connection.end is not ConnectionEnd.BY_PEER:
        return EndEvidence.NOT_CLOSED
    return None


async def _ask_server(end: _End, is_witness_lost: bool) -> EndEvidence:
    """Find out what runs at the server's address; no other connection is open."""
    connections, relay = end.backend.connections, end.path.relay
    if relay is not None and not end.path.is_end_passed_on:
        # The relay may have ended itself.
        if is_witness_lost or not await connections.is_relay_answering(relay):
            return EndEvidence.RELAY_UNKNOWN
    if not connections.owns_address:
        return EndEvidence.ADDRESS_TAKEN
    loop = asyncio.get_running_loop()
    silent_until = loop.time() + MAX_SILENCE_S
    resets = 0
    while True:
        listening = await connections.listening()
        if listening is Listening.NO:
            return EndEvidence.NOT_LISTENING
        if listening is Listening.YES:
            try:
                started = await reported_start(end.codec, end.backend, REPORT_TIMEOUT_S)
                return _evidence_of_start(end, started, is_witness_lost)
            except CallFailed as failed:
                resets += failed.reason in NO_REPORT_REASONS
            if not end.backend.entry.started or resets > 1:
                # It wants no calls now, or has no connections left.
                return _evidence_of_start(end, None, is_witness_lost)
        if loop.time() >= silent_until:
            return EndEvidence.SILENT
        await stall_aware_sleep(RETRY_INTERVAL_S)


def _evidence_of_start(
    end: _End, started: int | None, is_witness_lost: bool
) -> EndEvidence:
    """Return what the start of a server shows; None if it does not say."""
    if started and end.backend.entry.started:
        if started == end.backend.entry.started:
            return EndEvidence.SAME_START
        return EndEvidence.OTHER_START
    return EndEvidence.WITNESS_LOST if is_witness_lost else EndEvidence.LISTENING
