"""Decides whether a request may be sent to a server that names a limit.

Everything that reaches a server asks here, whatever kind of call it is.
"""

import asyncio
from collections.abc import Awaitable, Callable

from eelgrass_coordination import Member
from eelgrass_coordination.ids import NodeId

from ...exceptions import PeerUnreachable
from ...log import Part, log
from ..host_entry import ServerIncarnation
from ..permit_owners import PermitOwners
from .named_limits import NamedLimits
from .permits import MAX_OWNERS, LimitPermit, LimitPermitRequest, LimitPermits

__all__ = ["LimitAdmission"]

# A permit that takes longer than this, or is not used for so long, is dropped: its
# request could arrive together with those of many later permits.
MAX_PERMIT_AGE_S = 0.3
# How long an owner is not asked that has not answered; the next one is meanwhile.
SILENT_S = 1.0
# When to ask again if no owner answers, or the owner cannot tell.
NO_OWNER_RETRY_S = 0.25
MIN_RETRY_S = 0.02

AskLimitOwner = Callable[[Member, LimitPermitRequest], Awaitable[LimitPermit]]


class LimitAdmission:
    """Requests permits from their owners, which may be this node itself.

    ``ask_owner`` requests one from another node; it raises :class:`PeerUnreachable`.
    ``clock`` returns seconds, and ``count`` counts events by kind.
    """

    def __init__(
        self,
        owners: PermitOwners,
        permits: LimitPermits,
        limits: NamedLimits,
        ask_owner: AskLimitOwner,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._owners = owners
        self._permits = permits
        self._limits = limits
        self._ask_owner = ask_owner
        self._clock = clock
        self._count = count
        self._silent_until: dict[NodeId, float] = {}
        # When unused permits expire.
        self._expiries: dict[ServerIncarnation, list[float]] = {}
        # A node asks for one permit at a time, so that after a refusal the requests
        # that wait do not ask in vain.
        self._locks: dict[ServerIncarnation, asyncio.Lock] = {}

    async def reserve(self, server: ServerIncarnation) -> bool:
        """Obtain a permit that a later :meth:`take` uses; return whether there is one.

        None is needed for a server that names no limit.
        """
        if not self._limits.is_limited(server):
            return True
        granted = await self._obtain(server)
        if granted and self._limits.is_limited(server):
            expiry = self._clock() + MAX_PERMIT_AGE_S
            self._expiries.setdefault(server, []).append(expiry)
        return granted

    async def take(self, server: ServerIncarnation) -> bool:
        """Use a permit for a request that is sent now; return whether there is one."""
        if not self._limits.is_limited(server):
            self._expiries.pop(server, None)
            return True
        now = self._clock()
        unused = [until for until in self._expiries.pop(server, ()) if until > now]
        if not unused:
            return await self._obtain(server)
        if len(unused) > 1:
            self._expiries[server] = unused[1:]
        return True

    async def _obtain(self, server: ServerIncarnation) -> bool:
        lock = self._locks.setdefault(server, asyncio.Lock())
        try:
            async with lock:
                if self._limits.wait_s(server) > 0:
                    return False
                granted = await self._ask(server)
        finally:
            if not lock.locked():
                self._locks.pop(server, None)
        self._count("limit.permit" if granted else "limit.refused")
        return granted

    async def _ask(self, server: ServerIncarnation) -> bool:
        asked_at = self._clock()
        for owner in self._owners_to_ask(server):
            permit = await self._ask_one(owner, server)
            if permit is None:
                continue
            if permit.limit is not None:
                self._limits.merge(server, permit.limit, owner.id)
            if not permit.is_owner:
                continue
            granted = permit.granted and self._clock() - asked_at <= MAX_PERMIT_AGE_S
            least_s = 0.0 if granted else MIN_RETRY_S
            self._limits.defer(server, max(least_s, permit.next_s))
            return granted
        self._limits.defer(server, NO_OWNER_RETRY_S)
        return False

    def _owners_to_ask(self, server: ServerIncarnation) -> list[Member]:
        owners = self._owners.reachable(server, MAX_OWNERS)
        now = self._clock()
        return [o for o in owners if self._silent_until.get(o.id, now) <= now]

    async def _ask_one(
        self, owner: Member, server: ServerIncarnation
    ) -> LimitPermit | None:
        limit = self._limits.limit(server)
        if limit is None:
            # The server was replaced meanwhile.
            return LimitPermit(True, True)
        request = LimitPermitRequest(server, limit)
        if self._owners.is_own(owner.id):
            return self._permits.issue(request)
        try:
            return await self._ask_owner(owner, request)
        except PeerUnreachable as error:
            self._silent_until[owner.id] = self._clock() + SILENT_S
            self._count("limit.owner-unreachable")
            log(
                Part.HOSTS,
                "A node that issues permits does not answer; asking the next one.",
                backend=server.id,
                owner=owner.id,
                error=str(error),
            )
            return None
