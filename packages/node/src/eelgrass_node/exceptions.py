"""The exceptions that the node raises; every message names a remedy."""

from .process.batch_items import ItemFailure
from .process.listening import Listening
from .request.reasons import Outcome, RefusalReason, RetryReason, refusal_kind

__all__ = [
    "AnswerMalformed",
    "AnswerTooLong",
    "CallFailed",
    "CallerGone",
    "ConfigurationMalformed",
    "DifferenceMismatch",
    "HistoryGone",
    "MemoryExhausted",
    "NodeError",
    "PeerUnreachable",
    "BatchAnswerMalformed",
    "Refused",
    "RelayUnavailable",
    "RequestMalformed",
    "RequestQuarantined",
    "RequestRefused",
    "ServerEntryMalformed",
    "ServersLimited",
    "ServersResting",
    "SettingsError",
    "StagesFailed",
    "StoreUnavailable",
]


class NodeError(Exception):
    """Base class of all errors that the node raises."""


class SettingsError(NodeError):
    """A settings file cannot be read or has an invalid value."""

    def __init__(self, file: str, key: str, reason: str, remedy: str) -> None:
        super().__init__(f"{file}: {key}: {reason}. {remedy}")
        self.key = key


class CallerGone(NodeError):
    """The caller disconnected before its answer was complete."""

    def __init__(self) -> None:
        super().__init__("The caller has disconnected. Stop working on its request.")


class MemoryExhausted(NodeError):
    """There is no memory for what a peer sends; it is not read any further."""

    def __init__(self) -> None:
        super().__init__(
            "The node has no memory for the request. Retry it in a second or later."
        )


class PeerUnreachable(NodeError):
    """Another node gave no valid answer in time.

    ``timed_out`` is True if it did not answer at all.
    """

    def __init__(self, address: str, reason: str, timed_out: bool = False) -> None:
        self.timed_out = timed_out
        super().__init__(
            f"The node at {address} gave no valid answer ({reason}). Ask another "
            "node, or retry later."
        )


class RelayUnavailable(NodeError):
    """No other node has connected to a server.

    ``listening`` is what they found out about the server; None if none could try.
    """

    def __init__(self, address: str, listening: Listening | None) -> None:
        self.listening = listening
        super().__init__(
            f"No other node has connected to the server at {address}. Use another "
            "server, or retry later."
        )


class Refused(NodeError):
    """A request is refused: it gets no answer from its pipeline.

    ``retry_after`` is in seconds, None if a retry would not help. ``outcome`` is that
    of the request; with an idempotency key, of all calls with this key together.
    ``this_call_ran`` is False if this call is known to have run nothing, even if an
    earlier call with the key did.
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
        """Mark this refusal as that of a call that did not hold its idempotency key.

        An earlier call with the key may have run, so the outcome of the request is
        unknown here; only this call is known not to have run.
        """
        self.outcome = Outcome.UNKNOWN
        self.this_call_ran = False
        return self


class ConfigurationMalformed(NodeError):
    """A configuration in the store cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"The configuration in the store cannot be decoded ({reason}). The last "
            "valid one stays in force; write a corrected one to the store."
        )


class ServerEntryMalformed(NodeError):
    """The entry of a backend server in the store cannot be decoded."""

    def __init__(self, server_id: str, reason: str) -> None:
        super().__init__(
            f"The entry of backend server {server_id} cannot be decoded ({reason}). "
            "The server gets no new work until its entry is valid; correct the entry "
            "in the store."
        )


class DifferenceMismatch(NodeError):
    """A difference does not fit the row that it is to be applied to."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(
            f"The row {key} cannot be rebuilt from a difference ({reason}). Request "
            "the full row."
        )


class StoreUnavailable(NodeError):
    """The platform's store gave no valid answer."""

    def __init__(self, resource: str, reason: str) -> None:
        super().__init__(
            f"The store gave no valid answer for {resource} ({reason}). Retry shortly; "
            "the data that was read last stays in force."
        )


class HistoryGone(NodeError):
    """The store no longer has the changes since a version."""

    def __init__(self, resource: str) -> None:
        super().__init__(
            f"The store no longer has the requested history ({resource}). Read the "
            "full table."
        )


class RequestMalformed(NodeError):
    """A caller's request violates the protocol."""

    def __init__(self, reason: str) -> None:
        # Callers get this text as the body of the refusal.
        super().__init__(f"The request is malformed: {reason}. Correct it.")


class BatchAnswerMalformed(NodeError):
    """A backend server's answer to a call that runs batch items is not valid."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"The answer to the batch call is not valid ({reason}). Run the items on "
            "another server."
        )


class StagesFailed(NodeError):
    """The stages that a request needs could not be run.

    ``failure`` is the reason and ``retry_after_s`` when to retry, in seconds. With
    ``is_resting`` that is when the first server of a stage has rested.
    """

    def __init__(
        self, failure: ItemFailure, retry_after_s: float, is_resting: bool = False
    ) -> None:
        super().__init__(
            f"A stage failed without a result ({failure.value}). Retry the request in "
            f"{retry_after_s:.1f} s."
        )
        self.failure = failure
        self.retry_after_s = retry_after_s
        self.is_resting = is_resting


class CallFailed(NodeError):
    """A call to a backend server got no answer that can be forwarded.

    ``not_run`` is True only if the request certainly did not run there.
    """

    def __init__(self, reason: RetryReason, not_run: bool) -> None:
        super().__init__(
            f"The backend server gave no valid answer ({reason.value}). Retry on "
            "another one if the request may be repeated."
        )
        self.reason = reason
        self.not_run = not_run


class AnswerMalformed(NodeError):
    """A peer sent bytes that cannot be an answer."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"The answer is malformed: {reason}. Try another server, and check what "
            "listens at this one's address."
        )


class AnswerTooLong(NodeError):
    """A server's answer is longer than one to its call may be, or has no end."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(
            f"The answer has over {max_bytes} bytes where it may not. Check the server."
        )


class RequestRefused(NodeError):
    """A routed request is refused; callers get ``reason``.

    ``retry_after_s`` is in seconds, None if no time can be given. With
    ``is_time_fixed`` an earlier retry is refused for certain. ``counter`` names the
    event counter of such refusals.
    """

    counter = "not-run"
    is_time_fixed = False

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(f"The request is refused ({reason}). Retry it later.")
        self.reason = reason
        self.retry_after_s = retry_after_s


class ServersLimited(RequestRefused):
    """All servers that a request could go to have reached their request limits.

    The next request may be sent after ``wait_s`` seconds.
    """

    counter = "servers-limited"

    def __init__(self, wait_s: float, retry_after_s: float) -> None:
        super().__init__(
            "the servers of the service have reached their request limits",
            retry_after_s,
        )
        self.wait_s = wait_s


class ServersResting(RequestRefused):
    """All servers that a request could go to have asked this node for rest."""

    counter = "servers-resting"
    is_time_fixed = True

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("the servers of the service ask for rest", retry_after_s)


class PromptPartQuarantined(RequestRefused):
    """A request's prompt has a part in quarantine, since servers crashed under it."""

    counter = "quarantined"
    is_time_fixed = True

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(
            "servers crashed while running requests with a part of this prompt; "
            "change it",
            retry_after_s,
        )


class RequestQuarantined(RequestRefused):
    """A request is in quarantine, since servers crashed while they were running it."""

    counter = "quarantined"
    is_time_fixed = True

    def __init__(self, request: str, retry_after_s: float) -> None:
        super().__init__(
            f"servers crashed while running this request ({request}); change it",
            retry_after_s,
        )
