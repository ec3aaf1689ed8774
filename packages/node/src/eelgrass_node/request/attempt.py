"""Makes one attempt at a stage and classifies its outcome.

An attempt is NOT_RUN only if no connection was established, or if the backend server
reports, with the id of this attempt, that it did not start. Any failure after the call
may have left the node makes it UNKNOWN.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any

import aiohttp
import msgspec

from eelgrass_coordination import StallAwareTimeout, decode_json, send_allowance_s
from eelgrass_coordination.ids import AttemptId, new_id

from ..connection.calls import MisattributedAnswer
from ..process.backends import Backend
from ..version import Stage
from .model import CallerRequest
from .reasons import DiscardReason, RetryReason

__all__ = ["Attempt", "AttemptOutcome", "AttemptResult", "run_call"]

STATE_HEADER = "Backend-State"
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
REFUSALS = {
    "leaving": RetryReason.BACKEND_LEAVING,
    "overloaded": RetryReason.BACKEND_OVERLOADED,
}


class AttemptOutcome(Enum):
    """Whether an attempt ran, as far as the node can tell."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt ended; ``cost_ms`` is None if no backend server reported it."""

    outcome: AttemptOutcome
    output: Any = None
    reason: RetryReason | None = None
    cost_ms: float | None = None
    chunks: int = 0


class Attempt(msgspec.Struct, frozen=True):
    """The parameters and callbacks of an attempt.

    ``idle_timeout_s`` is how long the connection may be silent, in seconds, once the
    call has had time to be sent. ``on_leaving`` is called if the server reports that it
    is leaving, and ``on_cost_unknown`` if it has not reported the cost of a generation.
    """

    attempt_id: AttemptId
    request: CallerRequest
    stage: Stage
    backend: Backend
    idle_timeout_s: float
    on_leaving: Callable[[Backend], None]
    on_discard: Callable[[DiscardReason], None]
    on_cost_unknown: Callable[["Attempt"], None]


class _Refusal(msgspec.Struct):
    error: str = ""
    started: bool = True
    attempt_id: str = ""


class _RunAnswer(msgspec.Struct):
    attempt_id: str
    output: Any
    cost_ms: float = 0.0


def new_attempt_id() -> AttemptId:
    """Return a fresh attempt id."""
    return AttemptId(new_id("attempt"))


def not_run_result(reason: RetryReason) -> AttemptResult:
    """Return the result of an attempt that certainly did not start."""
    return AttemptResult(AttemptOutcome.NOT_RUN, reason=reason, cost_ms=0.0)


def unknown_result(reason: RetryReason, cost_ms: float | None = None) -> AttemptResult:
    """Return the result of an attempt that may have run."""
    return AttemptResult(AttemptOutcome.UNKNOWN, reason=reason, cost_ms=cost_ms)


async def run_call(attempt: Attempt, stage_input: Any) -> AttemptResult:
    """Make one call to a pool or plain service."""
    stage = attempt.stage
    body = msgspec.json.encode(
        {
            "attempt_id": attempt.attempt_id,
            "operation": stage.operation or stage.kind.value,
            "account": attempt.request.account,
            "input": stage_input,
            "deadline_ms": attempt.request.remaining() * 1000,
        }
    )
    return await post_attempt(attempt, "/v1/run", body, _read_run_answer)


async def post_attempt(
    attempt: Attempt,
    path: str,
    body: bytes,
    read: Callable[..., Any],
) -> AttemptResult:
    """Post a call and convert every kind of failure to a result."""
    connections = attempt.backend.connections
    connections.begin_call()
    try:
        context = connections.post(
            path,
            body,
            attempt.attempt_id,
            connect_s=max(0.001, attempt.request.remaining()),
            reuse=attempt.stage.idempotent,
        )
        response = await _await_response(attempt, context, len(body))
        try:
            return await _read_response(attempt, response, read)
        finally:
            # Closes the connection unless the response was read to its end.
            response.close()
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return not_run_result(RetryReason.CONNECT_FAILED)
    except MisattributedAnswer:
        attempt.on_discard(DiscardReason.WRONG_ATTEMPT)
        return unknown_result(RetryReason.WRONG_ATTEMPT)
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError, ValueError) as error:
        return unknown_result(_failure_reason(error))
    finally:
        connections.end_call()


async def _await_response(
    attempt: Attempt, context: Any, sent_bytes: int
) -> aiohttp.ClientResponse:
    timeout_s = attempt.idle_timeout_s + send_allowance_s(sent_bytes)
    # The time allowed for sending ends at the deadline, after which nobody waits for
    # the response.
    limit_s = max(attempt.idle_timeout_s, attempt.request.remaining())
    try:
        async with StallAwareTimeout(min(timeout_s, limit_s)):
            return await context
    except TimeoutError as error:
        if isinstance(error, aiohttp.ConnectionTimeoutError):
            raise
        connections = attempt.backend.connections
        connections.replace()
        raise IdleTimeout from error


class IdleTimeout(aiohttp.ClientError):
    """No data arrived on a connection within the idle timeout."""


def _failure_reason(error: Exception) -> RetryReason:
    if isinstance(error, IdleTimeout):
        return RetryReason.CONNECTION_SILENT
    if isinstance(
        error, (aiohttp.ClientResponseError, msgspec.MsgspecError, ValueError)
    ):
        return RetryReason.BAD_ANSWER
    return RetryReason.CONNECTION_LOST


async def _read_response(
    attempt: Attempt, response: aiohttp.ClientResponse, read: Callable
) -> AttemptResult:
    if response.headers.get(STATE_HEADER) == "leaving":
        attempt.on_leaving(attempt.backend)
    if response.status == HTTP_OK:
        return await read(attempt, response)
    if response.status == HTTP_UNAVAILABLE:
        return _refusal(attempt, await read_body(attempt, response))
    return unknown_result(RetryReason.BAD_ANSWER)


def _refusal(attempt: Attempt, body: bytes) -> AttemptResult:
    refusal = decode_json(body, _Refusal)
    if refusal.started:
        return unknown_result(RetryReason.BACKEND_REFUSED)
    if refusal.attempt_id != attempt.attempt_id:
        attempt.on_discard(DiscardReason.WRONG_ATTEMPT)
        return unknown_result(RetryReason.WRONG_ATTEMPT)
    return not_run_result(REFUSALS.get(refusal.error, RetryReason.BACKEND_REFUSED))


async def read_body(attempt: Attempt, response: aiohttp.ClientResponse) -> bytes:
    """Read the complete body, which is expected right after the head.

    The idle timeout restarts with each part that arrives, up to the deadline: a large
    body on a slow link does not count as a silent connection.
    """
    now = asyncio.get_running_loop().time
    latest = now() + max(attempt.idle_timeout_s, attempt.request.remaining())
    parts: list[bytes] = []
    try:
        async with StallAwareTimeout(attempt.idle_timeout_s) as bound:
            async for part in response.content.iter_any():
                parts.append(part)
                bound.restart(min(attempt.idle_timeout_s, latest - now()))
        return b"".join(parts)
    except TimeoutError as error:
        attempt.backend.connections.replace()
        raise IdleTimeout from error


async def _read_run_answer(
    attempt: Attempt, response: aiohttp.ClientResponse
) -> AttemptResult:
    body = await read_body(attempt, response)
    answer = decode_json(body, _RunAnswer)
    if answer.attempt_id != attempt.attempt_id:
        attempt.on_discard(DiscardReason.WRONG_ATTEMPT)
        return unknown_result(RetryReason.WRONG_ATTEMPT)
    return AttemptResult(
        AttemptOutcome.COMPLETED, output=answer.output, cost_ms=answer.cost_ms
    )
