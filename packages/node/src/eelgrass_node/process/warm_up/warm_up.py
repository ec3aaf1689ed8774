"""Combines the permits and the admission of requests for cold servers on one node."""

from collections.abc import Callable

from eelgrass_coordination import Membership

from ...version.deployment import Deployment
from ..joined import JoinState
from .admission import AskOwner, WarmUpAdmission
from .permits import WarmUpPermits
from .rate_limit import WarmUpBounds, WarmUpRates

__all__ = ["WarmUp"]


class WarmUp:
    """The permits that a node issues, and those that it requests."""

    def __init__(
        self,
        membership: Membership,
        join_state: JoinState,
        bounds: WarmUpBounds,
        deployment: Callable[[], Deployment | None],
        ask_owner: AskOwner,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        rates = WarmUpRates(bounds, deployment)
        self.permits = WarmUpPermits(
            lambda: membership.own,
            lambda: list(membership.members.by_id.values()),
            join_state,
            rates,
            clock,
        )
        self.admission = WarmUpAdmission(self.permits, rates, ask_owner, clock, count)
