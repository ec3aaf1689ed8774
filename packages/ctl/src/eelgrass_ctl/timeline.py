"""Collects the timeline of one request from the log lines of all hosts."""

from collections.abc import Iterable
from typing import Any

import msgspec

from eelgrass_coordination import decode_json

__all__ = ["LogLine", "timeline_of"]

# Fields of every line that say nothing about the request.
_ENVELOPE_FIELDS = frozenset(
    ("message", "timestamp", "task_uuid", "task_level", "message_type")
)


class LogLine(msgspec.Struct, frozen=True):
    """A log line; ``origin`` is the text before its JSON, such as a host name."""

    timestamp: float
    origin: str
    sentence: str
    fields: dict[str, Any]

    def text(self, start: float) -> str:
        """Return the line as text, with its time in seconds since ``start``."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.timestamp - start:8.3f}  {self.origin}  {self.sentence}  {shown}"


def timeline_of(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that concern a request, in order of time."""
    found = [line for line in map(_parse, lines) if _concerns(line, request_id)]
    return sorted(found, key=lambda line: line.timestamp)


def _parse(raw: str) -> LogLine | None:
    origin, brace, rest = raw.partition("{")
    try:
        fields = decode_json(brace + rest.strip())
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or "timestamp" not in fields:
        return None
    shown = {
        name: value for name, value in fields.items() if name not in _ENVELOPE_FIELDS
    }
    sentence = str(fields.get("message", ""))
    return LogLine(float(fields["timestamp"]), origin.strip(), sentence, shown)


def _concerns(line: LogLine | None, request_id: str) -> bool:
    if line is None:
        return False
    requests = line.fields.get("requests")
    listed = isinstance(requests, list) and request_id in requests
    return listed or line.fields.get("id") == request_id
