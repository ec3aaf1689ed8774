"""The backend servers known to this process, and what is known of each."""

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec

from eelgrass_coordination import MovingAverage, share_of_limit
from eelgrass_coordination.ids import BackendId, DataCentre

from ..connection.backend import BackendConnections
from ..log import Part, log

__all__ = [
    "MAX_WARM_UP_S",
    "Backend",
    "BackendState",
    "Backends",
    "HostEntry",
    "ServerIncarnation",
]

# How long a call takes changes within seconds, as a server turns slow or well.
CALL_HALF_LIFE_S = 5.0
# A server that is full is left alone for a part of a call, by when a place is free.
FULL_PAUSE_FRACTION = 0.25
MIN_FULL_PAUSE_S = 0.005
MAX_FULL_PAUSE_S = 0.1
# A server that says that it is full gets a tenth fewer calls at a time.
WINDOW_DECREASE = 0.9
# A server that fails is passed over for about a restart at first, and for longer each
# time, but not for so long that callers miss it once it is well.
FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 16.0
# A server without failures for this long begins with the first suspicion again;
# one that fails part of its calls succeeds in between.
FORGIVEN_S = 10.0
# A server that says to be cold for longer than this is mistaken: it would be shut out.
MAX_WARM_UP_S = 60.0
# How long a load that a server told is worth more than our own counts: the
# usual request takes about half of this.
TOLD_LOAD_S = 1.5


class BackendState(Enum):
    """Whether a backend server gets new work."""

    LIVE = "live"
    LEAVING = "leaving"


class ServerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """One life of a backend server, from its start to its end.

    A server may start again under its id. It then holds nothing of before, so
    whatever is known of a server (results, load, suspicion, connections) is
    known of one life. ``started`` grows with each start; it is 0 where the
    server does not tell.
    """

    id: BackendId
    started: int = 0


class HostEntry(msgspec.Struct, frozen=True):
    """A backend server in the platform's host list.

    ``started`` tells apart the lives of a server, the newer by the greater
    number; ``limit`` is how many calls it takes at a time. ``warm_up_s`` is how much
    longer it said to be cold, and ``region`` is that of its data centre.
    """

    id: BackendId
    service: str
    address: str
    data_centre: DataCentre
    limit: int = 8
    state: BackendState = BackendState.LIVE
    started: int = 0
    checks_fencing: bool = True
    region: str = ""
    warm_up_s: float = 0.0

    @property
    def incarnation(self) -> ServerIncarnation:
        """The life of the server that the entry tells of."""
        return ServerIncarnation(self.id, self.started)


class Backend:
    """One backend server: its entry, our calls to it, and when it last failed.

    ``window`` is how many calls we may have there at a time. It starts from our
    share of the server's limit, shrinks when the server says that it is full and
    grows with each call that it takes: the other nodes' use shows only so.
    """

    def __init__(self, entry: HostEntry) -> None:
        self.entry = entry
        self.connections = BackendConnections(entry.address)
        self.in_flight = 0
        # When it came to the list; those of the first list were there before.
        self.first_listed_at = float("-inf")
        self.window = 1.0
        self.suspect_until = 0.0
        self._suspected_at = float("-inf")
        self._full_until = 0.0
        self._failures = 0
        self.call_s = MovingAverage(0.0)
        self._called_at = 0.0
        self._told_cold_until = self._taken_for_cold_until = float("-inf")
        self._told_load: tuple[int, int] = (0, 0)
        self._told_at = float("-inf")
        self._in_flight_then = 0

    def apply_entry(self, entry: HostEntry) -> None:
        """Take in what the server says of itself now."""
        self.entry = entry
        if entry.warm_up_s > MAX_WARM_UP_S:
            log(
                Part.HOSTS,
                "A server is taken for warm sooner than it says.",
                backend=entry.id,
                warm_up_s=entry.warm_up_s,
            )
        self._told_cold_until = float("-inf")
        if entry.warm_up_s > 0:
            now = asyncio.get_running_loop().time()
            self._told_cold_until = now + min(entry.warm_up_s, MAX_WARM_UP_S)

    def mark_cold(self, for_s: float) -> None:
        """Take the server for cold for so long, whatever it says of itself."""
        self._taken_for_cold_until = asyncio.get_running_loop().time() + for_s

    def is_cold(self, now: float) -> bool:
        """Return whether it bears only few new requests a second."""
        return now < max(self._told_cold_until, self._taken_for_cold_until)

    def is_in(self, regions: frozenset[str] | None) -> bool:
        """Return whether it is in one of some regions; None stands for all."""
        return regions is None or self.entry.region in regions

    def suspect(self) -> None:
        """Prefer other servers for a while, twice as long after each failure.

        Calls that fail together, as those of a server that ends, are one failure.
        """
        now = asyncio.get_running_loop().time()
        if now < self.suspect_until:
            return
        if now - self._suspected_at > FORGIVEN_S:
            self._failures = 0
        suspicion_s = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2**self._failures)
        self._failures += 1
        self._suspected_at = now
        self.suspect_until = now + suspicion_s

    def record_call(self, took_s: float) -> None:
        """Take in how long a call took, in seconds."""
        self.call_s.record(took_s)
        self._called_at = asyncio.get_running_loop().time()

    def expected_call_s(self) -> float:
        """Return how long a call is expected to take, in seconds.

        The expectation fades while no call is made, and is nothing for a new
        server: one that was slow once, or never tried, would not be tried again.
        """
        age_s = asyncio.get_running_loop().time() - self._called_at
        return self.call_s.mean * 0.5 ** (age_s / CALL_HALF_LIFE_S)

    def record_load(self, running: int, waiting: int) -> None:
        """Take in what the server says of its load, over all nodes."""
        self._told_load = (running, waiting)
        self._told_at = asyncio.get_running_loop().time()
        self._in_flight_then = self.in_flight

    def load_at(self, now: float) -> tuple[int, int]:
        """Return the running and waiting requests to be expected there.

        What the server told fades to what we ourselves have there; calls that
        began since are added.
        """
        if now - self._told_at > TOLD_LOAD_S:
            return self.in_flight, 0
        running, waiting = self._told_load
        since = max(0, self.in_flight - self._in_flight_then)
        return max(self.in_flight, running + since), waiting

    def has_room(self) -> bool:
        """Return whether our window has room for one more call."""
        if self.in_flight >= int(self.window):
            return False
        return asyncio.get_running_loop().time() >= self._full_until

    def back_off(self) -> float:
        """Shrink the window after a refusal; return the pause in seconds."""
        taken = max(1, self.in_flight - 1)
        self.window = max(1.0, min(self.window * WINDOW_DECREASE, taken))
        pause_s = self.call_s.mean * FULL_PAUSE_FRACTION
        pause_s = min(MAX_FULL_PAUSE_S, max(MIN_FULL_PAUSE_S, pause_s))
        self._full_until = asyncio.get_running_loop().time() + pause_s
        return pause_s

    def record_success(self, took_s: float = 0.0) -> None:
        """End a suspicion, and let the window grow by one for each full window.

        A call that began before the suspicion, ``took_s`` seconds ago, says
        nothing against it.
        """
        now = asyncio.get_running_loop().time()
        if now - took_s >= self._suspected_at:
            self.suspect_until = 0.0
        self.window = min(float(self.entry.limit), self.window + 1 / self.window)


class Backends:
    """All backend servers by id and by service.

    Knowledge that one is leaving is kept for as long as that server (the pair
    of id and start number) may still be listed as live by a lagging list.
    """

    def __init__(self, on_change: Callable[[str], None] = lambda service: None):
        self.on_change = on_change
        self.by_id: dict[BackendId, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[str, Backend] = {}
        self.leaving: dict[BackendId, int] = {}
        # Whether a data centre is being emptied.
        self.is_evacuated: Callable[[DataCentre], bool] = lambda data_centre: False
        self._live_nodes = 1

    def update(self, entries: list[HostEntry]) -> list[HostEntry]:
        """Take in a host list; returns the entries newly seen as leaving."""
        listed = {entry.id: entry for entry in entries}
        news = [
            entry
            for entry in entries
            if entry.state is BackendState.LEAVING and self._note_leaving(entry)
        ]
        for backend_id in self.by_id.keys() - listed.keys():
            self._remove(backend_id)
        is_first = not self.by_id
        for entry in entries:
            self._put(entry, is_first)
        for backend_id in self.leaving.keys() - listed.keys():
            del self.leaving[backend_id]
        self._rebuild()
        return news

    def mark_leaving(self, backend_id: BackendId, started: int) -> bool:
        """Note that a server is leaving; returns whether that was news."""
        known = self.leaving.get(backend_id)
        if known is not None and known >= started:
            return False
        self.leaving[backend_id] = started
        backend = self.by_id.get(backend_id)
        if backend is not None:
            self.on_change(backend.entry.service)
        return True

    def is_leaving(self, backend: Backend) -> bool:
        """Return whether a server gets no new work."""
        entry = backend.entry
        if entry.state is BackendState.LEAVING:
            return True
        return self.leaving.get(entry.id, -1) >= entry.started

    def usable(self, service: str) -> list[Backend]:
        """Return the servers of a service that may get new work."""
        servers = self.by_service.get(service, ())
        return [backend for backend in servers if self._may_work(backend)]

    def in_data_centre(self, data_centre: DataCentre) -> list[Backend]:
        """Return all servers of a data centre."""
        servers = self.by_id.values()
        return [s for s in servers if s.entry.data_centre == data_centre]

    def notify_all(self) -> None:
        """Have everything look again at where servers may get work."""
        for service in self.by_service:
            self.on_change(service)

    def has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a server is known to have started again since a life."""
        backend = self.by_id.get(incarnation.id)
        return backend is not None and backend.entry.started > incarnation.started

    def at_address(self, address: str) -> Backend | None:
        """Return the server at an IP address and port, if one is listed."""
        return self._by_address.get(address)

    def set_live_nodes(self, count: int) -> None:
        """Share the servers' limits among that many nodes."""
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

    def _may_work(self, backend: Backend) -> bool:
        if self.is_leaving(backend):
            return False
        return not self.is_evacuated(backend.entry.data_centre)

    def _note_leaving(self, entry: HostEntry) -> bool:
        return self.mark_leaving(entry.id, entry.started)

    def _put(self, entry: HostEntry, is_first: bool) -> None:
        backend = self.by_id.get(entry.id)
        if backend is not None and self.has_ended(entry.incarnation):
            # Old news: the server has started again since.
            return
        if backend is not None and _is_successor(entry, backend.entry):
            ended = backend.entry.started < entry.started
            self._remove(entry.id)
            if ended:
                # What still waits for the earlier life would wait in vain.
                backend.connections.abort()
            backend = None
        is_new = backend is None
        if backend is None:
            backend = Backend(entry)
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


def _is_successor(entry: HostEntry, known: HostEntry) -> bool:
    """Return whether an entry stands for another server under a known id."""
    return (entry.address, entry.started) != (known.address, known.started)
