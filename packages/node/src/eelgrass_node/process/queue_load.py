"""The load of the services' queues, as their owners report it to every node.

In a burst the bottleneck may be the second or third stage of a request. A request that
is admitted because the first stage has capacity then uses server time and is dropped
later. Every reply of a queue owner therefore carries the load of its queue, so that a
node can add up the waits of all stages before the first one starts.
"""

from collections.abc import Callable, Iterable

import msgspec

from ..version.deployment import ServiceName

__all__ = ["QueueLoad", "QueueLoads"]

# The weight of a report falls linearly from 1 to 0 in this time, because bursts and
# queues change within a second or two.
MAX_AGE_S = 2.0
# A report that all servers rest counts for this long: another one may have been listed
# since, or one have been restarted.
REST_MAX_AGE_S = 0.5


class QueueLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one queue, in seconds of all its servers.

    ``wait_by_priority`` holds the wait of a new item that can meet its latency target,
    in ascending order of the priority number. ``late_s`` is the work of waiting items
    that are late already, and ``overload_s`` how long the queue has refused requests
    without a break. New items of ``over_share_accounts``, which ask for more than their
    share, wait for ``over_share_wait_s``. If all servers have asked for rest, the first
    one has rested after ``rest_s``.
    """

    wait_by_priority: tuple[tuple[int, float], ...] = ()
    late_s: float = 0.0
    overload_s: float = 0.0
    over_share_accounts: tuple[str, ...] = ()
    over_share_wait_s: float = 0.0
    rest_s: float = 0.0

    def wait_s(self, priority: int, account: str | None = None) -> float:
        """Return the wait of a new item of that priority and account."""
        if account in self.over_share_accounts:
            return self.over_share_wait_s
        waits = [wait for rank, wait in self.wait_by_priority if rank <= priority]
        return waits[-1] if waits else 0.0


class QueueLoads:
    """The last loads reported to one node; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._report_by_service: dict[ServiceName, tuple[float, QueueLoad]] = {}

    def receive(self, service: ServiceName, load: QueueLoad) -> None:
        """Record the reported load of a queue."""
        self._report_by_service[service] = (self._clock(), load)

    def wait_s(
        self, service: ServiceName, priority: int, account: str | None = None
    ) -> float:
        """Return the expected wait of a new item, in seconds."""
        load, weight = self._weighted_load(service)
        return load.wait_s(priority, account) * weight

    def late_s(self, services: Iterable[ServiceName]) -> float:
        """Return the largest backlog of late items among some services."""
        weighted = (self._weighted_load(service) for service in services)
        return max((load.late_s * weight for load, weight in weighted), default=0.0)

    def overload_s(self, services: Iterable[ServiceName]) -> float:
        """Return the longest current overload among some services."""
        weighted = (self._weighted_load(service) for service in services)
        return max((load.overload_s * weight for load, weight in weighted), default=0.0)

    def rest_left_s(self, services: Iterable[ServiceName]) -> float:
        """Return until when some service's servers all rest, in seconds; 0 if none."""
        return max((self._rest_left_s(service) for service in services), default=0.0)

    def _rest_left_s(self, service: ServiceName) -> float:
        report = self._report_by_service.get(service)
        if report is None:
            return 0.0
        at, load = report
        age_s = self._clock() - at
        return max(0.0, load.rest_s - age_s) if age_s <= REST_MAX_AGE_S else 0.0

    def _weighted_load(self, service: ServiceName) -> tuple[QueueLoad, float]:
        report = self._report_by_service.get(service)
        if report is None:
            return QueueLoad(), 0.0
        at, load = report
        return load, max(0.0, 1.0 - (self._clock() - at) / MAX_AGE_S)
