"""Codec for the headers of callers' requests and of calls to backend servers."""

from collections.abc import Iterable

import msgspec
from multidict import CIMultiDict

from eelgrass_coordination import decode_json

from ..connection.calls import NamedAttempt, RawHeaders
from ..exceptions import RequestMalformed
from ..request.incoming_request import (
    IncomingRequest,
    PromptPart,
    PromptShape,
    ResponseHead,
    RoutedRequest,
)
from . import names
from .names import REPORT_PATH

__all__ = [
    "REPORT_PATH",
    "decode_head",
    "decode_request",
    "decode_start",
    "encode_request",
]

# These apply to a single connection and are never forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_LENGTH = "content-length"
_HOST = "host"
_HEADER_ENCODING = "latin-1"
# A deadline of more than a day is rejected as a mistake.
MAX_DEADLINE_MS = 86_400_000.0
MAX_ITEMS = 10_000
MAX_PRIORITY = 9
HTTP_MISDIRECTED = 421


def decode_request(
    method: str,
    target: str,
    raw_headers: tuple[tuple[bytes, bytes], ...],
    body: bytes,
    arrived_at: float,
) -> IncomingRequest:
    """Decode a caller's request; raise :class:`RequestMalformed` if it is wrong."""
    headers = _decode_headers(raw_headers)
    by_name = CIMultiDict(headers)
    request_id = by_name.get(names.ATTEMPT_ID)
    if not request_id:
        raise RequestMalformed(f"the header {names.ATTEMPT_ID} is missing")
    if len(by_name.getall(names.ATTEMPT_ID)) > 1 or len(by_name.getall("Host", ())) > 1:
        raise RequestMalformed("a header that must be unique appears twice")
    dropped = _connection_headers(by_name) | names.SYSTEM_HEADERS | {_LENGTH}
    return IncomingRequest(
        request_id=request_id,
        method=method,
        target=target,
        host=by_name.get("Host", ""),
        headers=tuple(h for h in headers if h[0].lower() not in dropped),
        body=body,
        arrived_at=arrived_at,
        caller_deadline_s=_parse_deadline_s(by_name.get(names.DEADLINE_MS)),
        api_key=_parse_api_key(by_name.get(names.AUTHORIZATION)),
        last_event_id=by_name.get(names.LAST_EVENT_ID),
        resumes=by_name.get(names.RESUMES),
        item_counts=_parse_item_counts(by_name.get(names.SEGMENTS)),
        item_key=by_name.get(names.SEGMENT_KEY, ""),
        prompt=_parse_prompt(
            by_name.get(names.PROMPT_PREFIX), by_name.get(names.TOKEN_USAGE)
        ),
    )


def encode_request(
    routed: RoutedRequest,
    server_id: str,
    deadline_s: float,
    inputs: tuple[str, ...],
    last_event_id: str | None,
    copy_from: str | None = None,
) -> CIMultiDict[str]:
    """Return the headers of a call to a backend server."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in routed.incoming.headers:
        headers.add(name, value)
    if last_event_id is not None:
        headers[names.LAST_EVENT_ID] = last_event_id
    headers[names.DEADLINE_MS] = str(max(1, int(deadline_s * 1000)))
    headers[names.EXPECT_ENGINE] = server_id
    headers[names.REQUEST_PRIORITY] = str(min(MAX_PRIORITY, max(0, routed.priority)))
    if routed.account is not None:
        headers[names.TENANT] = routed.account.name
    if copy_from is not None:
        headers[names.KV_FETCH] = copy_from
    if inputs:
        headers[names.INPUTS] = ",".join(inputs)
    return headers


def named_attempt(raw_headers: RawHeaders) -> NamedAttempt | None:
    """Return the attempt that an answer names; None if it names none.

    Answers to stage calls, freed results and reports name none.
    """
    attempt = CIMultiDict(_decode_headers(raw_headers)).get(names.ATTEMPT_ID)
    return NamedAttempt(attempt) if attempt else None


def decode_head(
    status: int, raw_headers: tuple[tuple[bytes, bytes], ...]
) -> ResponseHead:
    """Decode the head of a backend server's response."""
    decoded = _decode_headers(raw_headers)
    by_name = CIMultiDict(decoded)
    dropped = _connection_headers(by_name)
    passed = ((n, v) for n, v in decoded if n.lower() not in dropped)
    connection = by_name.get("Connection", "").lower()
    return ResponseHead(
        status=status,
        request_id=by_name.get(names.ATTEMPT_ID),
        server_id=by_name.get(names.ENGINE_ID),
        signed=names.ENGINE_SIGNATURE in by_name,
        not_run=names.NOT_EXECUTED in by_name or status == HTTP_MISDIRECTED,
        closes="close" in connection,
        load=_parse_load(by_name.get(names.ENGINE_LOAD)),
        headers=CIMultiDict(passed),
    )


class _Report(msgspec.Struct, frozen=True):
    """The part of a server's report that is used; ``born`` is in Unix milliseconds."""

    born: int | None = None


def decode_start(report: bytes) -> int | None:
    """Decode when a server was started from the report of its state."""
    try:
        return decode_json(report, _Report).born
    except msgspec.MsgspecError:
        return None


def _decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    return [
        (name.decode(_HEADER_ENCODING), value.decode(_HEADER_ENCODING))
        for name, value in raw
    ]


def _connection_headers(by_name: CIMultiDict[str]) -> frozenset[str]:
    values = by_name.getall("Connection", ())
    named = {token.strip().lower() for value in values for token in value.split(",")}
    return HOP_BY_HOP_HEADERS | named


def _parse_deadline_s(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        deadline_ms = float(value)
    except ValueError as error:
        raise RequestMalformed(f"{names.DEADLINE_MS} is not a number") from error
    if not 0 <= deadline_ms <= MAX_DEADLINE_MS:
        raise RequestMalformed(f"{names.DEADLINE_MS} is out of range")
    return deadline_ms / 1000


def _parse_api_key(value: str | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _parse_item_counts(value: str | None) -> tuple[int, ...]:
    if not value:
        return ()
    try:
        counts = tuple(int(count) for count in value.split(","))
    except ValueError as error:
        raise RequestMalformed(
            f"{names.SEGMENTS} holds a value that is not a number"
        ) from error
    if any(not 0 <= count <= MAX_ITEMS for count in counts):
        raise RequestMalformed(f"{names.SEGMENTS} is out of range")
    return counts


def _parse_prompt(parts: str | None, usage: str | None) -> PromptShape:
    """Decode the shape of a prompt.

    It only guides the choice of a server, so a malformed one is ignored.
    """
    try:
        decoded = tuple(
            PromptPart(part_id, int(tokens))
            for part_id, _, tokens in (
                entry.strip().partition(":") for entry in (parts or "").split(",")
            )
            if part_id
        )
        tokens_in, _, tokens_out = (usage or "0,0").partition(",")
        return PromptShape(decoded, int(tokens_in), int(tokens_out or 0))
    except ValueError:
        return PromptShape()


def _parse_load(value: str | None) -> tuple[int, int, int] | None:
    if value is None:
        return None
    try:
        running, waiting, slots = (int(number) for number in value.split(","))
    except ValueError:
        return None
    return running, waiting, slots
