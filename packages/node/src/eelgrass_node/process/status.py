"""The status of a node, as the operators' interface reports it."""

from collections.abc import Callable

import msgspec

from eelgrass_coordination import Member, Membership

from .backends import Backend, Backends
from .configuration import ConfigurationSync
from .counters import Counters
from .dispatch import Dispatch
from .stopping import Stopping

__all__ = ["BackendStatus", "NodeStatus", "PeerStatus", "QueueStatus", "StatusReport"]


class PeerStatus(msgspec.Struct, frozen=True):
    """A node and its membership state."""

    id: str
    data_centre: str
    state: str


class BackendStatus(msgspec.Struct, frozen=True):
    """This node's calls to a backend server, their window and their mean duration."""

    id: str
    service: str
    data_centre: str
    leaving: bool
    in_flight: int
    window: int
    call_ms: float


class QueueStatus(msgspec.Struct, frozen=True):
    """A service's queue; ``wait_ms`` is the expected wait of a new request."""

    service: str
    waiting: int
    slots: int
    wait_ms: float


class NodeStatus(msgspec.Struct, frozen=True):
    """Everything that ``eelgrassctl status`` shows."""

    own: PeerStatus
    revision: int
    revision_age_ms: int
    head_reads: int
    stopping: bool
    in_flight: int
    peers: list[PeerStatus]
    backends: list[BackendStatus]
    queues: list[QueueStatus]
    counters: dict[str, int]


class StatusReport:
    """Collects the status of one process."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationSync,
        backends: Backends,
        dispatch: Dispatch,
        counters: Counters,
        stopping: Stopping,
        head_reads: Callable[[], int],
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._backends = backends
        self._dispatch = dispatch
        self._counters = counters
        self._stopping = stopping
        self._head_reads = head_reads

    def collect(self) -> NodeStatus:
        """Return the current status."""
        follower = self._configuration.follower
        return NodeStatus(
            own=_peer(self._membership.own),
            revision=follower.revision,
            revision_age_ms=int(follower.age() * 1000),
            head_reads=self._head_reads(),
            stopping=self._stopping.stopping,
            in_flight=self._stopping.count,
            peers=[_peer(m) for m in self._membership.members.by_id.values()],
            backends=[self._backend(b) for b in self._backends.by_id.values()],
            queues=self._queues(),
            counters=dict(self._counters.totals),
        )

    def _backend(self, backend: Backend) -> BackendStatus:
        entry = backend.entry
        return BackendStatus(
            id=entry.id,
            service=entry.service,
            data_centre=entry.data_centre,
            leaving=self._backends.is_leaving(backend),
            in_flight=backend.in_flight,
            window=int(backend.window),
            call_ms=backend.call_s.mean * 1000,
        )

    def _queues(self) -> list[QueueStatus]:
        return [
            QueueStatus(
                service=service,
                waiting=queue.waiting,
                slots=queue.slots(),
                wait_ms=queue.expected_wait() * 1000,
            )
            for service, queue in self._dispatch.by_service.items()
        ]


def _peer(member: Member) -> PeerStatus:
    return PeerStatus(member.id, member.data_centre, member.state.value)
