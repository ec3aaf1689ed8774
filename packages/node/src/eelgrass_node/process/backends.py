"""The backend servers that this node knows, and the state it keeps for each."""

import asyncio
import math
from collections.abc import Callable

from eelgrass_coordination import MovingAverage, share_of_limit
from eelgrass_coordination.ids import BackendId, DataCentre, SoftwareVersion

from ..connection.backend import BackendConnections
from ..log import Part, log
from .cold_state import MAX_WARM_UP_S, ColdState
from .host_entry import BackendState, HostEntry, ServerIncarnation
from .leaving_servers import LeavingServers
from .request_limits import NamedLimits
from .server_rests import ServerRests
from .server_suspicion import ServerSuspicion

__all__ = [
    "MAX_WARM_UP_S",
    "Backend",
    "BackendState",
    "Backends",
    "HostEntry",
    "ServerIncarnation",
]

# The duration of calls changes within seconds when a server slows down or recovers.
CALL_HALF_LIFE_S = 5.0
# After a refusal as full, the node backs off for this fraction of a mean call; by then
# the server is likely to have a free slot.
FULL_BACKOFF_FRACTION = 0.25
MIN_FULL_BACKOFF_S = 0.005
MAX_FULL_BACKOFF_S = 0.1
# Each refusal as full reduces the concurrency window by a tenth.
WINDOW_DECREASE = 0.9
# A load that the server reported takes precedence over this node's own counts for this
# long. A typical request takes about half of it.
REPORTED_LOAD_MAX_AGE_S = 1.5
# The part of a server's free places that the nodes may take up between two reports.
OWN_PART_OF_FREE = 0.5


class Backend(ServerSuspicion):
    """One backend server: its entry, this node's calls to it, and its failures.

    ``window`` is the number of concurrent calls that this node may have there. It
    starts from the node's share of the server's limit, shrinks when the server refuses
    a call as full, and grows with each call that the server accepts. Refusals are the
    only sign of the other nodes' use.
    """

    def __init__(
        self,
        entry: HostEntry,
        connections: BackendConnections | None = None,
        limits: NamedLimits | None = None,
    ) -> None:
        super().__init__()
        self.entry = entry
        self._limits = NamedLimits() if limits is None else limits
        self.connections = connections or BackendConnections(entry.address)
        self.in_flight = 0
        # When the server was first listed. Servers in the first list that the node
        # reads were there before it.
        self.first_listed_at = float("-inf")
        self.window = 1.0
        # Whether only other nodes reach the server. A lost connection then tells
        # nothing about the server itself.
        self.is_relayed = False
        # Whether neither this node nor the relays that it asked reach the server.
        self.is_unreachable = False
        # Whether the server was found to have restarted with another software version.
        # Calls that were under way then may have run at either of the two.
        self.is_version_uncertain = False
        # The refusals per second, over all nodes, beyond which the server crashes; None
        # if it is not brittle. While it is closed it gets no requests.
        self.refusal_limit: int | None = None
        self.closed_until = float("-inf")
        self.closed_s = 0.0
        self._full_until = 0.0
        self.call_s = MovingAverage(0.0)
        self._called_at = 0.0
        self._cold = ColdState()
        self._reported_load: tuple[int, int] = (0, 0)
        self._reported_at = float("-inf")
        self._in_flight_at_report = 0

    def apply_entry(self, entry: HostEntry) -> None:
        """Apply a new version of the server's entry."""
        self.entry = entry
        self._cold.apply_entry(entry)

    def mark_cold(self, for_s: float) -> None:
        """Treat the server as cold for ``for_s`` seconds, whatever its entry says."""
        self._cold.assume(for_s)

    def is_cold(self, now: float) -> bool:
        """Return whether the server can take only few new requests per second."""
        return self._cold.is_cold(now)

    def permit_wait_s(self) -> float:
        """Return after how many seconds there may be a permit for a request."""
        if not self._limits:
            return 0.0
        return self._limits.wait_s(self.entry.incarnation)

    def permits_per_s(self) -> float:
        """Return how many permits are issued per second; infinite if none is needed."""
        rate = self._limits.permit_rate(self.entry.incarnation)
        return math.inf if rate is None else rate.per_s

    def is_in(self, regions: frozenset[str] | None) -> bool:
        """Return whether the server is in one of ``regions``; None stands for all."""
        return regions is None or self.entry.region in regions

    def record_call(self, took_s: float) -> None:
        """Record the duration of a call, in seconds."""
        self.call_s.record(took_s)
        self._called_at = asyncio.get_running_loop().time()

    def expected_call_s(self) -> float:
        """Return the expected duration of a call, in seconds.

        The estimate decays while no call is made, and is 0 for a new server.
        Otherwise a server that was slow once, or never tried, would not be chosen.
        """
        age_s = asyncio.get_running_loop().time() - self._called_at
        return self.call_s.mean * 0.5 ** (age_s / CALL_HALF_LIFE_S)

    def record_load(self, running: int, waiting: int) -> None:
        """Record the load that the server reported, which includes all nodes' calls."""
        self._reported_load = (running, waiting)
        self._reported_at = asyncio.get_running_loop().time()
        self._in_flight_at_report = self.in_flight

    def reported_load_at(self, now: float) -> tuple[int, int] | None:
        """Return the running and waiting requests that the server last reported.

        None if the report is too old.
        """
        if now - self._reported_at > REPORTED_LOAD_MAX_AGE_S:
            return None
        return self._reported_load

    def own_share_at(self, now: float) -> int:
        """Return how many calls this node may have by its part in the server's load.

        These are its calls at the last report, and a part of the free places: half of
        the fraction that its calls make up, since other nodes see the same places.
        """
        reported = self.reported_load_at(now)
        if reported is None:
            return 0
        load, own = sum(reported), self._in_flight_at_report
        free = max(0, self.entry.limit - load)
        fraction = min(1.0, own / max(1, load))
        return own + int(free * fraction * OWN_PART_OF_FREE)

    def load_at(self, now: float) -> tuple[int, int]:
        """Return the expected numbers of running and waiting requests at the server.

        They are the reported load and the calls that this node has started since. Once
        the report is too old, only this node's own calls count.
        """
        if now - self._reported_at > REPORTED_LOAD_MAX_AGE_S:
            return self.in_flight, 0
        running, waiting = self._reported_load
        since = max(0, self.in_flight - self._in_flight_at_report)
        return max(self.in_flight, running + since), waiting

    def has_room(self) -> bool:
        """Return whether this node's window allows one more call."""
        if self.in_flight >= int(self.window):
            return False
        return asyncio.get_running_loop().time() >= self._full_until

    def back_off(self) -> float:
        """Shrink the window after a refusal; return the backoff in seconds."""
        accepted = max(1, self.in_flight - 1)
        self.window = max(1.0, min(self.window * WINDOW_DECREASE, accepted))
        backoff_s = self.call_s.mean * FULL_BACKOFF_FRACTION
        backoff_s = min(MAX_FULL_BACKOFF_S, max(MIN_FULL_BACKOFF_S, backoff_s))
        self._full_until = asyncio.get_running_loop().time() + backoff_s
        return backoff_s

    def record_success(self, took_s: float = 0.0) -> None:
        """End a suspicion, and grow the window by one for each full window of calls.

        A call that began before the suspicion, ``took_s`` seconds ago, does not end it.
        """
        self.end_suspicion(took_s)
        self.window = min(float(self.entry.limit), self.window + 1 / self.window)


class Backends:
    """All backend servers by id and by service.

    ``connections_to`` returns the connections to a new server. A server that leaves
    must get no request ``drain_s`` after it said so, in seconds.
    """

    def __init__(
        self,
        on_change: Callable[[str], None] = lambda service: None,
        connections_to: Callable[[HostEntry], BackendConnections] | None = None,
        drain_s: float = 0.0,
    ) -> None:
        self.on_change = on_change
        self._connections_to = connections_to
        self.by_id: dict[BackendId, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[str, Backend] = {}
        self._leaving = LeavingServers(drain_s)
        self.rests = ServerRests()
        self.limits = NamedLimits()
        # Whether a data centre is evacuated.
        self.is_evacuated: Callable[[DataCentre], bool] = lambda data_centre: False
        self._live_nodes = 1

    def update(self, entries: list[HostEntry]) -> list[HostEntry]:
        """Apply a host list; return the entries that are newly seen as leaving."""
        listed = {entry.id: entry for entry in entries}
        newly_leaving = [
            entry
            for entry in entries
            if entry.state is BackendState.LEAVING
            and self.mark_leaving(entry.id, entry.started)
        ]
        for backend_id in self.by_id.keys() - listed.keys():
            self._remove(backend_id)
        is_first = not self.by_id
        for entry in entries:
            self._add_or_replace(entry, is_first)
        self._rebuild()
        return newly_leaving

    def mark_leaving(
        self, backend_id: BackendId, started: int, since: float | None = None
    ) -> bool:
        """Record that a server is leaving; return whether this was not known before.

        It said so at ``since`` or later, in seconds of the event loop.
        """
        if not self._leaving.add(backend_id, started, since):
            return False
        backend = self.by_id.get(backend_id)
        if backend is not None:
            self.on_change(backend.entry.service)
        return True

    def is_leaving(self, backend: Backend) -> bool:
        """Return whether a server is leaving and gets no new work."""
        return self._leaving.is_leaving(backend.entry)

    def usable(self, service: str) -> list[Backend]:
        """Return the servers of a service that may get new work now."""
        return [b for b in self.accepting(service) if not b.permit_wait_s()]

    def accepting(self, service: str) -> list[Backend]:
        """Return those that may get new work now, or once there is a permit for it."""
        return [b for b in self._accepting(service) if not self.is_resting(b)]

    def deferred(self, service: str) -> list[Backend]:
        """Return the servers of a service that may get new work after some time."""
        return [b for b in self._accepting(service) if self.wait_s(b) > 0]

    def wait_s(self, backend: Backend) -> float:
        """Return after how many seconds a server may get a request of this node."""
        rest_s = self.rests.left_s(backend.entry.incarnation)
        return max(rest_s, backend.permit_wait_s())

    def resting(self, service: str) -> list[Backend]:
        """Return the servers of a service that may get new work after a rest."""
        return [b for b in self._accepting(service) if self.is_resting(b)]

    def is_resting(self, backend: Backend) -> bool:
        """Return whether a server has asked this node to send it nothing for now."""
        return self.rests.left_s(backend.entry.incarnation) > 0

    def beginning_to_leave(self, service: str) -> list[Backend]:
        """Return the leaving servers of a service that requests may still reach."""
        now = asyncio.get_running_loop().time()
        return [
            backend
            for backend in self.by_service.get(service, ())
            if self._leaving.has_just_begun(backend.entry, now)
            and not self.is_evacuated(backend.entry.data_centre)
            and not self.is_resting(backend)
        ]

    def versions(self) -> set[SoftwareVersion]:
        """Return the software versions of all servers."""
        return {backend.entry.version for backend in self.by_id.values()}

    def in_data_centre(self, data_centre: DataCentre) -> list[Backend]:
        """Return all servers of a data centre."""
        servers = self.by_id.values()
        return [s for s in servers if s.entry.data_centre == data_centre]

    def accepts_work_at(self, address: str) -> bool:
        """Return whether the server at an address is listed and may get new work."""
        backend = self.at_address(address)
        return backend is not None and self._accepts_work(backend)

    def notify_all(self) -> None:
        """Call ``on_change`` for every service."""
        for service in self.by_service:
            self.on_change(service)

    def has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a server may have restarted since an incarnation.

        One whose start was unknown counts as ended once a start is known: the server
        may have restarted in between, and then has none of its earlier results.
        """
        backend = self.by_id.get(incarnation.id)
        return backend is not None and backend.entry.started > incarnation.started

    def at_address(self, address: str) -> Backend | None:
        """Return the server at an IP address and port, if one is listed."""
        return self._by_address.get(address)

    def owns_address(self, entry: HostEntry) -> bool:
        """Return whether no other server than that of an entry has its address."""
        listed = self.at_address(entry.address)
        return listed is None or listed.entry.incarnation == entry.incarnation

    def set_live_nodes(self, count: int) -> None:
        """Divide the servers' limits among ``count`` nodes."""
        if count == self._live_nodes:
            return
        self._live_nodes = count
        for backend in self.by_id.values():
            share = share_of_limit(backend.entry.limit, count)
            backend.window = max(1.0, min(backend.window, share))
        self.notify_all()

    async def close(self) -> None:
        """Close all connections."""
        for backend in self.by_id.values():
            await backend.connections.close()

    def _accepting(self, service: str) -> list[Backend]:
        servers = self.by_service.get(service, ())
        return [backend for backend in servers if self._accepts_work(backend)]

    def _accepts_work(self, backend: Backend) -> bool:
        if self.is_leaving(backend):
            return False
        return not self.is_evacuated(backend.entry.data_centre)

    def _add_or_replace(self, entry: HostEntry, is_first: bool) -> None:
        backend = self.by_id.get(entry.id)
        if backend is not None and self.has_ended(entry.incarnation):
            # The entry is outdated: the server has restarted since.
            return
        if backend is not None and entry.succeeds(backend.entry):
            ended = entry.has_restarted_since(backend.entry)
            backend.is_version_uncertain = backend.entry.version != entry.version
            self._remove(entry.id)
            if ended:
                # Calls that wait for the earlier incarnation would get no answer.
                aborted = backend.connections.abort()
                log(
                    Part.HOSTS,
                    "A server has restarted; calls to its earlier run are aborted.",
                    backend=entry.id,
                    started=entry.started,
                    before=backend.entry.started,
                    calls=aborted,
                )
            elif backend.entry.started == entry.started:
                self.rests.forget(entry.incarnation)
                self.limits.forget(entry.incarnation)
            backend = None
        is_new = backend is None
        if backend is None:
            connections = self._connections_to and self._connections_to(entry)
            backend = Backend(entry, connections, self.limits)
            backend.window = float(share_of_limit(entry.limit, self._live_nodes))
            if not is_first:
                backend.first_listed_at = asyncio.get_running_loop().time()
            self.by_id[entry.id] = backend
        if is_new or backend.entry is not entry:
            backend.apply_entry(entry)

    def _remove(self, backend_id: BackendId) -> None:
        # Calls in flight keep the object, and its connections, until they end.
        self.by_id.pop(backend_id).connections.close_when_idle()

    def _rebuild(self) -> None:
        by_service: dict[str, list[Backend]] = {}
        for backend in self.by_id.values():
            by_service.setdefault(backend.entry.service, []).append(backend)
        self.by_service = by_service
        self._by_address = {b.entry.address: b for b in self.by_id.values()}
        for service in by_service:
            self.on_change(service)
