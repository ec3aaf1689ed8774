"""Decides whether a request may be sent to a server that may be cold."""

from collections.abc import Awaitable, Callable

from eelgrass_coordination import Member, MemberState

from ...exceptions import PeerUnreachable
from ...log import Part, log
from ..backends import Backend, ServerIncarnation
from .permits import RETRY_AFTER_S, Permit, WarmUpPermits
from .rate_limit import WarmUpRates

__all__ = ["WarmUpAdmission"]

# A permit that takes longer than this is not used: its request could arrive in the same
# second as those of many later permits.
MAX_PERMIT_AGE_S = 0.3

AskOwner = Callable[[Member, ServerIncarnation, str], Awaitable[Permit]]

GRANTED = Permit(True)


class WarmUpAdmission:
    """Requests permits from their owners, which may be this node itself.

    ``ask_owner`` requests a permit for a server of a service from another node; it
    raises :class:`PeerUnreachable`. ``clock`` returns seconds.
    """

    def __init__(
        self,
        permits: WarmUpPermits,
        rates: WarmUpRates,
        ask_owner: AskOwner,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._permits = permits
        self._rates = rates
        self._ask_owner = ask_owner
        self._clock = clock
        self._count = count

    def is_rate_limited(self, server: Backend) -> bool:
        """Return whether a server is cold and the rate of its requests is limited."""
        if not server.is_cold(self._clock()):
            return False
        return self._rates.is_rate_limited(server.entry.service)

    async def admit(self, server: Backend) -> Permit:
        """Return a permit for one request to a chosen server."""
        if not self.is_rate_limited(server):
            return GRANTED
        permit = await self._ask(server.entry.incarnation, server.entry.service)
        self._count("warm-up.permit" if permit.granted else "warm-up.refused")
        return permit

    async def _ask(self, incarnation: ServerIncarnation, service: str) -> Permit:
        owner = self._permits.owner(incarnation)
        if self._permits.is_own(owner.id):
            return self._permits.issue(incarnation, service)
        if owner.state is MemberState.DEAD:
            return Permit(False, RETRY_AFTER_S)
        asked_at = self._clock()
        try:
            permit = await self._ask_owner(owner, incarnation, service)
        except PeerUnreachable as error:
            log(
                Part.HOSTS,
                "No permit for a cold server: its owner is unreachable.",
                backend=incarnation.id,
                owner=owner.id,
                error=str(error),
            )
            return Permit(False, RETRY_AFTER_S)
        if self._clock() - asked_at > MAX_PERMIT_AGE_S:
            return Permit(False)
        return permit
