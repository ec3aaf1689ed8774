"""What callers are sent: whole answers, streams and refusals."""

from typing import Any

import msgspec
from aiohttp import web

from ..exceptions import Refused
from ..request.model import PipelineResult
from ..request.reasons import Outcome

__all__ = ["Answer", "AnswerStream", "Standing", "problem_of", "problem_response"]

JSON = "application/json"
LINES = "application/x-ndjson"
PROBLEM = "application/problem+json"
PROBLEM_TYPE = "urn:eelgrassward:problem:"


class Standing(msgspec.Struct, frozen=True):
    """The configuration that a request was served under.

    ``age_ms`` is how long ago the platform was known to have nothing newer.
    """

    revision: int
    age_ms: int
    node: str

    def headers(self) -> dict[str, str]:
        """Return the headers that say so."""
        return {
            "Eelgrassward-Node": self.node,
            "Eelgrassward-Revision": str(self.revision),
            "Eelgrassward-Revision-Age-Ms": str(self.age_ms),
        }


class Answer(msgspec.Struct, frozen=True):
    """A whole answer; ``pieces`` counts the pieces of a generated text."""

    request_id: str
    output: Any
    pieces: int
    complete: bool = True
    costs: list[dict[str, Any]] = []

    @classmethod
    def of(cls, request_id: str, result: PipelineResult) -> "Answer":
        """Return the answer that carries a pipeline's result."""
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


def problem_response(problem: dict, standing: Standing) -> web.Response:
    """Return the response that carries a problem."""
    headers = standing.headers()
    if "retry_after_ms" in problem:
        # The header knows whole seconds only; the body is exact.
        headers["Retry-After"] = str(-(-problem["retry_after_ms"] // 1000))
    return web.Response(
        body=msgspec.json.encode(problem),
        status=problem["status"],
        content_type=PROBLEM,
        headers=headers,
    )


def answer_response(answer: Any, standing: Standing, replayed: bool) -> web.Response:
    """Return the response that carries a whole answer."""
    headers = standing.headers()
    if replayed:
        headers["Idempotent-Replayed"] = "true"
    return web.Response(
        body=msgspec.json.encode(answer), content_type=JSON, headers=headers
    )


class AnswerStream:
    """A streamed answer: numbered pieces and a final line with their count.

    A stream without its final line was cut off. The response begins with the
    first piece, so a refusal before it is an ordinary problem response.
    """

    def __init__(self, request: web.Request, standing: Standing) -> None:
        self._request = request
        self._standing = standing
        self.response: web.StreamResponse | None = None
        self._count = 0

    @property
    def begun(self) -> bool:
        """Whether anything was sent."""
        return self.response is not None

    async def emit(self, text: str) -> None:
        """Send one piece."""
        await self._write({"seq": self._count, "text": text})
        self._count += 1

    async def finish(self, answer: Any) -> web.StreamResponse:
        """Send the final line of a whole answer."""
        return await self._end(
            {"final": True, "complete": True, "count": self._count, "answer": answer}
        )

    async def fail(self, problem: dict) -> web.StreamResponse:
        """Send the final line of an answer that stays incomplete."""
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
            response = web.StreamResponse(headers=self._standing.headers())
            response.content_type = LINES
            await response.prepare(self._request)
            self.response = response
        await self.response.write(msgspec.json.encode(line) + b"\n")
        return self.response
