"""Combines the permits and the admission of requests for cold servers on one node."""

from collections.abc import Callable

from eelgrass_coordination import Membership

from ...version.deployment import Deployment
from .admission import AskOwner, WarmUpAdmission
from .permits import WarmUpPermits
from .rate_limit import WarmUpBounds, WarmUpRates

__all__ = ["WarmUp"]


class WarmUp:
    """The permits that a node issues, and those that it requests.

    ``other_seeds`` are the nodes that its settings name besides itself.
    """

    def __init__(
        self,
        membership: Membership,
        other_seeds: tuple[str, ...],
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
            other_seeds,
            rates,
            clock,
        )
        self.admission = WarmUpAdmission(self.permits, rates, ask_owner, clock, count)
