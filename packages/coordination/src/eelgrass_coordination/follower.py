"""Holds the newest snapshot that a process has received; it never goes backwards."""

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
    """The newest snapshot received, and the latest changes that led to it.

    ``confirmed_at`` is the monotonic time at which the platform last confirmed, as
    far as this process knows, that this revision is the newest.
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
        """The revision in force in this process."""
        return self.snapshot.revision

    def age(self) -> float:
        """Return the seconds since the revision was last confirmed as the newest."""
        return max(0.0, self._clock() - self.confirmed_at)

    def confirm(self, revision: Revision, age: float = 0.0) -> None:
        """Record that ``revision`` was the newest ``age`` seconds ago."""
        if revision == self.revision:
            self.confirmed_at = max(self.confirmed_at, self._clock() - age)
            self.ready = True

    def advance(self, changes: Iterable[Change]) -> bool:
        """Apply the changes that are new; return whether there were any.

        Raises :class:`SnapshotGap` if a revision is missing in between.
        """
        previous = self.revision
        for change in changes:
            if change.revision <= self.revision:
                continue
            self.snapshot = apply_change(self.snapshot, change)
            self.recent_changes.append(change)
        return self._wake_waiters(previous)

    def replace(self, snapshot: Snapshot) -> bool:
        """Replace the snapshot by a newer one; return whether it was newer."""
        if snapshot.revision <= self.revision:
            return False
        previous = self.revision
        self.snapshot = snapshot
        self.recent_changes.clear()
        return self._wake_waiters(previous)

    def changes_after(self, revision: Revision) -> list[Change] | None:
        """Return the changes after ``revision``, or None if they are no longer kept."""
        if revision >= self.revision:
            return []
        newer = [change for change in self.recent_changes if change.revision > revision]
        if not newer or newer[0].revision != revision + 1:
            return None
        return newer

    async def wait_for(self, revision: Revision) -> Snapshot:
        """Wait until at least ``revision`` is in force and return the snapshot."""
        while self.revision < revision:
            self._advanced.clear()
            await self._advanced.wait()
        return self.snapshot

    def _wake_waiters(self, previous: Revision) -> bool:
        if self.revision == previous:
            return False
        self.ready = True
        self._advanced.set()
        return True


def try_advance(follower: Follower, changes: Iterable[Change]) -> bool:
    """Apply ``changes``; return False if a full snapshot is needed instead."""
    try:
        follower.advance(changes)
    except SnapshotGap:
        return False
    return True
