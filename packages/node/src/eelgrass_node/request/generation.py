"""A generation stage: a stream of numbered chunks, resumed after failures.

Chunks are accepted in the order of their sequence numbers, each once. If a stream
breaks, the next attempt states how many chunks were accepted and continues from there.
"""

from typing import Any

import aiohttp
import msgspec

from eelgrass_coordination import (
    JsonDecoder,
    MovingAverage,
    StallAwareTimeout,
    decode_json,
    running_time,
)

from ..exceptions import CallerGone
from ..version import Stage
from .attempt import (
    Attempt,
    AttemptOutcome,
    AttemptResult,
    IdleTimeout,
    post_attempt,
    unknown_result,
)
from .model import CallerRequest, Emit
from .reasons import DiscardReason, RetryReason

__all__ = ["CancelAnswer", "Generation", "cancel"]

CANCEL_TIMEOUT_S = 0.1
FEASIBLE_FRACTION = 0.8
MAX_OUT_OF_ORDER = 256
# Longest line of a server's answer, which has one chunk of the text.
MAX_LINE_BYTES = 1 << 21


class _Line(msgspec.Struct):
    attempt_id: str
    seq: int = -1
    text: str = ""
    final: bool = False
    count: int = 0
    cost_ms: float = 0.0
    cancelled: bool = False


class CancelAnswer(msgspec.Struct):
    """A server's answer to a cancellation; no cost if it does not know the attempt."""

    cancelled: bool = False
    cost_ms: float | None = None


class Generation:
    """The output so far of one generation stage of one request.

    ``chunk_gap_timeout_s`` is the longest expected gap between two chunks, in seconds.
    """

    def __init__(
        self,
        emit: Emit | None,
        chunk_gap_timeout_s: float,
        first_chunk_average: MovingAverage,
        chunk_gap_average: MovingAverage,
    ) -> None:
        self._emit = emit
        self._chunk_gap_timeout_s = chunk_gap_timeout_s
        self._first_chunk_average = first_chunk_average
        self._chunk_gap_average = chunk_gap_average
        self._decoder = JsonDecoder(_Line)
        self._sent_at = 0.0
        self._first_chunk_at = 0.0
        self.chunks: list[str] = []

    @property
    def text(self) -> str:
        """The text generated so far."""
        return "".join(self.chunks)

    async def run(self, attempt: Attempt, stage_input: Any) -> AttemptResult:
        """Make one attempt, which continues after the chunks already accepted."""
        body = _generate_body(attempt, stage_input, len(self.chunks))
        self._sent_at = running_time()
        try:
            result = await post_attempt(attempt, "/v1/generate", body, self._read)
        except BaseException:
            attempt.on_cost_unknown(attempt)
            raise
        if result.outcome is AttemptOutcome.UNKNOWN and result.cost_ms is None:
            answer = await cancel(attempt, CANCEL_TIMEOUT_S)
            if answer is None or answer.cost_ms is None:
                attempt.on_cost_unknown(attempt)
                return result
            result = msgspec.structs.replace(result, cost_ms=answer.cost_ms)
        return result

    async def _read(
        self, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        first = len(self.chunks)
        out_of_order: dict[int, str] = {}
        while True:
            if self._is_infeasible(attempt):
                return unknown_result(RetryReason.TOO_SLOW)
            line = await self._next_line(attempt, response)
            if line is None:
                return unknown_result(RetryReason.STREAM_CUT)
            if line.attempt_id != attempt.attempt_id:
                attempt.on_discard(DiscardReason.WRONG_ATTEMPT)
                return unknown_result(RetryReason.WRONG_ATTEMPT)
            if line.final:
                accepted = len(self.chunks) - first
                self._record_chunk_gap(accepted)
                return _final_result(line, accepted, self.text, len(self.chunks))
            if line.seq == 0:
                self._first_chunk_at = running_time()
                self._first_chunk_average.record(self._first_chunk_at - self._sent_at)
            if not await self._accept_line(attempt, line, first, out_of_order):
                return unknown_result(RetryReason.BAD_ANSWER)

    def _is_infeasible(self, attempt: Attempt) -> bool:
        """Return whether the rest cannot be generated before the deadline."""
        remaining_s = attempt.request.remaining()
        if remaining_s <= 0:
            return True
        chunks_left = int(attempt.stage.max_tokens) - len(self.chunks)
        expected_s = chunks_left * self._chunk_gap_average.mean
        return expected_s * FEASIBLE_FRACTION > remaining_s

    def _record_chunk_gap(self, accepted: int) -> None:
        if accepted > 1:
            took_s = running_time() - self._first_chunk_at
            self._chunk_gap_average.record(took_s / (accepted - 1))

    async def _next_line(
        self, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> _Line | None:
        try:
            timeout_s = min(
                self._chunk_gap_timeout_s, max(0.0, attempt.request.remaining())
            )
            async with StallAwareTimeout(timeout_s):
                raw = await response.content.readline(max_line_length=MAX_LINE_BYTES)
        except TimeoutError as error:
            if attempt.request.remaining() > 0:
                attempt.backend.connections.replace()
            raise IdleTimeout from error
        if not raw.endswith(b"\n"):
            return None
        return self._decoder.decode(raw)

    async def _accept_line(
        self, attempt: Attempt, line: _Line, first: int, out_of_order: dict[int, str]
    ) -> bool:
        seq = first + line.seq
        if seq < len(self.chunks) or seq in out_of_order:
            attempt.on_discard(DiscardReason.REPEATED_CHUNK)
            return True
        if len(out_of_order) >= MAX_OUT_OF_ORDER:
            attempt.on_discard(DiscardReason.TOO_FAR_AHEAD)
            return False
        out_of_order[seq] = line.text
        while len(self.chunks) in out_of_order:
            text = out_of_order.pop(len(self.chunks))
            self.chunks.append(text)
            await self._emit_chunk(text)
        return True

    async def _emit_chunk(self, text: str) -> None:
        if self._emit is None:
            return
        try:
            await self._emit(text)
        except ConnectionResetError as error:
            # The caller's connection was reset, not the engine's.
            raise CallerGone from error


async def cancel(attempt: Attempt, within_s: float) -> CancelAnswer | None:
    """Cancel an attempt; return None if the server does not answer in time."""
    body = msgspec.json.encode({"attempt_id": attempt.attempt_id})
    connections = attempt.backend.connections
    connections.begin_call()
    try:
        async with StallAwareTimeout(within_s):
            context = connections.post(
                "/v1/cancel", body, attempt.attempt_id, within_s, reuse=False
            )
            async with context as response:
                answer = await response.read()
        return decode_json(answer, CancelAnswer)
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError):
        return None
    finally:
        connections.end_call()


def _final_result(line: _Line, accepted: int, text: str, chunks: int) -> AttemptResult:
    if line.cancelled:
        return unknown_result(RetryReason.CANCELLED_BY_BACKEND, line.cost_ms)
    if line.count != accepted:
        return unknown_result(RetryReason.STREAM_CUT, line.cost_ms)
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
    """Return the prompt of a generation: the stage input, encoded as JSON."""
    return msgspec.json.encode(stage_input).decode()
