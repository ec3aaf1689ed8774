"""Holds the newest known snapshot of one process; it never goes back."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable

from .configuration import EMPTY, Change, Snapshot, apply_change
from .exceptions import SnapshotGap
from .ids import Revision

__all__ = ["Follower"]

KEPT_CHANGES = 256


class Follower:
    """The newest snapshot and the latest changes that led to it.

    ``confirmed_at`` is the monotonic time at which the platform last said that
    this revision is the newest, as far as this process knows.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._advanced = asyncio.Event()
        self.snapshot: Snapshot = EMPTY
        self.recent_changes: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.confirmed_at = clock()
        self.ready = False

    @property
    def revision(self) -> Revision:
        """The revision in force here."""
        return self.snapshot.revision

    def age(self) -> float:
        """Return the seconds since the platform was known to agree."""
        return max(0.0, self._clock() - self.confirmed_at)

    def confirm(self, revision: Revision, age: float = 0.0) -> None:
        """Note that ``revision`` was the newest ``age`` seconds ago."""
        if revision == self.revision:
            self.confirmed_at = max(self.confirmed_at, self._clock() - age)
            self.ready = True

    def advance(self, changes: Iterable[Change]) -> bool:
        """Apply the changes that are new; raises :class:`SnapshotGap` on a gap."""
        before = self.revision
        for change in changes:
            if change.revision <= self.revision:
                continue
            self.snapshot = apply_change(self.snapshot, change)
            self.recent_changes.append(change)
        return self._announce(before)

    def replace(self, snapshot: Snapshot) -> bool:
        """Take a whole snapshot if it is newer; returns whether it was."""
        if snapshot.revision <= self.revision:
            return False
        before = self.revision
        self.snapshot = snapshot
        self.recent_changes.clear()
        return self._announce(before)

    def changes_after(self, revision: Revision) -> list[Change] | None:
        """Return the changes above ``revision``, or None where too old."""
        if revision >= self.revision:
            return []
        wanted = [
            change for change in self.recent_changes if change.revision > revision
        ]
        if not wanted or wanted[0].revision != revision + 1:
            return None
        return wanted

    async def wait_for(self, revision: Revision) -> Snapshot:
        """Wait until at least ``revision`` is in force and return the snapshot."""
        while self.revision < revision:
            self._advanced.clear()
            await self._advanced.wait()
        return self.snapshot

    def _announce(self, before: Revision) -> bool:
        if self.revision == before:
            return False
        self.ready = True
        self._advanced.set()
        return True


def try_advance(follower: Follower, changes: Iterable[Change]) -> bool:
    """Apply ``changes``; returns False where a whole snapshot is needed."""
    try:
        follower.advance(changes)
    except SnapshotGap:
        return False
    return True
