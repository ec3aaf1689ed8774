"""Backend servers that send some of their answers a second time."""

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec

from .raw_engine import RawEngine, Send

__all__ = ["RepeatingEngine", "Repetition", "Results", "repeating"]

STAGE_PATH = "/-/stage-run"


class Repetition(Enum):
    """When the second copy of an answer is sent: the calls, or seconds, after it.

    ``IN_ONE_WRITE`` sends it together with the next answer, before that one.
    ``OF_OTHER_CALLS`` repeats all answers but those to stage calls.
    """

    AT_NEXT_CALL = (1, 0.0)
    IN_ONE_WRITE = (1, 0.0)
    OF_OTHER_CALLS = (1, 0.0)
    AT_SECOND_NEXT_CALL = (2, 0.0)
    AT_ONCE = (0, 0.0)
    WHILE_IDLE = (0, 0.03)

    def __new__(cls, calls: int, delay_s: float) -> "Repetition":
        """Return a new member; two with the same values are different."""
        member = object.__new__(cls)
        member._value_ = len(cls.__members__)
        member.calls, member.delay_s = calls, delay_s
        return member


class Results:
    """Which batch item each handle stands for, at all servers of a test.

    ``foreign`` has each use of a result by another request, and ``used`` counts all.
    """

    def __init__(self) -> None:
        self.foreign: list[tuple[str, str]] = []
        self.used = 0
        self._item_by_handle: dict[str, dict] = {}

    def add(self, handle: str, item: dict) -> None:
        """Note for which item a result was made."""
        self._item_by_handle[handle] = item

    def use(self, request_id: str, handles: list[str]) -> None:
        """Note that an item or a request got results as its inputs."""
        for handle in handles:
            self.used += 1
            maker_id = self._item_by_handle[handle]["Id"]
            if maker_id != request_id:
                self.foreign.append((request_id, maker_id))


class RepeatingEngine(RawEngine):
    """A server whose answers are repeated; ``results`` are those of all servers."""

    results: Results

    def _body(self, path: str, body: bytes) -> bytes:
        answer = super()._body(path, body)
        if path == STAGE_PATH:
            items = msgspec.json.decode(body)["Items"]
            made = msgspec.json.decode(answer)["Items"]
            for item, result in zip(items, made, strict=True):
                self.results.use(item["Id"], item.get("Inputs", ()))
                self.results.add(result["Handle"], item)
        return answer

    def _receive_head(self, headers: dict[bytes, bytes]) -> None:
        inputs = headers.get(b"eelgrassward-inputs")
        if inputs is not None:
            request_id = headers[b"eelgrassward-attempt-id"].decode()
            self.results.use(request_id, inputs.decode().split(","))


def repeating(repetition: Repetition, should_repeat: Callable[[], bool]) -> Send:
    """Return how a server sends its answers, some of them twice."""
    answers_by_writer: dict[asyncio.StreamWriter, list[bytes | None]] = {}

    async def send(head, body, reader, writer):
        answer = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        is_stage_answer = body.startswith(b'{"Items"')
        may_repeat = (repetition is Repetition.OF_OTHER_CALLS) is not is_stage_answer
        repeats = may_repeat and should_repeat()
        answers = answers_by_writer.setdefault(writer, [])
        answers.append(answer if repeats else None)
        earlier = None
        if repetition.calls and len(answers) > repetition.calls:
            earlier = answers[-1 - repetition.calls]
        if earlier is not None and repetition is Repetition.IN_ONE_WRITE:
            answer = earlier + answer
        elif earlier is not None:
            writer.write(earlier)
            await asyncio.sleep(0.001)
        writer.write(answer)
        if repeats and not repetition.calls:
            loop = asyncio.get_running_loop()
            loop.call_later(repetition.delay_s, _write_if_open, writer, answer)
        return True

    return send


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)
