"""Responses to callers: complete answers, streamed answers and refusals."""

from typing import Any

import msgspec
from aiohttp import web

from ..exceptions import MemoryExhausted, Refused
from ..process.memory_budget import NO_ROOM_RETRY_S
from ..request.model import PipelineResult
from ..request.reasons import Outcome, RefusalReason

__all__ = ["Answer", "AnswerStream", "RevisionInfo", "problem_of", "problem_response"]

JSON = "application/json"
LINES = "application/x-ndjson"
PROBLEM = "application/problem+json"
PROBLEM_TYPE = "urn:eelgrassward:problem:"


class RevisionInfo(msgspec.Struct, frozen=True):
    """The configuration revision that a request was served with.

    ``age_ms`` is the time since the store last confirmed that it has no newer one.
    """

    revision: int
    age_ms: int
    node: str

    def headers(self) -> dict[str, str]:
        """Return the response headers that report it."""
        return {
            "Eelgrassward-Node": self.node,
            "Eelgrassward-Revision": str(self.revision),
            "Eelgrassward-Revision-Age-Ms": str(self.age_ms),
        }


class Answer(msgspec.Struct, frozen=True):
    """A complete answer; ``pieces`` is the number of chunks of a generated text."""

    request_id: str
    output: Any
    pieces: int
    complete: bool = True
    costs: list[dict[str, Any]] = []

    @classmethod
    def of(cls, request_id: str, result: PipelineResult) -> "Answer":
        """Return the answer with a pipeline's result and costs."""
        costs = [msgspec.to_builtins(cost) for cost in result.costs]
        return cls(request_id, result.output, result.chunks, costs=costs)


def problem_of(refused: Refused, request_id: str) -> dict:
    """Return a refusal as problem details (RFC 9457)."""
    problem = {
        "type": PROBLEM_TYPE + refused.reason.value,
        "title": refused.kind.title,
        "status": refused.kind.status,
        "detail": refused.detail,
        "remedy": refused.kind.remedy,
        "outcome": refused.outcome.value,
        "request_id": request_id,
    }
    if not refused.this_call_ran:
        problem["this_call"] = Outcome.NOT_RUN.value
    if refused.retry_after is not None:
        problem["retry_after_ms"] = round(refused.retry_after * 1000)
    return problem


def problem_response(problem: dict, revision_info: RevisionInfo) -> web.Response:
    """Return a problem as a response."""
    headers = revision_info.headers()
    if "retry_after_ms" in problem:
        # Retry-After has a resolution of one second; the body has the exact time.
        headers["Retry-After"] = str(-(-problem["retry_after_ms"] // 1000))
    return web.Response(
        body=msgspec.json.encode(problem),
        status=problem["status"],
        content_type=PROBLEM,
        headers=headers,
    )


def answer_response(
    answer: Any, revision_info: RevisionInfo, replayed: bool
) -> web.Response:
    """Return a complete answer as a response."""
    headers = revision_info.headers()
    if replayed:
        headers["Idempotent-Replayed"] = "true"
    return web.Response(
        body=msgspec.json.encode(answer), content_type=JSON, headers=headers
    )


class AnswerStream:
    """A streamed answer: numbered chunks and a final line with their count.

    A stream without the final line was truncated. The response starts with the first
    chunk; a refusal before that is an ordinary problem response.
    """

    def __init__(self, request: web.Request, revision_info: RevisionInfo) -> None:
        self._request = request
        self._revision_info = revision_info
        self.response: web.StreamResponse | None = None
        self._count = 0

    @property
    def started(self) -> bool:
        """Whether the response has started."""
        return self.response is not None

    def reserve(self) -> None:
        """Reserve memory for the stream; raises :class:`Refused` without room."""
        try:
            self._request.protocol.reserve_stream()
        except MemoryExhausted as error:
            raise Refused(
                RefusalReason.NODE_FULL, Outcome.NOT_RUN, "", NO_ROOM_RETRY_S
            ) from error

    async def emit(self, text: str) -> None:
        """Send one chunk."""
        await self._write({"seq": self._count, "text": text})
        self._count += 1

    async def finish(self, answer: Any) -> web.StreamResponse:
        """Send the final line of a complete answer."""
        return await self._end(
            {"final": True, "complete": True, "count": self._count, "answer": answer}
        )

    async def fail(self, problem: dict) -> web.StreamResponse:
        """Send the final line of an incomplete answer, with the reason."""
        return await self._end(
            {
                "final": True,
                "complete": False,
                "count": self._count,
                "problem": problem,
            }
        )

    async def _end(self, line: dict) -> web.StreamResponse:
        response = await self._write(line)
        await response.write_eof()
        return response

    async def _write(self, line: dict) -> web.StreamResponse:
        if self.response is None:
            response = web.StreamResponse(headers=self._revision_info.headers())
            response.content_type = LINES
            await response.prepare(self._request)
            self.response = response
        await self.response.write(msgspec.json.encode(line) + b"\n")
        return self.response
