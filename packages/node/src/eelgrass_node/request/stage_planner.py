"""Plans the stages of a request from what this node knows of servers and queues."""

from collections.abc import Callable

from ..process.backends import Backend
from ..process.queue_load import QueueLoads
from ..process.server_choice import ServerCriteria
from ..version.deployment import Deployment
from .final_call_latency import FinalCallLatency
from .graph import StagePlan
from .incoming_request import RoutedRequest
from .planning import infeasible_retry_after_s, plan_stages

__all__ = ["StagePlanner"]


class StagePlanner:
    """Plans for one node; ``choose`` picks the server that a request would get now."""

    def __init__(
        self,
        choose: Callable[[ServerCriteria], Backend | None],
        deployment: Callable[[], Deployment | None],
        queue_loads: QueueLoads,
        final_call_latency: FinalCallLatency,
    ) -> None:
        self._choose = choose
        self._deployment = deployment
        self._queue_loads = queue_loads
        self._final_call_latency = final_call_latency

    def plan(self, routed: RoutedRequest) -> StagePlan:
        """Return when the stages should be done, near the server to be expected."""
        prompt = routed.incoming.prompt
        criteria = ServerCriteria(
            routed.service,
            prompt.prefix_key(),
            prompt.shared_tokens(),
            regions=routed.regions,
        )
        expected = self._choose(criteria)
        near = "" if expected is None else expected.entry.data_centre
        return plan_stages(routed, self._deployment(), near, self._final_s(routed))

    def infeasible_retry_after_s(self, routed: RoutedRequest) -> float | None:
        """Return when to come back, in seconds, where the stages have no chance."""
        return infeasible_retry_after_s(
            routed, self._deployment(), self._queue_loads, self._final_s(routed)
        )

    def _final_s(self, routed: RoutedRequest) -> float:
        """Return how long a request takes once its stages are done."""
        return self._final_call_latency.expected_s(routed.route.name)
