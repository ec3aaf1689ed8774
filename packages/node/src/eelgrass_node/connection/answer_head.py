"""The head of an answer of a backend server, whatever call it answers."""

from collections.abc import Callable, Mapping

import msgspec

__all__ = ["AnswerHead", "OnAnswer"]


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
