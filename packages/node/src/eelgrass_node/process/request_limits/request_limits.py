"""Combines the permits and the admission of requests to limited servers on one node."""

from collections.abc import Callable

from ..permit_owners import PermitOwners
from .admission import AskLimitOwner, LimitAdmission
from .named_limits import NamedLimits
from .permits import LimitPermits

__all__ = ["RequestLimits"]


class RequestLimits:
    """The permits that a node issues, and those that it requests."""

    def __init__(
        self,
        owners: PermitOwners,
        limits: NamedLimits,
        ask_owner: AskLimitOwner,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self.permits = LimitPermits(owners, limits, clock)
        self.admission = LimitAdmission(
            owners, self.permits, limits, ask_owner, clock, count
        )
