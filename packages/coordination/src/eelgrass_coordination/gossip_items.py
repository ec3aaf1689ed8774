"""The marks that a member has heard of, each by its kind and name."""

from .messages import BroadcastQueue, GossipItem
from .suspicion import FORGET_PERIODS

__all__ = ["GossipItems"]

# Marks that are remembered. One that was dropped is news once more where it is heard
# again, and is passed on a limited number of times.
MAX_HEARD = 8192


class GossipItems:
    """The newest number of each mark, when it was heard, and what is still news."""

    def __init__(self) -> None:
        self._heard_by_key: dict[tuple[str, str], tuple[int, int]] = {}
        self._news = BroadcastQueue()

    def take(self, mark: GossipItem, period: int, times: int) -> bool:
        """Take in a mark, to be sent that many times; return whether it is news."""
        key = (mark.kind, mark.name)
        known = self._heard_by_key.pop(key, None)
        if known is not None and known[0] >= mark.number:
            self._heard_by_key[key] = known
            return False
        self._heard_by_key[key] = (mark.number, period)
        if len(self._heard_by_key) > MAX_HEARD:
            del self._heard_by_key[next(iter(self._heard_by_key))]
        self._news.put(key, mark, times)
        return True

    def to_send(self, most: int) -> tuple[GossipItem, ...]:
        """Return the news that was sent least, ``most`` marks of it."""
        return self._news.take(most)

    def all(self) -> tuple[GossipItem, ...]:
        """Return all marks that are remembered."""
        return tuple(
            GossipItem(*key, heard[0]) for key, heard in self._heard_by_key.items()
        )

    def forget_old(self, period: int) -> None:
        """Drop marks that were heard long ago."""
        for key, (_, since) in list(self._heard_by_key.items()):
            if period - since >= FORGET_PERIODS:
                del self._heard_by_key[key]
