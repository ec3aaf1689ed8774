"""The changes and faults in a plan for :mod:`.version_simulation`."""

import msgspec

from .store_simulation import Outage

__all__ = [
    "Change",
    "Partition",
    "GossipLoss",
    "Freeze",
    "Fault",
    "Plan",
    "Restart",
    "SlowStore",
    "StaleReads",
]


class Freeze(msgspec.Struct, frozen=True):
    """A node is suspended, and continues afterwards where it stopped."""

    begin: float
    end: float
    node: str


class Restart(msgspec.Struct, frozen=True):
    """The process of a node is killed, and a new one is started.

    Calls to it in between are refused, or get no answer if it is ``silent``.
    """

    begin: float
    end: float
    node: str
    silent: bool = False


class Partition(msgspec.Struct, frozen=True):
    """No message is delivered between two nodes."""

    begin: float
    end: float
    nodes: frozenset[str]


class GossipLoss(msgspec.Struct, frozen=True):
    """All gossip of versions is lost; calls still work."""

    begin: float
    end: float


class StaleReads(msgspec.Struct, frozen=True):
    """The store repeatedly returns its state of ``lag_s`` before ``begin``."""

    begin: float
    end: float
    lag_s: float


class SlowStore(msgspec.Struct, frozen=True):
    """The store delays its answers, once made, by ``by_s``."""

    begin: float
    end: float
    by_s: float


class Change(msgspec.Struct, frozen=True):
    """A new configuration, or a server that is listed, or removed if ``gone``."""

    at: float
    server: str | None = None
    gone: bool = False


Fault = Outage | Freeze | Restart | Partition | GossipLoss | StaleReads | SlowStore


class Plan(msgspec.Struct, frozen=True):
    """The events of a simulation; ``data_centres`` has one letter for each node."""

    data_centres: str
    changes: tuple[Change, ...] = ()
    faults: tuple[Fault, ...] = ()
    history_losses: tuple[float, ...] = ()
    seed: int = 0

    @property
    def ends(self) -> float:
        """The time of the last event."""
        times = [change.at for change in self.changes]
        return max(
            [*times, *(fault.end for fault in self.faults), *self.history_losses, 0.0]
        )
