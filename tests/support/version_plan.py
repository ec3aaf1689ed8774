"""What may happen on a day of :mod:`.version_day`: changes, and harms of each kind."""

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
    """A node stands still, and goes on afterwards as if nothing had been."""

    begin: float
    end: float
    node: str


class Restart(msgspec.Struct, frozen=True):
    """The process of a node is killed, and another one started.

    Calls to it are refused meanwhile, or get no answer where it is ``silent``.
    """

    begin: float
    end: float
    node: str
    silent: bool = False


class Partition(msgspec.Struct, frozen=True):
    """Nothing gets through between two nodes."""

    begin: float
    end: float
    nodes: frozenset[str]


class GossipLoss(msgspec.Struct, frozen=True):
    """All news of versions is lost; calls are not."""

    begin: float
    end: float


class StaleReads(msgspec.Struct, frozen=True):
    """The store shows the state of ``lag_s`` before ``begin``, again and again."""

    begin: float
    end: float
    lag_s: float


class SlowStore(msgspec.Struct, frozen=True):
    """Answers of the store come ``by_s`` late, as of when they were asked for."""

    begin: float
    end: float
    by_s: float


class Change(msgspec.Struct, frozen=True):
    """A new configuration, or a server that is listed or (``gone``) removed."""

    at: float
    server: str | None = None
    gone: bool = False


Fault = Outage | Freeze | Restart | Partition | GossipLoss | StaleReads | SlowStore


class Plan(msgspec.Struct, frozen=True):
    """What happens on a day; ``data_centres`` has a letter for each node."""

    data_centres: str
    changes: tuple[Change, ...] = ()
    faults: tuple[Fault, ...] = ()
    history_losses: tuple[float, ...] = ()
    seed: int = 0

    @property
    def ends(self) -> float:
        """When the last thing has happened."""
        times = [change.at for change in self.changes]
        return max(
            [*times, *(fault.end for fault in self.faults), *self.history_losses, 0.0]
        )
