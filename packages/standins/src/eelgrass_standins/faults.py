"""Faults that a stand-in can be told to show, over its control path.

``POST /control/faults`` with JSON replaces the faults in force, for example
``{"path": "/v1/transactions", "action": "drop_answer", "times": 1}``.
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
    """What happens to a call that meets a fault."""

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
    """A fault on the calls to ``path``, or to every path where it is empty.

    ``delay_s`` is in seconds; ``times`` is how many calls meet the fault, and
    -1 stands for all.
    """

    action: FaultAction
    path: str = ""
    delay_s: float = 0.0
    times: int = -1
    after: int = 0


class Faults:
    """The faults in force at one stand-in."""

    def __init__(self) -> None:
        self._left: list[list[Any]] = []

    def set(self, faults: list[Fault]) -> None:
        """Replace all faults."""
        self._left = [[fault, fault.times] for fault in faults]

    def share(self, other: "Faults") -> None:
        """Use up the same faults as another stand-in from now on."""
        self._left = other._left

    def take(self, path: str, *actions: FaultAction) -> Fault | None:
        """Use up one of the faults that apply to a call, if there is any."""
        for pair in self._left:
            fault, times = pair
            applies = fault.path in ("", path) and fault.action in actions
            if applies and times != 0:
                pair[1] = times - 1 if times > 0 else times
                return fault
        return None

    async def before(self, request: web.Request) -> web.Response | None:
        """Apply faults that come before the effect."""
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
    """Return the answer that says that a call did not start."""
    message = {
        "error": reason,
        "started": False,
        "attempt_id": request.headers.get("Attempt-Id", ""),
    }
    return web.json_response(message, status=503, headers=headers)


def drop_connection(request: web.Request) -> None:
    """Close a caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


async def stay_silent() -> None:
    """Keep a connection open and say nothing."""
    await asyncio.sleep(SILENCE_S)
