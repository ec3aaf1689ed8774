"""Records what a backend server executes, so that tests can check answers by it."""

import time
from enum import Enum

import msgspec
from aiohttp import web

__all__ = ["Journal", "JournalEntry", "Outcome"]


class Outcome(Enum):
    """State of an execution at the backend server."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class JournalEntry(msgspec.Struct):
    """One execution; times are monotonic seconds, ``busy_ms`` is the work time."""

    attempt_id: str
    backend_id: str
    operation: str
    account: str
    input_text: str
    started_at: float
    finished_at: float = 0.0
    busy_ms: float = 0.0
    tokens: int = 0
    outcome: Outcome = Outcome.RUNNING


class Journal:
    """The executions of one backend server, in the order they started."""

    def __init__(self, backend_id: str) -> None:
        self._backend_id = backend_id
        self.entries: list[JournalEntry] = []

    def start(
        self, attempt_id: str, operation: str, account: str, input_text: str
    ) -> JournalEntry:
        """Record the start of an execution; from here on it may have an effect."""
        entry = JournalEntry(
            attempt_id=attempt_id,
            backend_id=self._backend_id,
            operation=operation,
            account=account,
            input_text=input_text,
            started_at=time.monotonic(),
        )
        self.entries.append(entry)
        return entry

    def finish(self, entry: JournalEntry, outcome: Outcome) -> None:
        """Record the end and the outcome of an execution."""
        entry.finished_at = time.monotonic()
        entry.outcome = outcome

    async def handle(self, request: web.Request) -> web.Response:
        """Answer ``GET /control/journal``."""
        body = msgspec.json.encode(self.entries)
        return web.Response(body=body, content_type="application/json")
