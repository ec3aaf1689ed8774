"""The rates of requests to cold servers."""

from collections.abc import Callable

import msgspec

from ...version.deployment import Deployment, ServiceName
from .. import rate_limiter

__all__ = ["WarmUpBounds", "WarmUpRates", "permitted_per_s"]

WINDOW_S = 1.0


class WarmUpBounds(msgspec.Struct, frozen=True):
    """The maximum of requests to a cold server in a second, over all nodes.

    It is ``ratio`` times the rate that the configuration gives for the server, plus
    ``slack`` requests.
    """

    ratio: float = 1.0
    slack: float = 0.0

    def max_per_s(self, per_s: float) -> float:
        """Return the maximum in a second for a server with a rate of ``per_s``."""
        return per_s * self.ratio + self.slack


def permitted_per_s(per_s: float, bounds: WarmUpBounds) -> float:
    """Return how many permits per second one owner may issue; 0 for none at all.

    At most the permitted number of requests then arrives in any second.
    """
    max_requests = bounds.max_per_s(per_s)
    return min(per_s, rate_limiter.permitted_per_s(max_requests, WINDOW_S))


class WarmUpRates:
    """The rate limits of cold servers by service, from the current configuration."""

    def __init__(
        self, bounds: WarmUpBounds, deployment: Callable[[], Deployment | None]
    ) -> None:
        self._bounds = bounds
        self._deployment = deployment

    def is_rate_limited(self, service: str) -> bool:
        """Return whether the configuration limits the rate of a cold server."""
        return self._configured_per_s(service) > 0

    def permitted_per_s(self, service: str) -> float:
        """Return how many permits per second the owner of a server issues."""
        return permitted_per_s(self._configured_per_s(service), self._bounds)

    def _configured_per_s(self, service: str) -> float:
        deployment = self._deployment()
        service_config = deployment and deployment.service_by_name.get(
            ServiceName(service)
        )
        return service_config.warm_up_per_s if service_config else 0.0
