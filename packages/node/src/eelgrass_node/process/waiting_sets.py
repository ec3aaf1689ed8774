"""The pieces that wait in a queue, by the set to which they belong.

The pattern it answers: in a burst some hundred pieces wait, and a call is started
or ends a hundred times a second. Pieces of one stage of one request share their
deadline, rank and inputs, so what is decided for one holds for its whole set, and
the work of a decision grows with the sets (60) and not with the pieces (960).

No network and no clock here.
"""

import asyncio
from collections.abc import Iterable, Iterator, Sequence

from .batch_items import BatchItem, ItemOutcome

__all__ = ["WaitingSets"]

Outcome = asyncio.Future[ItemOutcome]
SetKey = tuple[str, int, tuple[str, ...]]


class WaitingSets:
    """Waiting pieces and the futures of their outcomes, in sets.

    Example::

        sets.add(piece, future)
        for pieces in sets:
            ...
        futures = sets.take(batch)
    """

    def __init__(self) -> None:
        self._sets: dict[SetKey, dict[BatchItem, Outcome]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return how many pieces wait."""
        return self._count

    def __iter__(self) -> Iterator[Sequence[BatchItem]]:
        """Go over the sets, each as its waiting pieces; they may change meanwhile."""
        for waiting in list(self._sets.values()):
            if waiting:
                yield tuple(waiting)

    def add(self, item: BatchItem, future: Outcome) -> None:
        """Let a piece wait, for the first time or again."""
        self._sets.setdefault(_key(item), {})[item] = future
        self._count += 1

    def take(self, batch: Sequence[BatchItem]) -> dict[BatchItem, Outcome]:
        """Take pieces out for a call; the rest of their sets has begun."""
        future_by_item = {}
        for item in batch:
            future_by_item[item] = self._sets[_key(item)][item]
        self.withdraw(batch)
        for key in {_key(item) for item in batch}:
            for rest in self._sets.get(key, ()):
                rest.set_started = True
        return future_by_item

    def withdraw(self, items: Iterable[BatchItem]) -> None:
        """Take pieces out that wait no longer; others are passed over."""
        for item in items:
            key = _key(item)
            waiting = self._sets.get(key)
            if waiting is None or waiting.pop(item, None) is None:
                continue
            self._count -= 1
            if not waiting:
                del self._sets[key]

    def futures(self, items: Iterable[BatchItem]) -> list[tuple[BatchItem, Outcome]]:
        """Return waiting pieces with their futures."""
        return [(item, self._sets[_key(item)][item]) for item in items]


def _key(item: BatchItem) -> SetKey:
    return (item.request_id, item.stage, item.inputs)
