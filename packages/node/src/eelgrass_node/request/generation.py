"""A generation stage: a stream of numbered pieces, joined across failures.

Pieces are taken in order of their number, each once. Where a stream breaks, the
next attempt says how many pieces were taken and goes on from there.
"""

from typing import Any

import aiohttp
import msgspec

from eelgrass_coordination import MovingAverage, StallAwareTimeout, running_time

from ..exceptions import CallerGone
from ..version import Stage
from .attempt import (
    Attempt,
    AttemptOutcome,
    AttemptResult,
    SilentConnection,
    guarded,
    unknown,
)
from .model import CallerRequest, Emit
from .reasons import DiscardReason, RetryReason

__all__ = ["CancelAnswer", "Generation", "cancel"]

CANCEL_S = 0.1
HOPE_FRACTION = 0.8
MAX_AHEAD = 256


class _Line(msgspec.Struct):
    attempt_id: str
    seq: int = -1
    text: str = ""
    final: bool = False
    count: int = 0
    cost_ms: float = 0.0
    cancelled: bool = False


class CancelAnswer(msgspec.Struct):
    """What a server says of an attempt that is to end; no cost if it knows none."""

    cancelled: bool = False
    cost_ms: float | None = None


class Generation:
    """What one generation stage of one request has produced so far.

    ``between_s`` is the longest expected gap between two pieces, in seconds.
    """

    def __init__(
        self,
        emit: Emit | None,
        between_s: float,
        first_average: MovingAverage,
        between_average: MovingAverage,
    ) -> None:
        self._emit = emit
        self._between_s = between_s
        self._first_average = first_average
        self._between_average = between_average
        self._decoder = msgspec.json.Decoder(_Line)
        self._sent_at = 0.0
        self._first_piece_at = 0.0
        self.chunks: list[str] = []

    @property
    def text(self) -> str:
        """Everything generated so far."""
        return "".join(self.chunks)

    async def run(self, attempt: Attempt, stage_input: Any) -> AttemptResult:
        """Make one attempt, which goes on after the pieces already taken."""
        body = _generate_body(attempt, stage_input, len(self.chunks))
        self._sent_at = running_time()
        try:
            result = await guarded(attempt, "/v1/generate", body, self._read)
        except BaseException:
            attempt.on_cost_unknown(attempt)
            raise
        if result.outcome is AttemptOutcome.UNKNOWN and result.cost_ms is None:
            answer = await cancel(attempt, CANCEL_S)
            if answer is None or answer.cost_ms is None:
                attempt.on_cost_unknown(attempt)
                return result
            result = msgspec.structs.replace(result, cost_ms=answer.cost_ms)
        return result

    async def _read(
        self, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        first = len(self.chunks)
        ahead: dict[int, str] = {}
        while True:
            if self._is_hopeless(attempt):
                return unknown(RetryReason.TOO_SLOW)
            line = await self._next_line(attempt, response)
            if line is None:
                return unknown(RetryReason.STREAM_CUT)
            if line.attempt_id != attempt.attempt_id:
                attempt.on_discard(DiscardReason.WRONG_ATTEMPT)
                return unknown(RetryReason.WRONG_ATTEMPT)
            if line.final:
                taken = len(self.chunks) - first
                self._note_pace(taken)
                return _final_result(line, taken, self.text, len(self.chunks))
            if line.seq == 0:
                self._first_piece_at = running_time()
                self._first_average.record(self._first_piece_at - self._sent_at)
            if not await self._take(attempt, line, first, ahead):
                return unknown(RetryReason.BAD_ANSWER)

    def _is_hopeless(self, attempt: Attempt) -> bool:
        """Return whether the rest cannot be had within the deadline."""
        remaining_s = attempt.request.remaining()
        if remaining_s <= 0:
            return True
        left = int(attempt.stage.max_tokens) - len(self.chunks)
        expected_s = left * self._between_average.mean
        return expected_s * HOPE_FRACTION > remaining_s

    def _note_pace(self, taken: int) -> None:
        if taken > 1:
            took_s = running_time() - self._first_piece_at
            self._between_average.record(took_s / (taken - 1))

    async def _next_line(
        self, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> _Line | None:
        try:
            bound_s = min(self._between_s, max(0.0, attempt.request.remaining()))
            async with StallAwareTimeout(bound_s):
                raw = await response.content.readline()
        except TimeoutError as error:
            if attempt.request.remaining() > 0:
                attempt.backend.connections.replace()
            raise SilentConnection from error
        if not raw.endswith(b"\n"):
            return None
        return self._decoder.decode(raw)

    async def _take(
        self, attempt: Attempt, line: _Line, first: int, ahead: dict[int, str]
    ) -> bool:
        seq = first + line.seq
        if seq < len(self.chunks) or seq in ahead:
            attempt.on_discard(DiscardReason.REPEATED_PIECE)
            return True
        if len(ahead) >= MAX_AHEAD:
            attempt.on_discard(DiscardReason.TOO_FAR_AHEAD)
            return False
        ahead[seq] = line.text
        while len(self.chunks) in ahead:
            text = ahead.pop(len(self.chunks))
            self.chunks.append(text)
            await self._pass_on(text)
        return True

    async def _pass_on(self, text: str) -> None:
        if self._emit is None:
            return
        try:
            await self._emit(text)
        except ConnectionResetError as error:
            # Of the caller's connection, not of the engine's.
            raise CallerGone from error


async def cancel(attempt: Attempt, within_s: float) -> CancelAnswer | None:
    """Stop an attempt that is of no more use; None where no answer comes in time."""
    body = msgspec.json.encode({"attempt_id": attempt.attempt_id})
    connections = attempt.backend.connections
    connections.enter()
    try:
        async with StallAwareTimeout(within_s):
            context = connections.post(
                "/v1/cancel", body, attempt.attempt_id, within_s, reuse=False
            )
            async with context as response:
                answer = await response.read()
        return msgspec.json.decode(answer, type=CancelAnswer)
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError):
        return None
    finally:
        connections.leave()


def _final_result(line: _Line, taken: int, text: str, chunks: int) -> AttemptResult:
    if line.cancelled:
        return unknown(RetryReason.CANCELLED_BY_BACKEND, line.cost_ms)
    if line.count != taken:
        return unknown(RetryReason.STREAM_CUT, line.cost_ms)
    return AttemptResult(
        AttemptOutcome.COMPLETED,
        output={"text": text},
        cost_ms=line.cost_ms,
        chunks=chunks,
    )


def _generate_body(attempt: Attempt, stage_input: Any, emitted: int) -> bytes:
    request: CallerRequest = attempt.request
    stage: Stage = attempt.stage
    return msgspec.json.encode(
        {
            "attempt_id": attempt.attempt_id,
            "account": request.account,
            "model": stage.model,
            "adapter": stage.adapter,
            "prompt": prompt_of(stage_input),
            "max_tokens": stage.max_tokens,
            "priority": request.pipeline.priority,
            "deadline_ms": request.remaining() * 1000,
            "emitted": emitted,
        }
    )


def prompt_of(stage_input: Any) -> str:
    """Return the prompt of a generation: the caller's input, then the context."""
    return msgspec.json.encode(stage_input).decode()
