"""Checks operators' changes and commits them through the change log."""

import asyncio

import msgspec

from eelgrass_coordination import (
    Change,
    ChangeLog,
    ChangeOutcome,
    ChangeResult,
    Member,
    Membership,
    SnapshotStore,
)
from eelgrass_coordination.exceptions import PlatformError
from eelgrass_coordination.ids import NodeId, Revision

from ..connection.peer_calls import PeerCalls
from ..exceptions import PeerUnreachable
from ..log import Part, log
from ..version import validate_snapshot
from .configuration import ConfigurationSync, RevisionReply

__all__ = ["ChangeReport", "Changes"]

IN_FORCE_WAIT_S = 5.0


class ChangeReport(msgspec.Struct, frozen=True):
    """The result of a change, and the nodes on which it is in force or not yet."""

    result: ChangeResult
    in_force: tuple[NodeId, ...] = ()
    not_yet: tuple[NodeId, ...] = ()


class Changes:
    """Submits changes and reports on which nodes they are in force."""

    def __init__(
        self,
        change_log: ChangeLog,
        snapshots: SnapshotStore,
        configuration: ConfigurationSync,
        membership: Membership,
        peers: PeerCalls,
        settle_s: float,
    ) -> None:
        self._change_log = change_log
        self._snapshots = snapshots
        self._configuration = configuration
        self._membership = membership
        self._peers = peers
        self._settle_s = settle_s

    async def submit(self, change: Change) -> ChangeReport:
        """Commit a change and report where it is in force."""
        result = await self._change_log.propose(
            change, self._configuration.catch_up, validate_snapshot, self._settle_s
        )
        if result.outcome is not ChangeOutcome.ACCEPTED:
            return ChangeReport(result)
        await self._catch_up(result.revision)
        await self._snapshots.save_if_due(self._configuration.follower.snapshot)
        return await self._report(result)

    async def _catch_up(self, revision: Revision) -> None:
        # The change is read back instead of applied from the request, because a
        # repeated change id refers to the change first accepted under it.
        try:
            await self._configuration.catch_up(revision)
        except PlatformError as error:
            log(
                Part.CONFIGURATION,
                "A change is committed but not readable yet; the next poll applies it.",
                error=str(error),
            )

    async def _report(self, result: ChangeResult) -> ChangeReport:
        revision = result.revision
        members = self._membership.members.reachable()
        reached = await asyncio.gather(
            *(self._wait_for_member(member, revision) for member in members)
        )
        own = self._membership.own.id
        in_force = [
            m.id for m, is_in_force in zip(members, reached, strict=True) if is_in_force
        ]
        not_yet = [
            m.id
            for m, is_in_force in zip(members, reached, strict=True)
            if not is_in_force
        ]
        if self._configuration.follower.revision >= revision:
            in_force.append(own)
        else:
            not_yet.append(own)
        return ChangeReport(result, tuple(sorted(in_force)), tuple(sorted(not_yet)))

    async def _wait_for_member(self, member: Member, revision: Revision) -> bool:
        message = {"revision": revision, "wait_s": IN_FORCE_WAIT_S}
        timeout_s = IN_FORCE_WAIT_S + 1
        try:
            reached = await self._peers.ask(
                member.internal, "revision", message, RevisionReply, timeout_s
            )
        except PeerUnreachable:
            return False
        return reached.revision >= revision
