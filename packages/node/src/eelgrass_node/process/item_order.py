"""In which order waiting pieces are run, and which rather wait for a nearer server."""

from collections.abc import Callable

from ..version.deployment import BatchLimits
from .backends import Backend
from .batch_items import BatchItem
from .queue_servers import QueueServers

__all__ = ["ItemOrder", "rank"]

# How much later a set goes for each second of a server that it takes.
LARGE_SET_WEIGHT = 3.0
# A piece waits this long at most for a server in the data centre where its
# result will be fetched, if it can afford that: about one call.
NEAR_PATIENCE_S = 0.3


def rank(item: BatchItem) -> tuple[bool, int, float]:
    """Sort pieces as if all could be on time: by share, by rank and by time."""
    return (item.over_share, item.priority, item.due)


class ItemOrder:
    """The order of one queue, before its servers; times are in seconds."""

    def __init__(self, limits: Callable[[], BatchLimits], servers: QueueServers):
        self._limits = limits
        self._servers = servers

    def work_s(self, items: int) -> float:
        """Return the seconds of a server that pieces take in full calls."""
        limits = self._limits()
        return items * (limits.call_s / limits.batch + limits.item_s)

    def is_late(self, item: BatchItem, now: float) -> bool:
        """Return whether a request cannot be on time even if it is next."""
        return item.due < now + self._servers.call_s(1)

    def key(
        self, item: BatchItem, data_centre: str, now: float
    ) -> tuple[bool, bool, bool, int, float]:
        """Sort those that can be on time first, then by share, by rank and by time.

        Before all go the rest of sets that have begun, whose results take up
        memory until they are complete. A piece that is late anyway earns
        little; it takes what the others leave.
        One whose result is fetched in this data centre goes a little earlier,
        and one of a large set later: for the time of one set of eight, four
        sets of two are served, which are worth as much each.
        """
        late = self.is_late(item, now)
        time = item.due + self.work_s(item.set_size) * LARGE_SET_WEIGHT
        if item.preferred_data_centre == data_centre:
            time -= NEAR_PATIENCE_S
        return (not item.set_started, late, item.over_share, item.priority, time)

    def waits_for_preferred(self, item: BatchItem, server: Backend, now: float) -> bool:
        """Return whether a piece rather waits for a server nearer to its use."""
        if (
            not item.preferred_data_centre
            or item.preferred_data_centre == server.entry.data_centre
        ):
            return False
        if item.set_started or now - item.queued_at >= NEAR_PATIENCE_S:
            return False
        limits = self._limits()
        size = self._servers.size(item) * min(item.set_size, limits.batch)
        wait_s = self._servers.wait_at(item.preferred_data_centre, size, now)
        if wait_s > NEAR_PATIENCE_S:
            return False
        # One that is late anyway has the time; others must not become so.
        end = now + wait_s + self._servers.call_s(limits.batch)
        return wait_s == 0.0 or end <= item.due or self.is_late(item, now)
