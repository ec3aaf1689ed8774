"""The exception tree of the node; every message names a remedy."""

from .process.batch_items import ItemFailure
from .request.reasons import Outcome, RefusalReason, RetryReason, refusal_kind

__all__ = [
    "CallFailed",
    "CallerGone",
    "ConfigurationMalformed",
    "DifferenceMismatch",
    "HistoryGone",
    "NodeError",
    "PeerUnreachable",
    "BatchAnswerMalformed",
    "Refused",
    "RequestMalformed",
    "RequestQuarantined",
    "RequestRefused",
    "ServerEntryMalformed",
    "SettingsError",
    "StagesFailed",
    "StoreUnavailable",
]


class NodeError(Exception):
    """Base of all errors raised by the node."""


class SettingsError(NodeError):
    """A settings file is wrong."""

    def __init__(self, file: str, key: str, reason: str, remedy: str) -> None:
        super().__init__(f"{file}: {key}: {reason}. {remedy}")
        self.key = key


class CallerGone(NodeError):
    """The caller closed its connection before its answer was complete."""

    def __init__(self) -> None:
        super().__init__("The caller has gone away. Nothing is left to do for it.")


class PeerUnreachable(NodeError):
    """Another node gave no valid answer in time.

    ``timed_out`` says that it did not answer at all.
    """

    def __init__(self, address: str, reason: str, timed_out: bool = False) -> None:
        self.timed_out = timed_out
        super().__init__(
            f"The node at {address} gave no valid answer ({reason}). Ask another "
            "node, or ask it again later."
        )


class Refused(NodeError):
    """A request gets no answer from its pipeline.

    ``retry_after`` is in seconds, None where a repeat would not help.
    ``outcome`` speaks of the request: where it has an idempotency key, of all
    calls under that key. ``this_call_ran`` is False where this very call is
    known to have run nothing, whatever an earlier one did.
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
        self.this_call_ran = True

    def before_claim(self) -> "Refused":
        """Return this refusal as one of a call that did not hold its key.

        An earlier call under the key may have run, so "not run" would be a
        claim about the request that nobody here can make.
        """
        self.outcome = Outcome.UNKNOWN
        self.this_call_ran = False
        return self


class ConfigurationMalformed(NodeError):
    """A configuration in the store cannot be read."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"The configuration in the store cannot be read ({reason}). The last "
            "good one stays in force; write a corrected one."
        )


class ServerEntryMalformed(NodeError):
    """The entry of a backend server in the store cannot be read."""

    def __init__(self, server_id: str, reason: str) -> None:
        super().__init__(
            f"The entry of backend server {server_id} cannot be read ({reason}). "
            "The server gets no new work until a good one comes; correct what "
            "is written there."
        )


class DifferenceMismatch(NodeError):
    """A row cannot be made of the one before it and a difference."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(
            f"The row {key} cannot be made of the one before it ({reason}). Ask for it "
            "whole."
        )


class StoreUnavailable(NodeError):
    """The platform's store gave no good answer."""

    def __init__(self, what: str, reason: str) -> None:
        super().__init__(
            f"The store gave no good answer about {what} ({reason}). Ask again "
            "shortly; what was last read stays in force."
        )


class HistoryGone(NodeError):
    """The store no longer knows the changes since a version."""

    def __init__(self, what: str) -> None:
        super().__init__(
            f"The store has dropped the history asked for ({what}). Read the "
            "table whole."
        )


class RequestMalformed(NodeError):
    """A caller's request breaks the protocol."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"The request is malformed: {reason}. Correct it.")


class BatchAnswerMalformed(NodeError):
    """A backend server's answer does not fit the call for pieces."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"The answer does not fit the call ({reason}). Run the pieces elsewhere."
        )


class StagesFailed(NodeError):
    """The stages before a request could not be run.

    ``trouble`` says why, ``retry_after_s`` when to come back, in seconds.
    """

    def __init__(self, failure: ItemFailure, retry_after_s: float) -> None:
        super().__init__(
            f"A stage had no result ({failure.value}). Repeat the request in "
            f"{retry_after_s:.1f} s."
        )
        self.failure = failure
        self.retry_after_s = retry_after_s


class CallFailed(NodeError):
    """A call to a backend server has no answer that may be passed on.

    ``not_run`` is True only where the request surely did not run there.
    """

    def __init__(self, reason: RetryReason, not_run: bool) -> None:
        super().__init__(
            f"The backend server gave no good answer ({reason.value}). Try "
            "another one if the request may be repeated."
        )
        self.reason = reason
        self.not_run = not_run


class RequestRefused(NodeError):
    """A routed request gets no answer from a server.

    ``retry_after_s`` is in seconds, None where nothing is known of it.
    """

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(f"The request is refused ({reason}). Repeat it later.")
        self.reason = reason
        self.retry_after_s = retry_after_s


class RequestQuarantined(RequestRefused):
    """Servers have ended under a request again and again."""

    def __init__(self, request: str, retry_after_s: float) -> None:
        super().__init__(
            f"servers have ended under this request ({request}); change it",
            retry_after_s,
        )
