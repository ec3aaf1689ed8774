"""The entry of a backend server in the platform's list, and its incarnations."""

from enum import Enum

import msgspec

from eelgrass_coordination.ids import BackendId, DataCentre, SoftwareVersion

__all__ = ["BackendState", "HostEntry", "ServerIncarnation"]


class BackendState(Enum):
    """Whether a backend server gets new work."""

    LIVE = "live"
    LEAVING = "leaving"


class ServerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """One run of a backend server, from its start to its termination.

    A server may restart under the same id. It then has none of its earlier state,
    so results, load, suspicion and connections are tracked per incarnation.
    ``started`` grows with each start; it is 0 if the server does not report it.
    """

    id: BackendId
    started: int = 0


class HostEntry(msgspec.Struct, frozen=True):
    """A backend server in the platform's host list.

    ``started`` tells the incarnations of a server apart; the greater number is the
    newer one. ``limit`` is the number of concurrent calls that it accepts.
    ``warm_up_s`` is the remaining warm-up time that it reported, and ``region`` is the
    region of its data centre. ``version`` is the version of its software, which is
    empty if the list does not state it.
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
    version: SoftwareVersion = SoftwareVersion("")

    @property
    def incarnation(self) -> ServerIncarnation:
        """The incarnation of the server that the entry describes."""
        return ServerIncarnation(self.id, self.started)

    def succeeds(self, known: "HostEntry") -> bool:
        """Return whether this is another server or incarnation of a known id.

        A server that does not report its start is known to have restarted if its
        software has another version.
        """
        identity = (self.address, self.started, self.version)
        return identity != (known.address, known.started, known.version)

    def has_restarted_since(self, known: "HostEntry") -> bool:
        """Return whether the server of a known entry has ended, by this newer one.

        An entry that only gains its start time tells nothing: another writer may have
        omitted it before.
        """
        if self.started <= known.started:
            return False
        if known.started:
            return True
        return (self.address, self.version) != (known.address, known.version)
