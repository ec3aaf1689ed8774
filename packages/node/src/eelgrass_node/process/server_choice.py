"""Chooses the server of a service for a request, from what this node knows."""

import asyncio
from collections.abc import Callable

import msgspec

from eelgrass_coordination.ids import DataCentre

from ..version.deployment import Deployment, ServiceName
from .backends import Backend, Backends, ServerLife
from .placement import place_plain, place_prompt, warm_engine
from .reach import DataCentreReach

__all__ = ["ServerChoice", "ServerWish"]


class ServerWish(msgspec.Struct, frozen=True):
    """What a request asks of the server of ``service`` that it goes to.

    ``subject`` names the last part of a prompt that others share, and
    ``shared_tokens`` counts the tokens up to it. Those ``tried`` are rather not to be
    chosen again. ``inputs_at`` is the data centre that holds large results which the
    server has to fetch, and ``regions`` are those to which the request is bound, None
    for any.
    """

    service: ServiceName
    subject: str | None = None
    shared_tokens: int = 0
    tried: frozenset[ServerLife] = frozenset()
    inputs_at: str = ""
    regions: frozenset[str] | None = None


class ServerChoice:
    """The choice of one node, which is in ``data_centre``."""

    def __init__(
        self,
        backends: Backends,
        data_centre: DataCentre,
        reach: DataCentreReach,
        deployment: Callable[[], Deployment | None],
    ) -> None:
        self._backends = backends
        self._data_centre = data_centre
        self._reach = reach
        self._deployment = deployment

    def choose(self, wish: ServerWish) -> Backend | None:
        """Return a server, or None where the service has none in use."""
        now = asyncio.get_running_loop().time()
        usable = self._backends.usable(wish.service)
        allowed = [server for server in usable if server.is_in(wish.regions)]
        servers = self._reach.sound(allowed, wish.tried)
        if not servers:
            return None
        deployment = self._deployment()
        known = deployment and deployment.service_by_name.get(wish.service)
        if known and known.model is not None:
            return place_prompt(
                servers,
                wish.subject,
                wish.shared_tokens,
                self._data_centre,
                wish.inputs_at,
                now,
            )
        return place_plain(servers, self._data_centre, now)

    def warm_engine(
        self, chosen: Backend, subject: str | None, shared_tokens: int
    ) -> Backend | None:
        """Return the engine from which the chosen one should copy shared parts.

        One that leaves serves a while longer, and is as good as any for that.
        """
        service = ServiceName(chosen.entry.service)
        deployment = self._deployment()
        known = deployment and deployment.service_by_name.get(service)
        if not known or known.model is None:
            return None
        now = asyncio.get_running_loop().time()
        found = warm_engine(
            self._backends.by_service.get(service, ()),
            chosen,
            subject,
            shared_tokens,
            known.model.copy_s(shared_tokens),
            now,
        )
        if found is None or found.suspect_until > now:
            return None
        if self._reach.in_doubt(found.entry.data_centre):
            return None
        return found
