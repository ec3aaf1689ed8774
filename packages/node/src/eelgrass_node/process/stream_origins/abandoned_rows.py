"""Removes the origins of streams that ended nodes have left in the store.

One node does that, chosen by rendezvous hashing. It goes by how long it has seen a row
unchanged itself, as the clocks of hosts differ.
"""

import asyncio
from collections.abc import Callable, Sequence

from eelgrass_coordination import Member, ranked

from ...exceptions import StoreUnavailable
from ...log import Part, log
from .origin_rows import MAX_ENTRIES, OriginRows

__all__ = ["AbandonedRows"]

# The table is read in parts, by the first digit of the keys, so that the node reads a
# little at a time. A round takes 640 s; no stream lasts as long.
KEY_DIGITS = "0123456789abcdef"
RANGE_END = "g"
PART_INTERVAL_S = 40.0
ELECTION_KEY = "stream-origins"


class AbandonedRows:
    """The rows as this node has seen them; ``members`` returns the other live nodes."""

    def __init__(
        self,
        own: Callable[[], Member],
        members: Callable[[], Sequence[Member]],
        rows: OriginRows,
    ) -> None:
        self._own = own
        self._members = members
        self._rows = rows
        self._version_by_key: dict[str, dict[str, int]] = {}

    async def run(self) -> None:
        """Remove rows until cancelled, in parts, while this node is the chosen one."""
        while True:
            for digit in KEY_DIGITS:
                await asyncio.sleep(PART_INTERVAL_S)
                await self._clean(digit)

    async def _clean(self, digit: str) -> None:
        if not self._is_chosen():
            self._version_by_key.clear()
            return
        try:
            removed = await self._remove_unchanged(digit)
        except StoreUnavailable as error:
            log(Part.STORE, "Abandoned origins were not removed.", error=str(error))
            return
        if removed:
            log(Part.STORE, "Abandoned origins of streams were removed.", rows=removed)

    async def _remove_unchanged(self, digit: str) -> int:
        """Remove the rows that are as they were in the last round."""
        rows = await self._rows.read(digit, _next_digit(digit))
        seen = self._version_by_key.get(digit, {})
        self._version_by_key[digit] = {row.key: row.version for row in rows}
        unchanged = [row.key for row in rows if seen.get(row.key) == row.version]
        for first in range(0, len(unchanged), MAX_ENTRIES):
            await self._rows.write({}, unchanged[first : first + MAX_ENTRIES])
        return len(unchanged)

    def _is_chosen(self) -> bool:
        nodes = [self._own(), *self._members()]
        first = ranked(nodes, ELECTION_KEY, name=lambda member: member.id)[0]
        return first.id == self._own().id


def _next_digit(digit: str) -> str:
    return (KEY_DIGITS + RANGE_END)[KEY_DIGITS.index(digit) + 1]
