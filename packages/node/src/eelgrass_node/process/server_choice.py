"""Chooses the server of a service for a request, from this node's local state."""

import asyncio
from collections.abc import Callable

import msgspec

from eelgrass_coordination.ids import DataCentre, SoftwareVersion

from ..exceptions import RequestRefused, ServersResting
from ..version.deployment import Deployment, ServiceName
from .backends import Backend, Backends, ServerIncarnation
from .brittle_servers import BrittleServers
from .placement import copy_source, place_plain, place_prompt
from .reachability import DataCentreReachability

__all__ = ["ServerChoice", "ServerCriteria"]

# Values of Retry-After, in seconds: a restarted server is listed after about its
# heartbeat of 1.2 s, and a server that cannot be reached is probed every half second.
NO_SERVER_RETRY_S = 0.5
MIN_RETRY_S = 0.1


class ServerCriteria(msgspec.Struct, frozen=True):
    """The requirements of a request for the server of ``service`` that will run it.

    ``prefix_key`` identifies the longest prefix of a prompt that others share, and
    ``shared_tokens`` is its length. Servers in ``tried`` are avoided if possible.
    ``inputs_at`` is the data centre that holds large results that the server has to
    fetch, and ``regions`` are those to which the request is bound, None for any.
    ``version`` is the software version that wrote the events of a stream so far, None
    if any may serve.
    """

    service: ServiceName
    prefix_key: str | None = None
    shared_tokens: int = 0
    tried: frozenset[ServerIncarnation] = frozenset()
    inputs_at: str = ""
    regions: frozenset[str] | None = None
    version: SoftwareVersion | None = None

    def allows(self, server: Backend) -> bool:
        """Return whether a server is in the regions and of the version."""
        if not server.is_in(self.regions):
            return False
        return self.version in (None, server.entry.version)


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
        """Return a server, or None if there is none that the request may go to now."""
        now = asyncio.get_running_loop().time()
        allowed = [
            s for s in self._allowed(criteria) if self._brittle_servers.accepts(s)
        ]
        if all(server.is_unreachable for server in allowed):
            return None
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

    def unavailable(self, criteria: ServerCriteria) -> RequestRefused | None:
        """Return a refusal if the service has no server that can be reached."""
        allowed = self._allowed(criteria)
        if all(server.is_unreachable for server in allowed):
            resting = self._resting(criteria)
            if resting:
                left_s = self._backends.rests.least_left_s(s.entry for s in resting)
                return ServersResting(left_s)
        if not allowed:
            reason = "the service has no usable server"
            if criteria.version is not None:
                reason += f" of software version {criteria.version}"
            return RequestRefused(reason, NO_SERVER_RETRY_S)
        if all(server.is_unreachable for server in allowed):
            reason = "no server of the service can be reached"
            return RequestRefused(reason, NO_SERVER_RETRY_S)
        return None

    def refusal(self, criteria: ServerCriteria) -> RequestRefused:
        """Return the refusal of a request for which there is no server to choose."""
        return self.unavailable(criteria) or RequestRefused(
            "the servers of the service are brittle and full",
            max(MIN_RETRY_S, self._brittle_servers.opens_in_s(self._allowed(criteria))),
        )

    def is_allowed(self, criteria: ServerCriteria, server: Backend) -> bool:
        """Return whether a server that was chosen before still may be used."""
        return server in self._allowed(criteria)

    def _allowed(self, criteria: ServerCriteria) -> list[Backend]:
        usable = self._backends.usable(criteria.service)
        allowed = [server for server in usable if criteria.allows(server)]
        if allowed or criteria.version is None:
            return allowed
        # The stream would be lost, as no server of another version can continue it.
        leaving = self._backends.beginning_to_leave(criteria.service)
        return [server for server in leaving if criteria.allows(server)]

    def _resting(self, criteria: ServerCriteria) -> list[Backend]:
        """Return the servers that could get the request after their rest."""
        resting = self._backends.resting(criteria.service)
        return [s for s in resting if criteria.allows(s) and not s.is_unreachable]

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
