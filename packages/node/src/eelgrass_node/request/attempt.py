"""One attempt at a stage, and what is known of it afterwards.

An attempt is NOT_RUN only where no connection came about, or where the back
end says, naming this very attempt, that it did not start. Whatever fails after
the call may have left the node is UNKNOWN.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any

import aiohttp
import msgspec

from eelgrass_coordination import StallAwareTimeout, send_allowance_s
from eelgrass_coordination.ids import AttemptId, new_id

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
    """What is known of an attempt."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt ended; ``cost_ms`` is None where no back end reported it."""

    outcome: AttemptOutcome
    output: Any = None
    reason: RetryReason | None = None
    cost_ms: float | None = None
    chunks: int = 0


class Attempt(msgspec.Struct, frozen=True):
    """What an attempt needs to know.

    ``silence_s`` is how long the connection may say nothing once the call has had
    time to go out, in seconds. ``on_leaving`` is told where the server says it leaves,
    and ``on_cost_unknown`` where it has not said what a generation has cost.
    """

    attempt_id: AttemptId
    request: CallerRequest
    stage: Stage
    backend: Backend
    silence_s: float
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


def not_run(reason: RetryReason) -> AttemptResult:
    """Return the result of an attempt that surely did not start."""
    return AttemptResult(AttemptOutcome.NOT_RUN, reason=reason, cost_ms=0.0)


def unknown(reason: RetryReason, cost_ms: float | None = None) -> AttemptResult:
    """Return the result of an attempt that may have run."""
    return AttemptResult(AttemptOutcome.UNKNOWN, reason=reason, cost_ms=cost_ms)


async def run_call(attempt: Attempt, stage_input: Any) -> AttemptResult:
    """Call a pool or plain service once."""
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
    return await guarded(attempt, "/v1/run", body, _read_run_answer)


async def guarded(
    attempt: Attempt,
    path: str,
    body: bytes,
    read: Callable[..., Any],
) -> AttemptResult:
    """Post a call and turn every way in which it can fail into a result."""
    connections = attempt.backend.connections
    connections.enter()
    try:
        context = connections.post(
            path,
            body,
            attempt.attempt_id,
            connect_s=max(0.001, attempt.request.remaining()),
            reuse=attempt.stage.idempotent,
        )
        response = await _first_byte(attempt, context, len(body))
        try:
            return await _read_response(attempt, response, read)
        finally:
            # Closes the connection unless the answer was read to its end.
            response.close()
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return not_run(RetryReason.CONNECT_FAILED)
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError, ValueError) as error:
        return unknown(_failure_reason(error))
    finally:
        connections.leave()


async def _first_byte(
    attempt: Attempt, context: Any, sent_bytes: int
) -> aiohttp.ClientResponse:
    bound_s = attempt.silence_s + send_allowance_s(sent_bytes)
    # What is added ends with the deadline, after which nobody waits for an answer.
    latest_s = max(attempt.silence_s, attempt.request.remaining())
    try:
        async with StallAwareTimeout(min(bound_s, latest_s)):
            return await context
    except TimeoutError as error:
        if isinstance(error, aiohttp.ConnectionTimeoutError):
            raise
        connections = attempt.backend.connections
        connections.replace()
        raise SilentConnection from error


class SilentConnection(aiohttp.ClientError):
    """Nothing came over a connection for longer than is to be expected."""


def _failure_reason(error: Exception) -> RetryReason:
    if isinstance(error, SilentConnection):
        return RetryReason.CONNECTION_SILENT
    if isinstance(error, (msgspec.MsgspecError, ValueError)):
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
        return _refusal(attempt, await bounded_read(attempt, response))
    return unknown(RetryReason.BAD_ANSWER)


def _refusal(attempt: Attempt, body: bytes) -> AttemptResult:
    refusal = msgspec.json.decode(body, type=_Refusal)
    if refusal.started:
        return unknown(RetryReason.BACKEND_REFUSED)
    if refusal.attempt_id != attempt.attempt_id:
        attempt.on_discard(DiscardReason.WRONG_ATTEMPT)
        return unknown(RetryReason.WRONG_ATTEMPT)
    return not_run(REFUSALS.get(refusal.error, RetryReason.BACKEND_REFUSED))


async def bounded_read(attempt: Attempt, response: aiohttp.ClientResponse) -> bytes:
    """Read a whole body, which follows its head closely.

    It may take as long as it goes on coming, until the deadline: a large one on a
    narrow link is no silence.
    """
    now = asyncio.get_running_loop().time
    latest = now() + max(attempt.silence_s, attempt.request.remaining())
    parts: list[bytes] = []
    try:
        async with StallAwareTimeout(attempt.silence_s) as bound:
            async for part in response.content.iter_any():
                parts.append(part)
                bound.restart(min(attempt.silence_s, latest - now()))
        return b"".join(parts)
    except TimeoutError as error:
        attempt.backend.connections.replace()
        raise SilentConnection from error


async def _read_run_answer(
    attempt: Attempt, response: aiohttp.ClientResponse
) -> AttemptResult:
    body = await bounded_read(attempt, response)
    answer = msgspec.json.decode(body, type=_RunAnswer)
    if answer.attempt_id != attempt.attempt_id:
        attempt.on_discard(DiscardReason.WRONG_ATTEMPT)
        return unknown(RetryReason.WRONG_ATTEMPT)
    return AttemptResult(
        AttemptOutcome.COMPLETED, output=answer.output, cost_ms=answer.cost_ms
    )
