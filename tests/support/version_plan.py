"""What may happen on a day of :mod:`.version_day`: changes, and harms of each kind."""

import msgspec

from .store_day import Outage

__all__ = [
    "Change",
    "Cut",
    "Deaf",
    "Freeze",
    "Harm",
    "Plan",
    "Restart",
    "Slow",
    "Stale",
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


class Cut(msgspec.Struct, frozen=True):
    """Nothing gets through between two nodes."""

    begin: float
    end: float
    nodes: frozenset[str]


class Deaf(msgspec.Struct, frozen=True):
    """All news of versions is lost; calls are not."""

    begin: float
    end: float


class Stale(msgspec.Struct, frozen=True):
    """The store shows the state of ``lag_s`` before ``begin``, again and again."""

    begin: float
    end: float
    lag_s: float


class Slow(msgspec.Struct, frozen=True):
    """Answers of the store come ``by_s`` late, as of when they were asked for."""

    begin: float
    end: float
    by_s: float


class Change(msgspec.Struct, frozen=True):
    """A new configuration, or a server that is listed or (``gone``) removed."""

    at: float
    server: str | None = None
    gone: bool = False


Harm = Outage | Freeze | Restart | Cut | Deaf | Stale | Slow


class Plan(msgspec.Struct, frozen=True):
    """What happens on a day; ``data_centres`` has a letter for each node."""

    data_centres: str
    changes: tuple[Change, ...] = ()
    harms: tuple[Harm, ...] = ()
    forgets: tuple[float, ...] = ()
    seed: int = 0

    @property
    def ends(self) -> float:
        """When the last thing has happened."""
        times = [change.at for change in self.changes]
        return max([*times, *(harm.end for harm in self.harms), *self.forgets, 0.0])
