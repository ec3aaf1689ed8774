"""The pieces that wait in a queue, by the set to which they belong.

The pattern it answers: in a burst some hundred pieces wait, and a call is started
or ends a hundred times a second. Pieces of one stage of one request share their
deadline, rank and inputs, so what is decided for one holds for its whole set, and
the work of a decision grows with the sets (60) and not with the pieces (960).

No network and no clock here.
"""

import asyncio
from collections.abc import Iterable, Iterator, Sequence

from .pieces import Piece, PieceOutcome

__all__ = ["WaitingSets"]

Outcome = asyncio.Future[PieceOutcome]
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
        self._sets: dict[SetKey, dict[Piece, Outcome]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return how many pieces wait."""
        return self._count

    def __iter__(self) -> Iterator[Sequence[Piece]]:
        """Go over the sets, each as its waiting pieces; they may change meanwhile."""
        for waiting in list(self._sets.values()):
            if waiting:
                yield tuple(waiting)

    def add(self, piece: Piece, future: Outcome) -> None:
        """Let a piece wait, for the first time or again."""
        self._sets.setdefault(_key(piece), {})[piece] = future
        self._count += 1

    def take(self, batch: Sequence[Piece]) -> dict[Piece, Outcome]:
        """Take pieces out for a call; the rest of their sets has begun."""
        future_by_piece = {}
        for piece in batch:
            future_by_piece[piece] = self._sets[_key(piece)][piece]
        self.withdraw(batch)
        for key in {_key(piece) for piece in batch}:
            for rest in self._sets.get(key, ()):
                rest.begun = True
        return future_by_piece

    def withdraw(self, pieces: Iterable[Piece]) -> None:
        """Take pieces out that wait no longer; others are passed over."""
        for piece in pieces:
            key = _key(piece)
            waiting = self._sets.get(key)
            if waiting is None or waiting.pop(piece, None) is None:
                continue
            self._count -= 1
            if not waiting:
                del self._sets[key]

    def futures(self, pieces: Iterable[Piece]) -> list[tuple[Piece, Outcome]]:
        """Return waiting pieces with their futures."""
        return [(piece, self._sets[_key(piece)][piece]) for piece in pieces]


def _key(piece: Piece) -> SetKey:
    return (piece.request_id, piece.stage, piece.inputs)
