"""The exception tree of the node; every message names a remedy."""

from .request.reasons import Outcome, RefusalReason, refusal_kind

__all__ = ["NodeError", "Refused", "SettingsError"]


class NodeError(Exception):
    """Base of all errors raised by the node."""


class SettingsError(NodeError):
    """A settings file is wrong."""

    def __init__(self, file: str, key: str, reason: str, remedy: str) -> None:
        super().__init__(f"{file}: {key}: {reason}. {remedy}")
        self.key = key


class Refused(NodeError):
    """A request gets no answer from its pipeline.

    ``retry_after`` is in seconds, None where a repeat would not help.
    """

    def __init__(
        self,
        reason: RefusalReason,
        outcome: Outcome,
        detail: str = "",
        retry_after: float | None = None,
    ) -> None:
        kind = refusal_kind(reason)
        super().__init__(f"{kind.title}. {detail} {kind.remedy}")
        self.reason = reason
        self.kind = kind
        self.outcome = outcome
        self.detail = detail
        self.retry_after = retry_after
