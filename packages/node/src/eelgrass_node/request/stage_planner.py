"""Plans the stages of a request from this node's view of servers and queues."""

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
    """The planner of a node; ``choose`` selects the server a request would get now."""

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
        """Return when the stages should be complete.

        The preferred data centre is that of the server that the request would get now.
        """
        prompt = routed.incoming.prompt
        criteria = ServerCriteria(
            routed.service,
            prompt.prefix_key(),
            prompt.shared_tokens(),
            regions=routed.regions,
            version=routed.version,
        )
        expected = self._choose(criteria)
        preferred_data_centre = "" if expected is None else expected.entry.data_centre
        return plan_stages(
            routed,
            self._deployment(),
            preferred_data_centre,
            self._final_call_s(routed),
        )

    def infeasible_retry_after_s(self, routed: RoutedRequest) -> float | None:
        """Return a Retry-After in seconds if the stages cannot be completed in time."""
        return infeasible_retry_after_s(
            routed, self._deployment(), self._queue_loads, self._final_call_s(routed)
        )

    def rest_left_s(self, routed: RoutedRequest) -> float:
        """Return for how many seconds all servers of one of the stages rest."""
        return self._queue_loads.rest_left_s(
            stage.service
            for number, stage in enumerate(routed.route.stages)
            if routed.incoming.item_count(number)
        )

    def _final_call_s(self, routed: RoutedRequest) -> float:
        """Return the expected time from the end of the stages to the response."""
        return self._final_call_latency.expected_s(routed.route.name)
