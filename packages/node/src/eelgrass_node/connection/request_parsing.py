"""Parses and validates a caller's request before any of it is run."""

import asyncio
import hashlib
import hmac
from typing import Any

import msgspec
from aiohttp import web

from eelgrass_coordination import decode_json
from eelgrass_coordination.ids import AccountName, new_id

from ..exceptions import MemoryExhausted, Refused
from ..process.memory_budget import NO_ROOM_RETRY_S
from ..request.model import CallerRequest
from ..request.reasons import Outcome, RefusalReason
from ..version import Pipeline, Version

__all__ = ["KEY_HEADER", "parse_idempotency_key", "read_request"]

KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 200
SINGLE_HEADERS = ("Authorization", "Content-Type", KEY_HEADER)
BEARER = "Bearer "
# A member of a small object, and an array, an object or an element of one.
MEMBER_BYTES = 170
ELEMENT_BYTES = 64


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    account: str
    input: Any
    deadline_ms: int | None = None
    stream: bool = False


async def read_request(
    request: web.Request, version: Version, max_body: int
) -> CallerRequest:
    """Read a caller's request; raises :class:`Refused` where it is not valid."""
    received_at = asyncio.get_running_loop().time()
    _check_headers(request)
    raw = await _read_body(request, max_body)
    body = _decode_body(raw)
    name = request.match_info["pipeline"]
    pipeline = _find_pipeline(request, version, body, name)
    key = parse_idempotency_key(request)
    if pipeline.key_required and key is None:
        raise _refused(RefusalReason.KEY_REQUIRED)
    deadline_ms = _checked_deadline_ms(body, pipeline)
    return CallerRequest(
        request_id=new_id("request"),
        pipeline=pipeline,
        input=body.input,
        deadline=received_at + deadline_ms / 1000,
        deadline_ms=deadline_ms,
        stream=body.stream,
        key=key,
        digest=_request_digest(name, body.input),
    )


def parse_idempotency_key(request: web.Request) -> str | None:
    """Return the idempotency key, if any; raises :class:`Refused` if it is invalid."""
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return None
    if not 1 <= len(key) <= MAX_KEY_LENGTH:
        detail = f"{KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} characters."
        raise _refused(RefusalReason.BAD_HEADER, detail)
    return key


def _request_digest(pipeline: str, value: Any) -> str:
    """Return a digest that distinguishes a repeat from another request with its key."""
    canonical = msgspec.json.encode([pipeline, value], order="deterministic")
    return hashlib.sha256(canonical).hexdigest()


def _refused(reason: RefusalReason, detail: str = "") -> Refused:
    return Refused(reason, Outcome.NOT_RUN, detail)


def _check_headers(request: web.Request) -> None:
    for name in SINGLE_HEADERS:
        if len(request.headers.getall(name, ())) > 1:
            raise _refused(RefusalReason.DUPLICATE_HEADER, f"Header {name}.")


async def _read_body(request: web.Request, max_body: int) -> bytes:
    if (request.content_length or 0) > max_body:
        raise _refused(RefusalReason.BODY_TOO_LARGE, f"At most {max_body} bytes.")
    connection = request.protocol
    try:
        raw = await connection.read_body(max_body)
        connection.reserve_decoded(_decoded_bytes(raw))
    except web.HTTPRequestEntityTooLarge as error:
        detail = f"At most {max_body} bytes."
        raise _refused(RefusalReason.BODY_TOO_LARGE, detail) from error
    except MemoryExhausted as error:
        raise Refused(
            RefusalReason.NODE_FULL, Outcome.NOT_RUN, "", NO_ROOM_RETRY_S
        ) from error
    return raw


def _decoded_bytes(raw: bytes) -> int:
    """Return what a JSON value may take once it is decoded.

    Small arrays, objects and their members take many times their length.
    """
    members = raw.count(b":") * MEMBER_BYTES
    containers = (raw.count(b"[") + raw.count(b"{") + raw.count(b",")) * ELEMENT_BYTES
    return members + containers + 2 * len(raw)


def _decode_body(raw: bytes) -> _Body:
    try:
        return decode_json(raw, _Body)
    except msgspec.ValidationError as error:
        raise _refused(RefusalReason.BAD_FIELD, f"{error}.") from error
    except msgspec.DecodeError as error:
        raise _refused(RefusalReason.MALFORMED_BODY, f"{error}.") from error


def _find_pipeline(
    request: web.Request, version: Version, body: _Body, name: str
) -> Pipeline:
    pipeline = version.pipeline(AccountName(body.account), name)
    if pipeline is not None:
        _check_bearer(request, pipeline.key_sha256)
        return pipeline
    account = version.account(body.account)
    if account is None:
        raise _refused(RefusalReason.NOT_AUTHENTICATED)
    _check_bearer(request, account.key_sha256)
    raise _refused(RefusalReason.UNKNOWN_PIPELINE, f"Pipeline {name!r}.")


def _check_bearer(request: web.Request, key_sha256: str) -> None:
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise _refused(RefusalReason.NOT_AUTHENTICATED)
    given = hashlib.sha256(header.removeprefix(BEARER).encode()).hexdigest()
    if not hmac.compare_digest(given, key_sha256):
        raise _refused(RefusalReason.WRONG_ACCOUNT)


def _checked_deadline_ms(body: _Body, pipeline: Pipeline) -> int:
    if body.deadline_ms is None:
        return pipeline.deadline_ms
    if not 1 <= body.deadline_ms <= pipeline.deadline_ms:
        detail = f"deadline_ms must be from 1 to {pipeline.deadline_ms}."
        raise _refused(RefusalReason.BAD_DEADLINE, detail)
    return body.deadline_ms
