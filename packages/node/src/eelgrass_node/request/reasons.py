"""Reasons for refusals, retries and discards; each has its own counter."""

from enum import Enum

import msgspec

__all__ = [
    "FREE_RETRY_REASONS",
    "NOT_CONNECTED_REASONS",
    "PATH_FAILURE_REASONS",
    "POSSIBLE_CRASH_REASONS",
    "SERVER_FAILING_REASONS",
    "SUSPECT_SERVER_REASONS",
    "TIMEOUT_REASONS",
    "DiscardReason",
    "Outcome",
    "RefusalKind",
    "RefusalReason",
    "RetryReason",
    "refusal_kind",
]


class Outcome(Enum):
    """The effect that a refused request may have had."""

    NOT_RUN = "not_run"
    NO_EFFECT = "no_effect"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a request is refused; the value is the last part of the problem type."""

    MALFORMED_BODY = "malformed-body"
    BAD_FIELD = "bad-field"
    BAD_DEADLINE = "bad-deadline"
    BAD_HEADER = "bad-header"
    DUPLICATE_HEADER = "duplicate-header"
    BODY_TOO_LARGE = "body-too-large"
    NOT_AUTHENTICATED = "not-authenticated"
    WRONG_ACCOUNT = "wrong-account"
    UNKNOWN_PIPELINE = "unknown-pipeline"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    NOT_CONFIGURED = "not-configured"
    NODE_STOPPING = "node-stopping"
    NODE_FULL = "node-full"
    DEADLINE_INFEASIBLE = "deadline-infeasible"
    QUEUE_FULL = "queue-full"
    DEADLINE_PASSED = "deadline-passed"
    NO_BACKEND = "no-backend"
    RETRY_BUDGET_SPENT = "retry-budget-spent"
    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    PLATFORM_DOWN = "platform-down"
    STAGE_OUTCOME_UNKNOWN = "stage-outcome-unknown"
    CLAIM_OWNER_UNREACHABLE = "claim-owner-unreachable"
    CLAIM_OUTCOME_UNKNOWN = "claim-outcome-unknown"
    CLAIM_STILL_RUNNING = "claim-still-running"
    CLAIM_RESOLVED = "claim-resolved"
    INTERNAL_ERROR = "internal-error"


class RetryReason(Enum):
    """Why an attempt is retried."""

    CONNECT_FAILED = "connect_failed"
    CONNECT_SILENT = "connect_silent"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_SILENT = "connection_silent"
    BACKEND_LEAVING = "backend_leaving"
    BACKEND_OVERLOADED = "backend_overloaded"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_RESTING = "backend_resting"
    BACKEND_LIMITED = "backend_limited"
    WRONG_ATTEMPT = "wrong_attempt"
    BAD_ANSWER = "bad_answer"
    STREAM_CUT = "stream_cut"
    TOO_SLOW = "too_slow"
    CANCELLED_BY_BACKEND = "cancelled_by_backend"
    BACKEND_REPLACED = "backend_replaced"
    # The server was withdrawn before the request was sent to it.
    BACKEND_WITHDRAWN = "backend_withdrawn"
    INPUT_GONE = "input_gone"
    BACKEND_ERROR = "backend_error"
    VERSION_UNCERTAIN = "version_uncertain"


# After these failures a server is avoided for a while; one that is only full is not.
SUSPECT_SERVER_REASONS = frozenset(
    (
        RetryReason.CONNECT_FAILED,
        RetryReason.CONNECT_SILENT,
        RetryReason.CONNECTION_LOST,
        RetryReason.CONNECTION_SILENT,
        RetryReason.BAD_ANSWER,
    )
)
# These failures show that the server itself is failing, not the network path to it, so
# other nodes are notified.
SERVER_FAILING_REASONS = frozenset(
    (RetryReason.CONNECTION_LOST, RetryReason.BAD_ANSWER)
)
# After these failures the server may have terminated.
POSSIBLE_CRASH_REASONS = frozenset(
    (
        RetryReason.CONNECTION_LOST,
        RetryReason.CONNECTION_SILENT,
        RetryReason.STREAM_CUT,
    )
)
NOT_CONNECTED_REASONS = frozenset(
    (
        RetryReason.CONNECT_FAILED,
        RetryReason.CONNECT_SILENT,
        RetryReason.BACKEND_WITHDRAWN,
    )
)
# After these failures a retry puts no additional load on any server.
FREE_RETRY_REASONS = NOT_CONNECTED_REASONS | {
    RetryReason.BACKEND_RESTING,
    RetryReason.BACKEND_LIMITED,
}
TIMEOUT_REASONS = frozenset((RetryReason.CONNECT_SILENT, RetryReason.CONNECTION_SILENT))
# These failures are explained by a network path that is lost.
PATH_FAILURE_REASONS = (
    NOT_CONNECTED_REASONS | TIMEOUT_REASONS | {RetryReason.CONNECTION_LOST}
)


class DiscardReason(Enum):
    """Why data that a backend server sent is discarded."""

    WRONG_ATTEMPT = "wrong_attempt"
    REPEATED_CHUNK = "repeated_piece"
    TOO_FAR_AHEAD = "too_far_ahead"


class RefusalKind(msgspec.Struct, frozen=True):
    """The HTTP status, title and remedy of a refusal reason."""

    status: int
    title: str
    remedy: str


_R = RefusalReason
_RETRY_LATER = "Repeat the request after the time in Retry-After."
_KINDS = {
    _R.MALFORMED_BODY: (400, "The body is not valid JSON", "Send one JSON object."),
    _R.BAD_FIELD: (400, "A field is wrong", "Correct the field that is named."),
    _R.BAD_DEADLINE: (
        400,
        "The deadline is out of range",
        "Set deadline_ms to between 1 and the pipeline's deadline, or omit it.",
    ),
    _R.BAD_HEADER: (400, "A header is wrong", "Correct the header that is named."),
    _R.DUPLICATE_HEADER: (400, "A header came twice", "Send the named header once."),
    _R.BODY_TOO_LARGE: (413, "The body is too large", "Send a smaller body."),
    _R.NOT_AUTHENTICATED: (
        401,
        "The account or its key is not known",
        "Send the account's key as 'Authorization: Bearer KEY'.",
    ),
    _R.WRONG_ACCOUNT: (
        403,
        "The answer belongs to another account",
        "Use the key of the account that made the request.",
    ),
    _R.UNKNOWN_PIPELINE: (
        404,
        "The account has no pipeline of that name",
        "Check the name, or ask an operator to add parameters for the account.",
    ),
    _R.KEY_REQUIRED: (
        400,
        "The pipeline asks for an idempotency key",
        "Send an Idempotency-Key header, a new one for each new request.",
    ),
    _R.KEY_REUSED: (
        422,
        "The idempotency key belongs to another request",
        "Use a new key for a new request.",
    ),
    _R.NOT_CONFIGURED: (503, "The node has no configuration yet", _RETRY_LATER),
    _R.NODE_STOPPING: (
        503,
        "The node is stopping",
        "Repeat the request at once at another node.",
    ),
    _R.NODE_FULL: (503, "The node has too many requests in flight", _RETRY_LATER),
    _R.DEADLINE_INFEASIBLE: (503, "The deadline cannot be met now", _RETRY_LATER),
    _R.QUEUE_FULL: (503, "The queue of a stage is full", _RETRY_LATER),
    _R.DEADLINE_PASSED: (
        504,
        "The deadline passed",
        "Repeat the request with a longer deadline, if the outcome allows it.",
    ),
    _R.NO_BACKEND: (503, "No backend server can take the stage", _RETRY_LATER),
    _R.RETRY_BUDGET_SPENT: (
        503,
        "A stage failed and may not be retried now",
        _RETRY_LATER,
    ),
    _R.ATTEMPTS_EXHAUSTED: (503, "A stage failed at every attempt", _RETRY_LATER),
    _R.PLATFORM_DOWN: (503, "The request could not be registered", _RETRY_LATER),
    _R.STAGE_OUTCOME_UNKNOWN: (
        502,
        "A stage that may not be repeated has an unknown outcome",
        "Repeat the request with the same key to learn its state; ask an operator to "
        "resolve it.",
    ),
    _R.CLAIM_OWNER_UNREACHABLE: (
        503,
        "The node that runs this request does not answer",
        "Repeat the request with the same key after the time in Retry-After.",
    ),
    _R.CLAIM_OUTCOME_UNKNOWN: (
        502,
        "The request was begun and its outcome is unknown",
        "Ask an operator to resolve the key; a new key would run the request again.",
    ),
    _R.CLAIM_STILL_RUNNING: (
        503,
        "The request is still running",
        "Repeat the request with the same key after the time in Retry-After.",
    ),
    _R.CLAIM_RESOLVED: (
        409,
        "An operator has closed the request under this key",
        "Read the operator's note; use a new key for a new request.",
    ),
    _R.INTERNAL_ERROR: (
        500,
        "The node met an error of its own",
        "Repeat the request with the same key, and report its request id.",
    ),
}
_KIND_BY_REASON = {reason: RefusalKind(*parts) for reason, parts in _KINDS.items()}


def refusal_kind(reason: RefusalReason) -> RefusalKind:
    """Return the status, title and remedy of ``reason``."""
    return _KIND_BY_REASON[reason]
