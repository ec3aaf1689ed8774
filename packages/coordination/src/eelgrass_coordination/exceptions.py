"""The exception tree of the coordination parts.

Every message says what happened and what to do next.
"""

__all__ = [
    "ClaimUnsettled",
    "CoordinationError",
    "OutcomeUnknown",
    "PlatformError",
    "PlatformUnavailable",
    "SnapshotGap",
    "Throttled",
]


class CoordinationError(Exception):
    """Base of all errors raised by the coordination parts."""


class PlatformError(CoordinationError):
    """A call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """The call had no effect: it was not sent, or the platform refused it."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"The platform did not take the call ({detail}). Nothing was "
            "written; repeat the call once the platform answers again."
        )


class Throttled(PlatformUnavailable):
    """The platform refused the call because of its rate limit."""


class OutcomeUnknown(PlatformError):
    """The call was sent and its answer was lost, so it may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"The platform's answer was lost ({detail}). Read the rows back, or "
            "repeat the transaction with the same conditions."
        )


class ClaimUnsettled(CoordinationError):
    """A claim could neither be taken nor refused within its time."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"The claim could not be settled in time ({detail}). Nothing was "
            "dispatched for it; repeat the request with the same key later."
        )


class SnapshotGap(CoordinationError):
    """A change does not follow directly on the snapshot it is applied to."""

    def __init__(self, have: int, got: int) -> None:
        super().__init__(
            f"Change {got} does not follow revision {have}. Fetch the changes in "
            "between, or a whole snapshot."
        )
