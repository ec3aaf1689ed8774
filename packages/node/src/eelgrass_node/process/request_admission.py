"""Decides whether a request may be sent to a chosen server."""

from .backends import Backend
from .request_limits import LimitAdmission
from .warm_up import Permit, WarmUpAdmission

__all__ = ["RequestAdmission"]


class RequestAdmission:
    """Obtains the permits that cold servers, and those that name a limit, require."""

    def __init__(self, warm_up: WarmUpAdmission, limits: LimitAdmission) -> None:
        self._warm_up = warm_up
        self._limits = limits

    async def admit(self, server: Backend) -> Permit:
        """Return a permit for one request that is sent at once."""
        permit = await self._warm_up.admit(server)
        if not permit.granted:
            return permit
        if await self._limits.reserve(server.entry.incarnation):
            return permit
        return Permit(False, server.permit_wait_s())
