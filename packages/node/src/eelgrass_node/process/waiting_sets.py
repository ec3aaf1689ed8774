"""The items that wait in a queue, grouped into item sets.

An item set holds the items of one stage of one request. They share their deadline,
priority and inputs, so a decision about one item holds for its set. In a burst some
hundred items wait, and a hundred calls start or end per second: deciding per set means
60 decisions instead of 960.

This module does no I/O and reads no clock.
"""

import asyncio
from collections.abc import Iterable, Iterator, Sequence

from .batch_items import BatchItem, ItemOutcome

__all__ = ["WaitingSets"]

Outcome = asyncio.Future[ItemOutcome]
SetKey = tuple[str, int, tuple[str, ...]]


class WaitingSets:
    """Waiting items and the futures of their outcomes, in sets.

    Example::

        sets.add(item, future)
        for items in sets:
            ...
        futures = sets.take(batch)
    """

    def __init__(self) -> None:
        self._sets: dict[SetKey, dict[BatchItem, Outcome]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self._count

    def __iter__(self) -> Iterator[Sequence[BatchItem]]:
        """Iterate over the waiting items of each set; sets may change meanwhile."""
        for waiting in list(self._sets.values()):
            if waiting:
                yield tuple(waiting)

    def regions(self) -> set[frozenset[str] | None]:
        """Return the regions to which the sets are bound; None stands for all."""
        return {items[0].regions for items in self}

    def add(self, item: BatchItem, future: Outcome) -> None:
        """Add an item that waits, for the first time or for a retry."""
        self._sets.setdefault(_key(item), {})[item] = future
        self._count += 1

    def take(self, batch: Sequence[BatchItem]) -> dict[BatchItem, Outcome]:
        """Remove the items of a call; mark the rest of their sets as started."""
        future_by_item = {}
        for item in batch:
            future_by_item[item] = self._sets[_key(item)][item]
        self.withdraw(batch)
        for key in {_key(item) for item in batch}:
            for rest in self._sets.get(key, ()):
                rest.set_started = True
        return future_by_item

    def withdraw(self, items: Iterable[BatchItem]) -> None:
        """Remove items that no longer wait; items that are not waiting are ignored."""
        for item in items:
            key = _key(item)
            waiting = self._sets.get(key)
            if waiting is None or waiting.pop(item, None) is None:
                continue
            self._count -= 1
            if not waiting:
                del self._sets[key]

    def futures(self, items: Iterable[BatchItem]) -> list[tuple[BatchItem, Outcome]]:
        """Return waiting items with their futures."""
        return [(item, self._sets[_key(item)][item]) for item in items]


def _key(item: BatchItem) -> SetKey:
    return (item.request_id, item.stage, item.inputs)
