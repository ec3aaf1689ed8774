"""Chooses the server of a service for a request, from this node's local state."""

import asyncio
from collections.abc import Callable

import msgspec

from eelgrass_coordination.ids import DataCentre

from ..version.deployment import Deployment, ServiceName
from .backends import Backend, Backends, ServerIncarnation
from .brittle_servers import BrittleServers
from .placement import copy_source, place_plain, place_prompt
from .reachability import DataCentreReachability

__all__ = ["ServerChoice", "ServerCriteria"]


class ServerCriteria(msgspec.Struct, frozen=True):
    """The requirements of a request for the server of ``service`` that will run it.

    ``prefix_key`` identifies the longest prefix of a prompt that others share, and
    ``shared_tokens`` is its length. Servers in ``tried`` are avoided if possible.
    ``inputs_at`` is the data centre that holds large results that the server has to
    fetch, and ``regions`` are those to which the request is bound, None for any.
    """

    service: ServiceName
    prefix_key: str | None = None
    shared_tokens: int = 0
    tried: frozenset[ServerIncarnation] = frozenset()
    inputs_at: str = ""
    regions: frozenset[str] | None = None


class ServerChoice:
    """Chooses servers for a node in ``data_centre``.

    Brittle servers that ``brittle_servers`` says are full are not chosen.
    """

    def __init__(
        self,
        backends: Backends,
        data_centre: DataCentre,
        reachability: DataCentreReachability,
        deployment: Callable[[], Deployment | None],
        brittle_servers: BrittleServers,
    ) -> None:
        self._brittle_servers = brittle_servers
        self._backends = backends
        self._data_centre = data_centre
        self._reachability = reachability
        self._deployment = deployment

    def choose(self, criteria: ServerCriteria) -> Backend | None:
        """Return a server, or None if the service has no usable server."""
        now = asyncio.get_running_loop().time()
        allowed = [
            s for s in self._allowed(criteria) if self._brittle_servers.accepts(s)
        ]
        servers = self._reachability.healthiest(allowed, criteria.tried)
        if not servers:
            return None
        deployment = self._deployment()
        service_config = deployment and deployment.service_by_name.get(criteria.service)
        if service_config and service_config.model is not None:
            return place_prompt(
                servers,
                criteria.prefix_key,
                criteria.shared_tokens,
                self._data_centre,
                criteria.inputs_at,
                now,
            )
        return place_plain(servers, self._data_centre, now)

    def closed_for_s(self, criteria: ServerCriteria) -> float | None:
        """Return the seconds until a brittle server may accept a request again.

        None if the service has no server at all that a request may go to.
        """
        allowed = self._allowed(criteria)
        return self._brittle_servers.opens_in_s(allowed) if allowed else None

    def _allowed(self, criteria: ServerCriteria) -> list[Backend]:
        usable = self._backends.usable(criteria.service)
        return [server for server in usable if server.is_in(criteria.regions)]

    def copy_source(
        self, chosen: Backend, prefix_key: str | None, shared_tokens: int
    ) -> Backend | None:
        """Return the engine from which the chosen one should copy a shared prefix.

        A leaving engine may be returned, as it keeps serving for a while.
        """
        service = ServiceName(chosen.entry.service)
        deployment = self._deployment()
        service_config = deployment and deployment.service_by_name.get(service)
        if not service_config or service_config.model is None:
            return None
        now = asyncio.get_running_loop().time()
        source = copy_source(
            self._backends.by_service.get(service, ()),
            chosen,
            prefix_key,
            shared_tokens,
            service_config.model.copy_s(shared_tokens),
            now,
        )
        if source is None or source.suspect_until > now:
            return None
        if self._reachability.is_suspected(source.entry.data_centre):
            return None
        return source
