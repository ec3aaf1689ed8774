"""Exceptions of the coordination package.

Every message says what failed and what to do next.
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
    """Base class of all errors of this package."""


class PlatformError(CoordinationError):
    """A call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """The call had no effect: it was not sent, or the platform refused it."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"The platform refused or did not receive the call ({detail}). Nothing "
            "was written; retry the call once the platform answers again."
        )


class Throttled(PlatformUnavailable):
    """The platform refused the call because its rate limit is reached."""


class OutcomeUnknown(PlatformError):
    """The call was sent but its answer was lost, so it may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"The platform's answer was lost ({detail}). Read the rows back, or "
            "retry the transaction with the same conditions."
        )


class ClaimUnsettled(CoordinationError):
    """A claim was neither acquired nor refused in time."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"The claim was neither acquired nor refused in time ({detail}). Nothing "
            "was dispatched for it; retry the request with the same key later."
        )


class SnapshotGap(CoordinationError):
    """A change is not the next revision of the snapshot it is applied to."""

    def __init__(self, have: int, got: int) -> None:
        super().__init__(
            f"Change {got} does not follow revision {have}. Fetch the changes in "
            "between, or a full snapshot."
        )
