"""The exception tree of the node; every message names a remedy."""

from .request.reasons import Outcome, RefusalReason, refusal_kind

__all__ = ["CallerGone", "NodeError", "PeerUnreachable", "Refused", "SettingsError"]


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
    """Another node gave no valid answer in time."""

    def __init__(self, address: str, reason: str) -> None:
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
