"""Chooses the server of a service for a request, from this node's local state."""

import asyncio
from collections.abc import Callable

import msgspec

from eelgrass_coordination.ids import DataCentre, SoftwareVersion

from ..exceptions import RequestRefused, ServersLimited, ServersResting
from ..version.deployment import Deployment, ServiceName
from .backends import Backend, Backends, ServerIncarnation
from .brittle_servers import BrittleServers
from .overload import Overload
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
        # Overloads of services whose servers have reached their request limits.
        self._overload_by_service: dict[ServiceName, Overload] = {}

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
            deferred = self._deferred(criteria)
            if deferred:
                return self._deferred_refusal(criteria, deferred)
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
        if server.permit_wait_s():
            accepting = self._backends.accepting(criteria.service)
            return server in accepting and criteria.allows(server)
        return server in self._allowed(criteria)

    def _allowed(self, criteria: ServerCriteria) -> list[Backend]:
        usable = self._backends.usable(criteria.service)
        allowed = [server for server in usable if criteria.allows(server)]
        if allowed or criteria.version is None:
            return allowed
        # The stream would be lost, as no server of another version can continue it.
        leaving = self._backends.beginning_to_leave(criteria.service)
        return [server for server in leaving if criteria.allows(server)]

    def _deferred(self, criteria: ServerCriteria) -> list[Backend]:
        """Return the servers that could get the request after some time."""
        deferred = self._backends.deferred(criteria.service)
        return [s for s in deferred if criteria.allows(s) and not s.is_unreachable]

    def _deferred_refusal(
        self, criteria: ServerCriteria, deferred: list[Backend]
    ) -> RequestRefused:
        wait_s = min(self._backends.wait_s(server) for server in deferred)
        if all(self._backends.is_resting(server) for server in deferred):
            return ServersResting(wait_s)
        overload = self._overload_by_service.setdefault(criteria.service, Overload())
        now = asyncio.get_running_loop().time()
        overload.record_refusal(now)
        after_s = max(MIN_RETRY_S, wait_s, overload.duration_s(now))
        return ServersLimited(wait_s, after_s)

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
        if self._backends.limits.is_limited(source.entry.incarnation):
            # It may count a copy as a request.
            return None
        return source
