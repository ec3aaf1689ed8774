"""How long the queues of the services are, as every node hears from their owners.

The pattern it answers: in a burst the narrowest stage may be the second or
third. A request that is let in because the first has room then takes servers'
time and is given up later. Every answer of an owner to a node carries the load
of its queue, so that a node can add up all stages before the first begins.
"""

from collections.abc import Callable, Iterable

import msgspec

from ..version.deployment import ServiceName

__all__ = ["QueueLoad", "QueueLoads"]

# What was heard counts in full at first and for nothing after this; bursts and
# queues change within a second or two.
FADE_S = 2.0


class QueueLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one queue, in seconds of all its servers.

    ``wait_by_priority`` holds, in ascending order of the priority number, the
    wait of a newcomer that can still be on time; ``late_s`` is the work of those
    that wait and are late already. ``overload_s`` is how long requests have been
    refused there without a pause. A newcomer of one of the accounts ``crowding``, which
    ask for more than their share, waits for ``crowding_wait_s``.
    """

    wait_by_priority: tuple[tuple[int, float], ...] = ()
    late_s: float = 0.0
    overload_s: float = 0.0
    over_share_accounts: tuple[str, ...] = ()
    over_share_wait_s: float = 0.0

    def wait_s(self, priority: int, account: str | None = None) -> float:
        """Return the wait of a newcomer of that priority and account."""
        if account in self.over_share_accounts:
            return self.over_share_wait_s
        waits = [wait for rank, wait in self.wait_by_priority if rank <= priority]
        return waits[-1] if waits else 0.0


class QueueLoads:
    """What one node has heard of the queues; times are of ``clock``."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._heard_by_service: dict[ServiceName, tuple[float, QueueLoad]] = {}

    def receive(self, service: ServiceName, load: QueueLoad) -> None:
        """Take in the load of a queue."""
        self._heard_by_service[service] = (self._clock(), load)

    def wait_s(
        self, service: ServiceName, priority: int, account: str | None = None
    ) -> float:
        """Return the expected wait of a newcomer, in seconds."""
        load, weight = self._known(service)
        return load.wait_s(priority, account) * weight

    def late_s(self, services: Iterable[ServiceName]) -> float:
        """Return the work of late pieces at the worst of some services."""
        known = (self._known(service) for service in services)
        return max((load.late_s * weight for load, weight in known), default=0.0)

    def overload_s(self, services: Iterable[ServiceName]) -> float:
        """Return how long the worst of some services has been overloaded."""
        known = (self._known(service) for service in services)
        return max((load.overload_s * weight for load, weight in known), default=0.0)

    def _known(self, service: ServiceName) -> tuple[QueueLoad, float]:
        heard = self._heard_by_service.get(service)
        if heard is None:
            return QueueLoad(), 0.0
        at, load = heard
        return load, max(0.0, 1.0 - (self._clock() - at) / FADE_S)
