"""Records the calls of a concurrent run and checks them against the executions.

Each history entry is a call and the reply to it. :func:`violations` compares the
entries with the journals of the backend servers.
"""

import math
import time
from typing import Any

import aiohttp
import msgspec

from eelgrass_standins.client import Reply
from eelgrass_standins.journal import JournalEntry

__all__ = ["Call", "History", "violations"]


class Call(msgspec.Struct):
    """One call of a request, whose input alone contains ``token``.

    Repeated calls of the same request share the token. ``replied_at`` is in monotonic
    seconds, like the times in the journals, and infinite if no reply came.
    """

    token: str
    pipeline: str
    key: str | None
    reply: Reply | None = None
    replied_at: float = math.inf


class History:
    """The calls of a run."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    async def call(
        self, deployment: Any, node: int, pipeline: str, token: str, **options: Any
    ) -> Reply | None:
        """Make a call and record it; return None if the connection failed."""
        entry = Call(token, pipeline, options.get("key"))
        self.calls.append(entry)
        address = deployment.callers(node)
        try:
            entry.reply = await deployment.client.call(
                address, pipeline, f"<{token}>", **options
            )
        except (OSError, aiohttp.ClientError):
            return None
        entry.replied_at = time.monotonic()
        return entry.reply


def violations(calls: list[Call], journal: list[JournalEntry]) -> list[str]:
    """Return a message per violated guarantee; ``journal`` covers all servers."""
    found = []
    by_token: dict[str, list[Call]] = {}
    for call in calls:
        by_token.setdefault(call.token, []).append(call)
    for token, group in by_token.items():
        entries = [e for e in journal if f"<{token}>" in e.input_text]
        once = [e for e in entries if e.operation == "lodge-transmittal"]
        if len(once) > 1:
            found.append(f"{token}: non-idempotent operation ran {len(once)} times")
        for call in group:
            found += _reply_violations(call, group, entries, once)
    return found


def _reply_violations(
    call: Call, group: list[Call], entries: list[JournalEntry], once: list[JournalEntry]
) -> list[str]:
    reply = call.reply
    if reply is None:
        return []
    found = []
    if reply.status == 200 and not _is_complete(call, reply):
        found.append(
            f"{call.token}: status 200 with an incomplete answer: {reply.body}"
        )
    if reply.status == 200 and call.pipeline == "transmittal" and not once:
        found.append(f"{call.token}: status 200 but the operation never ran")
    if reply.outcome == "not_run" and _contradicts_refusal(call, group, entries):
        found.append(
            f"{call.token}: refused as 'not_run' but executed {len(entries)} times"
        )
    if reply.outcome == "no_effect" and _contradicts_refusal(call, group, once):
        found.append(f"{call.token}: refused as 'no_effect' but the operation ran")
    return found


def _contradicts_refusal(
    call: Call, group: list[Call], entries: list[JournalEntry]
) -> bool:
    """Return whether an execution contradicts the refusal of ``call``.

    An execution that began before the refusal contradicts it. One that began later
    does too, unless the caller repeated the request: the repeat may have caused it.
    """
    if any(entry.started_at <= call.replied_at for entry in entries):
        return True
    repeated = any(other.replied_at > call.replied_at for other in group)
    return bool(entries) and not repeated


def _is_complete(call: Call, reply: Reply) -> bool:
    if isinstance(reply.body, list):
        *chunks, final = reply.body
        if not final.get("complete"):
            return "problem" in final
        text = "".join(chunk["text"] for chunk in chunks)
        numbers = [chunk["seq"] for chunk in chunks]
        in_sequence = numbers == list(range(final["count"]))
        return in_sequence and final["answer"]["output"]["text"] == text
    if not reply.body.get("complete"):
        return False
    if call.pipeline == "revision-check":
        return reply.body["pieces"] == 16
    return f"<{call.token}>" in str(reply.body["output"])
