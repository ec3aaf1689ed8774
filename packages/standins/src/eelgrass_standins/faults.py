"""Fault injection for stand-ins, set through their control path.

``POST /control/faults`` replaces the active faults by a JSON list of faults, such
as ``[{"path": "/v1/transactions", "action": "drop_answer", "times": 1}]``.
"""

import asyncio
from enum import Enum
from typing import Any

import msgspec
from aiohttp import web

__all__ = [
    "Fault",
    "FaultAction",
    "Faults",
    "drop_connection",
    "refusal_response",
    "stay_silent",
]

SILENCE_S = 3600.0


class FaultAction(Enum):
    """Effect of a fault on a call."""

    DELAY = "delay"
    REFUSE = "refuse"
    DROP_CALL = "drop_call"
    DROP_ANSWER = "drop_answer"
    LATE_EFFECT = "late_effect"
    SILENT = "silent"
    WRONG_ID = "wrong_id"
    CUT_STREAM = "cut_stream"
    SILENT_STREAM = "silent_stream"
    SHUFFLE_STREAM = "shuffle_stream"
    DROP_PIECE = "drop_piece"
    LEAVING = "leaving"


class Fault(msgspec.Struct, frozen=True):
    """A fault on calls to ``path``; an empty path matches every call.

    ``times`` limits the number of affected calls; -1 means no limit. Stream faults
    apply from chunk number ``after`` on.
    """

    action: FaultAction
    path: str = ""
    delay_s: float = 0.0
    times: int = -1
    after: int = 0


class Faults:
    """The active faults of one stand-in, with the remaining calls of each."""

    def __init__(self) -> None:
        self._remaining: list[list[Any]] = []

    def set(self, faults: list[Fault]) -> None:
        """Replace the active faults."""
        self._remaining = [[fault, fault.times] for fault in faults]

    def share(self, other: "Faults") -> None:
        """Share the faults of another stand-in, with their remaining counts."""
        self._remaining = other._remaining

    def take(self, path: str, *actions: FaultAction) -> Fault | None:
        """Return the first fault that applies to a call and count it, or None."""
        for pair in self._remaining:
            fault, times = pair
            applies = fault.path in ("", path) and fault.action in actions
            if applies and times != 0:
                pair[1] = times - 1 if times > 0 else times
                return fault
        return None

    async def before(self, request: web.Request) -> web.Response | None:
        """Apply the faults that strike before a call takes effect."""
        path = request.path
        if fault := self.take(path, FaultAction.DELAY):
            await asyncio.sleep(fault.delay_s)
        if self.take(path, FaultAction.REFUSE):
            return refusal_response(request, "refused")
        if self.take(path, FaultAction.DROP_CALL):
            drop_connection(request)
            return web.Response()
        return None

    async def handle_control(self, request: web.Request) -> web.Response:
        """Answer ``POST /control/faults``."""
        body = await request.read()
        self.set(msgspec.json.decode(body, type=list[Fault]))
        return web.json_response({"ok": True})


def refusal_response(
    request: web.Request, reason: str, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a 503 that states that the call was not started."""
    message = {
        "error": reason,
        "started": False,
        "attempt_id": request.headers.get("Attempt-Id", ""),
    }
    return web.json_response(message, status=503, headers=headers)


def drop_connection(request: web.Request) -> None:
    """Abort the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


async def stay_silent() -> None:
    """Leave the connection open without an answer."""
    await asyncio.sleep(SILENCE_S)
