"""The head of an answer of a backend server, whatever call it answers."""

from collections.abc import Callable, Mapping
from http import HTTPStatus

import aiohttp
import msgspec

__all__ = ["AnswerHead", "OnAnswer", "has_length"]

BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class AnswerHead(msgspec.Struct, frozen=True):
    """The status and headers of an answer; the names of headers ignore case.

    ``path`` is that of the call, which was sent at ``sent_at``, a time of the event
    loop in seconds.
    """

    status: int
    headers: Mapping[str, str]
    path: str
    sent_at: float


# Called with the head of an answer.
OnAnswer = Callable[[AnswerHead], None]


def has_length(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response says where its body ends, or can have none.

    Otherwise the body ends when the connection is closed. A head with another coding
    than ``chunked`` is no answer; see :mod:`.answer_syntax`.
    """
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers
