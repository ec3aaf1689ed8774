"""Decodes what backend servers say of themselves in the heads of their answers."""

import math
from collections.abc import Mapping

from ..process.server_notices import ServerNotice
from . import names

__all__ = ["decode_notice"]

LEAVING_BY_VALUE = {"1": True, "0": False}
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


def decode_notice(status: int, headers: Mapping[str, str]) -> ServerNotice | None:
    """Decode what a server says of itself in any answer.

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
    return ServerNotice(
        server_id=headers.get(names.ENGINE_ID),
        is_leaving=LEAVING_BY_VALUE.get(leaving, False),
        rest_s=rest_s or None,
        refusal_limit=_parse_refusal_limit(headers.get(names.BRITTLE)),
        malformed=tuple(malformed),
    )


def _parse_rest_s(value: str) -> float | None:
    try:
        rest_s = float(value)
    except ValueError:
        return None
    return rest_s if math.isfinite(rest_s) and rest_s >= 0 else None


def _parse_refusal_limit(value: str | None) -> int | None:
    """Decode how many refusals per second a server bears; None if it is not brittle."""
    if value is None:
        return None
    try:
        return max(0, int(value))
    except ValueError:
        # A server that says that it is brittle is treated so.
        return 0
