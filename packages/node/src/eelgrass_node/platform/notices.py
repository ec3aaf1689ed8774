"""Decodes what backend servers say of themselves in the heads of their answers."""

import math
import re
from collections.abc import Mapping

from msgspec import UNSET, UnsetType

from ..process.server_notices import ServerNotice
from . import names

__all__ = ["decode_notice"]

DECIMAL = re.compile(r"(\d+\.?\d*|\.\d+)(e[+-]?\d+)?", re.ASCII | re.IGNORECASE)
# Answers to these calls may leave out what those to requests say.
MANAGEMENT_PATHS = frozenset((names.REPORT_PATH, names.STAGE_FREE_PATH))

LEAVING_BY_VALUE = {"1": True, "0": False}
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


def decode_notice(
    status: int, headers: Mapping[str, str], path: str = ""
) -> ServerNotice | None:
    """Decode what a server says of itself in any answer to a call of ``path``.

    None if another server has answered at its address. ``headers`` ignores the case of
    names. Values that are not valid are ignored; the notice names their headers.
    """
    if status == HTTP_MISDIRECTED:
        return None
    malformed = []
    leaving = headers.get(names.LEAVING, "0").strip()
    if leaving not in LEAVING_BY_VALUE:
        malformed.append(names.LEAVING)
    rest_s = None
    if status == HTTP_UNAVAILABLE and names.RETRY_AFTER in headers:
        rest_s = _parse_rest_s(headers[names.RETRY_AFTER])
        if rest_s is None:
            malformed.append(names.RETRY_AFTER)
    limit_per_s = _parse_limit(headers.get(names.LIMIT), path)
    if limit_per_s is UNSET and names.LIMIT in headers:
        malformed.append(names.LIMIT)
    return ServerNotice(
        server_id=headers.get(names.ENGINE_ID),
        is_leaving=LEAVING_BY_VALUE.get(leaving, False),
        rest_s=rest_s or None,
        refusal_limit=_parse_refusal_limit(headers.get(names.BRITTLE)),
        limit_per_s=limit_per_s,
        malformed=tuple(malformed),
    )


def _parse_rest_s(value: str) -> float | None:
    try:
        rest_s = float(value)
    except ValueError:
        return None
    return rest_s if math.isfinite(rest_s) and rest_s >= 0 else None


def _parse_limit(value: str | None, path: str) -> float | None | UnsetType:
    """Decode a request limit; None for no limit, UNSET if the answer says neither."""
    if value is None:
        return UNSET if path in MANAGEMENT_PATHS else None
    if not DECIMAL.fullmatch(value.strip()):
        return UNSET
    per_s = float(value)
    return per_s if math.isfinite(per_s) else UNSET


def _parse_refusal_limit(value: str | None) -> int | None:
    """Decode how many refusals per second a server bears; None if it is not brittle."""
    if value is None:
        return None
    try:
        return max(0, int(value))
    except ValueError:
        # A server that says that it is brittle is treated so.
        return 0
