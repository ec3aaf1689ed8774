"""Keeps the node at the newest configuration revision.

A few nodes per data centre poll the head row. The other nodes learn of a new revision
by gossip and fetch the changes from the peer that announced it. So the number of reads
from the table service does not grow with the number of nodes.
"""

import asyncio
from collections.abc import Callable

import msgspec

from eelgrass_coordination import (
    Change,
    ChangeLog,
    Follower,
    Member,
    Snapshot,
    SnapshotStore,
    ranked,
)
from eelgrass_coordination.exceptions import PlatformError
from eelgrass_coordination.follower import try_advance
from eelgrass_coordination.ids import Revision

from ..connection.peer_calls import PeerCalls
from ..exceptions import PeerUnreachable
from ..log import Part, log
from ..version import Version

__all__ = ["ConfigurationSync", "PeerChanges", "RevisionReply", "is_poller"]

POLLERS_KEY = "pollers"
POLLERS_PER_DATA_CENTRE = 2
PEER_TIMEOUT_S = 2.0
MAX_START_PEERS = 8


class RevisionReply(msgspec.Struct, frozen=True):
    """A peer's reply: the revision in force there."""

    revision: Revision


class PeerChanges(msgspec.Struct, frozen=True):
    """A peer's reply: the requested changes, or a snapshot instead."""

    changes: tuple[Change, ...] | None = None
    snapshot: Snapshot | None = None


def is_poller(own: Member, members: list[Member]) -> bool:
    """Return whether ``own`` is among the pollers of its data centre.

    Pollers are chosen by a hash of the node id, so the choice changes only when nodes
    join or leave. Nodes that see different members may both poll, which is harmless.
    """
    local = [m for m in members if m.data_centre == own.data_centre]
    pollers = ranked([*local, own], POLLERS_KEY, name=lambda member: member.id)
    return own.id in [member.id for member in pollers[:POLLERS_PER_DATA_CENTRE]]


class ConfigurationSync:
    """Follows the change log, directly or through peers.

    New requests use ``version``. ``on_advance`` is called with each new revision.
    """

    def __init__(
        self,
        change_log: ChangeLog,
        snapshots: SnapshotStore,
        peers: PeerCalls,
        should_poll: Callable[[], bool],
        interval_s: float,
    ) -> None:
        self._change_log = change_log
        self._snapshots = snapshots
        self._peers = peers
        self._should_poll = should_poll
        self._interval_s = interval_s
        self._fetching: set[asyncio.Task] = set()
        self._fetch_lock = asyncio.Lock()
        self._failing = False
        self.follower = Follower()
        self.version = Version(self.follower.snapshot)
        self.on_advance: Callable[[Revision], None] = lambda revision: None

    async def run(self) -> None:
        """Poll while this node is a poller, until cancelled."""
        while True:
            if self._should_poll() or not self.follower.ready:
                await self.poll()
            await asyncio.sleep(self._interval_s)

    async def poll(self) -> None:
        """Read the head row once, and the changes up to it."""
        try:
            head, _ = await self._change_log.head()
            await self.catch_up(head)
        except PlatformError as error:
            if not self._failing:
                log(
                    Part.CONFIGURATION,
                    "The head of the change log cannot be read.",
                    error=str(error),
                )
            self._failing = True
            return
        if self._failing:
            log(Part.CONFIGURATION, "The head of the change log can be read again.")
        self._failing = False
        self.follower.confirm(head)

    async def catch_up(self, head: Revision) -> Snapshot:
        """Read the changes up to ``head`` from the table service."""
        if head > self.follower.revision:
            revision = self.follower.revision
            changes = await self._change_log.changes_after(revision, head)
            self.advance(changes)
        return self.follower.snapshot

    def advance(self, changes: list[Change] | tuple[Change, ...]) -> bool:
        """Apply changes; return False if some are missing in between."""
        before = self.follower.revision
        complete = try_advance(self.follower, changes)
        self._publish_version(before)
        return complete

    def on_revision_announced(
        self, revision: Revision, member: Member, age_s: float
    ) -> None:
        """Fetch the changes from a peer that announced a newer revision."""
        if revision > self.follower.revision:
            task = asyncio.create_task(self._fetch(member))
            self._fetching.add(task)
            task.add_done_callback(self._fetching.discard)
        else:
            self.follower.confirm(revision, age_s)

    async def start(self, members: list[Member]) -> None:
        """Load the newest configuration from a peer, or else from the platform.

        Peers are asked for their revision first, because a snapshot is large.
        """
        asked = members[:MAX_START_PEERS]
        revisions = await asyncio.gather(*(self._revision_of(m) for m in asked))
        best = max(zip(revisions, range(len(asked)), strict=True), default=(0, 0))
        if best[0] > 0:
            await self._fetch(asked[best[1]])
        elif not self.follower.ready:
            await self._start_from_object()
        await self.poll()

    async def _start_from_object(self) -> None:
        try:
            snapshot = await self._snapshots.newest()
        except PlatformError as error:
            log(
                Part.CONFIGURATION,
                "The newest snapshot cannot be read.",
                error=str(error),
            )
            return
        if snapshot is not None:
            before = self.follower.revision
            self.follower.replace(snapshot)
            self._publish_version(before)

    async def _revision_of(self, member: Member) -> int:
        message = {"revision": 0, "wait_s": 0.0}
        try:
            reply = await self._peers.ask(
                member.internal, "revision", message, RevisionReply, PEER_TIMEOUT_S
            )
        except PeerUnreachable:
            return 0
        return reply.revision

    def changes_for_peer(self, after: Revision) -> PeerChanges:
        """Return the changes after a revision, or a snapshot if they are not kept."""
        changes = self.follower.changes_after(after)
        if changes is not None:
            return PeerChanges(changes=tuple(changes))
        return PeerChanges(snapshot=self.follower.snapshot)

    async def _fetch(self, member: Member) -> None:
        async with self._fetch_lock:
            message = {"after": self.follower.revision}
            try:
                answer = await self._peers.ask(
                    member.internal, "changes", message, PeerChanges, PEER_TIMEOUT_S
                )
            except PeerUnreachable as error:
                log(
                    Part.CONFIGURATION,
                    "The changes could not be fetched from a peer.",
                    error=str(error),
                )
                return
            self._apply_reply(answer)

    def _apply_reply(self, answer: PeerChanges) -> None:
        before = self.follower.revision
        if answer.snapshot is not None:
            self.follower.replace(answer.snapshot)
        elif answer.changes:
            try_advance(self.follower, answer.changes)
        self._publish_version(before)

    def _publish_version(self, before: Revision) -> None:
        revision = self.follower.revision
        if revision == before:
            return
        self.version = Version(self.follower.snapshot)
        self.on_advance(revision)
