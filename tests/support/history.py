"""Histories of concurrent runs, and their check against what was executed.

A history entry is one call of a caller and the reply it got. The check compares
all entries with the journals of the backend servers.
"""

from typing import Any

import aiohttp
import msgspec

from eelgrass_standins.client import Reply
from eelgrass_standins.journal import JournalEntry

__all__ = ["Call", "History", "violations"]


class Call(msgspec.Struct):
    """One call. ``token`` stands in the input of this request and no other."""

    token: str
    pipeline: str
    key: str | None
    reply: Reply | None = None


class History:
    """The calls of a run."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    async def call(
        self, deployment: Any, node: int, pipeline: str, token: str, **options: Any
    ) -> Reply | None:
        """Make a call and record it; None where the connection broke."""
        entry = Call(token, pipeline, options.get("key"))
        self.calls.append(entry)
        address = deployment.callers(node)
        try:
            entry.reply = await deployment.client.call(
                address, pipeline, f"<{token}>", **options
            )
        except (OSError, aiohttp.ClientError):
            return None
        return entry.reply


def violations(calls: list[Call], journal: list[JournalEntry]) -> list[str]:
    """Return every broken promise, in words; ``journal`` is of all servers."""
    found = []
    by_token: dict[str, list[Call]] = {}
    for call in calls:
        by_token.setdefault(call.token, []).append(call)
    for token, group in by_token.items():
        entries = [e for e in journal if f"<{token}>" in e.input_text]
        once = [e for e in entries if e.operation == "lodge-transmittal"]
        if len(once) > 1:
            found.append(f"{token}: ran {len(once)} times")
        for call in group:
            found += _reply_violations(call, entries, once)
    return found


def _reply_violations(
    call: Call, entries: list[JournalEntry], once: list[JournalEntry]
) -> list[str]:
    reply = call.reply
    if reply is None:
        return []
    found = []
    if reply.status == 200 and not _is_whole(call, reply):
        found.append(f"{call.token}: not a whole answer: {reply.body}")
    if reply.status == 200 and call.pipeline == "transmittal" and not once:
        found.append(f"{call.token}: answered but never ran")
    if reply.outcome == "not_run" and entries:
        found.append(f"{call.token}: 'not run' but {len(entries)} executions")
    if reply.outcome == "no_effect" and once:
        found.append(f"{call.token}: 'no effect' but it ran")
    return found


def _is_whole(call: Call, reply: Reply) -> bool:
    if isinstance(reply.body, list):
        *pieces, final = reply.body
        if not final.get("complete"):
            return "problem" in final
        text = "".join(piece["text"] for piece in pieces)
        numbers = [piece["seq"] for piece in pieces]
        whole = numbers == list(range(final["count"]))
        return whole and final["answer"]["output"]["text"] == text
    if not reply.body.get("complete"):
        return False
    if call.pipeline == "revision-check":
        return reply.body["pieces"] == 16
    return f"<{call.token}>" in str(reply.body["output"])
