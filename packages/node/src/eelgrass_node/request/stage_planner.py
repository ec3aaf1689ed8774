"""Plans the stages of a request from what this node knows of servers and queues."""

from collections.abc import Callable

from ..process.backends import Backend
from ..process.queue_load import QueueLoads
from ..process.server_choice import ServerCriteria
from ..version.deployment import Deployment
from .arrival import Routed
from .final_times import FinalTimes
from .graph import StagePlan
from .planning import plan_stages, refuse_hopeless

__all__ = ["StagePlanner"]


class StagePlanner:
    """Plans for one node; ``choose`` picks the server that a request would get now."""

    def __init__(
        self,
        choose: Callable[[ServerCriteria], Backend | None],
        deployment: Callable[[], Deployment | None],
        queue_loads: QueueLoads,
        final_times: FinalTimes,
    ) -> None:
        self._choose = choose
        self._deployment = deployment
        self._queue_loads = queue_loads
        self._final_times = final_times

    def plan(self, routed: Routed) -> StagePlan:
        """Return when the stages should be done, near the server to be expected."""
        prompt = routed.arrival.prompt
        criteria = ServerCriteria(
            routed.service,
            prompt.shared_part(),
            prompt.shared_tokens(),
            regions=routed.regions,
        )
        expected = self._choose(criteria)
        near = "" if expected is None else expected.entry.data_centre
        return plan_stages(routed, self._deployment(), near, self._final_s(routed))

    def refuse_hopeless(self, routed: Routed) -> float | None:
        """Return when to come back, in seconds, where the stages have no chance."""
        return refuse_hopeless(
            routed, self._deployment(), self._queue_loads, self._final_s(routed)
        )

    def _final_s(self, routed: Routed) -> float:
        """Return how long a request takes once its stages are done."""
        return self._final_times.expected_s(routed.route.name)
