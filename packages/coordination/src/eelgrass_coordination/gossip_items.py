"""The gossip items that a member has received, by kind and name."""

from .messages import BroadcastQueue, GossipItem
from .suspicion import FORGET_PERIODS

__all__ = ["GossipItems"]

# Most items remembered. An item that was dropped counts as new if it is received again,
# and is then passed on a limited number of times once more.
MAX_ITEMS = 8192


class GossipItems:
    """The newest version of each item, when it was received, and the items to send."""

    def __init__(self) -> None:
        self._received_by_key: dict[tuple[str, str], tuple[int, int]] = {}
        self._queue = BroadcastQueue()

    def apply(self, item: GossipItem, period: int, times: int) -> bool:
        """Record an item and, if it is new, queue it to be sent ``times`` times.

        Returns whether it is new.
        """
        key = (item.kind, item.name)
        previous = self._received_by_key.pop(key, None)
        if previous is not None and previous[0] >= item.number:
            self._received_by_key[key] = previous
            return False
        self._received_by_key[key] = (item.number, period)
        if len(self._received_by_key) > MAX_ITEMS:
            del self._received_by_key[next(iter(self._received_by_key))]
        self._queue.put(key, item, times)
        return True

    def next_to_send(self, most: int) -> tuple[GossipItem, ...]:
        """Return up to ``most`` queued items, those with the most sends left first."""
        return self._queue.take(most)

    def all(self) -> tuple[GossipItem, ...]:
        """Return all items that are remembered."""
        return tuple(
            GossipItem(*key, received[0])
            for key, received in self._received_by_key.items()
        )

    def forget_old(self, period: int) -> None:
        """Drop items that were received :data:`FORGET_PERIODS` or more periods ago."""
        for key, (_, received_in) in list(self._received_by_key.items()):
            if period - received_in >= FORGET_PERIODS:
                del self._received_by_key[key]
