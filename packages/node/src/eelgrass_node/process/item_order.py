"""Orders waiting items, and holds some back for a server in a preferred data centre."""

from collections.abc import Callable

from ..version.deployment import BatchLimits
from .backends import Backend
from .batch_items import BatchItem
from .queue_servers import QueueServers

__all__ = ["ItemOrder", "rank"]

# How many seconds later a set is ordered for each second of server time that it takes.
LARGE_SET_WEIGHT = 3.0
# The longest time, about one call, that an item waits for a server in the data centre
# where its result will be fetched, provided that it still meets its latency target.
MAX_PREFERRED_WAIT_S = 0.3


def rank(item: BatchItem) -> tuple[bool, int, float]:
    """Return a sort key that ignores lateness: share, priority and latency target."""
    return (item.over_share, item.priority, item.due)


class ItemOrder:
    """The order in which one queue runs its items; times are in seconds."""

    def __init__(self, limits: Callable[[], BatchLimits], servers: QueueServers):
        self._limits = limits
        self._servers = servers

    def work_s(self, items: int) -> float:
        """Return the server time in seconds that so many items take in full calls."""
        limits = self._limits()
        return items * (limits.call_s / limits.batch + limits.item_s)

    def is_late(self, item: BatchItem, now: float) -> bool:
        """Return whether an item misses its latency target even if it runs next."""
        return item.due < now + self._servers.call_s(1)

    def key(
        self, item: BatchItem, data_centre: str, now: float
    ) -> tuple[bool, bool, bool, int, float]:
        """Return the sort key of an item on servers of ``data_centre``.

        Sets that have started go first, because their results take up memory until the
        set is complete. Items that can meet their latency target come next; a late
        result is worth little, so late items get the capacity that is left. Within
        these groups the order is by share, priority and time.

        Items whose result is fetched in this data centre go a little earlier, and large
        sets go later: in the time of one set of eight, four sets of two can be served,
        and each set is worth the same.
        """
        late = self.is_late(item, now)
        time = item.due + self.work_s(item.set_size) * LARGE_SET_WEIGHT
        if item.preferred_data_centre == data_centre:
            time -= MAX_PREFERRED_WAIT_S
        return (not item.set_started, late, item.over_share, item.priority, time)

    def waits_for_preferred(self, item: BatchItem, server: Backend, now: float) -> bool:
        """Return whether an item should wait for a server where its result is used."""
        if (
            not item.preferred_data_centre
            or item.preferred_data_centre == server.entry.data_centre
        ):
            return False
        if item.set_started or now - item.queued_at >= MAX_PREFERRED_WAIT_S:
            return False
        limits = self._limits()
        size = self._servers.size(item) * min(item.set_size, limits.batch)
        wait_s = self._servers.wait_at(item.preferred_data_centre, size, now)
        if wait_s > MAX_PREFERRED_WAIT_S:
            return False
        # The wait must not make an item late; one that is late already may wait.
        end = now + wait_s + self._servers.call_s(limits.batch)
        return wait_s == 0.0 or end <= item.due or self.is_late(item, now)
