"""The request limits that servers have named in their answers.

A server in need names how many requests a second it takes from all nodes together, for
as long as its answers say so. Nodes tell each other what they hear, because most of
them get an answer of that server only now and then.
"""

import asyncio
from collections.abc import Callable

import msgspec

from ...boot_clock import unix_ms as boot_unix_ms
from ...log import Part, log
from ..host_entry import ServerIncarnation
from .rates import PermitRate, permit_rate

__all__ = ["NamedLimit", "NamedLimits"]

# Incarnations that are remembered; beyond that the one is dropped whose limit has not
# changed for the longest time.
MAX_SERVERS = 4096
# A limit that differs by less than this fraction is not worth telling all nodes.
LEAST_CHANGE = 0.1
# A limit is raised once within this time at most, so that one that varies with every
# answer does not keep all nodes busy. It is lowered at once.
RAISE_INTERVAL_S = 1.0
# After the end of a limit the rate begins at this many requests per second, and doubles
# in each interval. The next answers may name a limit again, and there are few of them
# until then.
RAMP_FROM_PER_S = 2.0
RAMP_DOUBLING_S = 0.2
RAMP_S = 1.2


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A limit in requests per second, None if the server names none any more.

    The one with the greatest ``version`` is the newest.
    """

    version: int
    per_s: float | None


class _Known(msgspec.Struct):
    """A limit, and when this node learnt of it, in seconds of the event loop.

    Answers to requests that were sent before ``confirmed_at`` may be older than it.
    There is no permit for this node before ``next_permit_at``.
    """

    limit: NamedLimit
    changed_at: float
    confirmed_at: float
    next_permit_at: float = float("-inf")


class NamedLimits:
    """The limits that one node knows, by incarnation of the server.

    ``unix_ms`` returns the Unix time, from which new versions are taken.
    """

    def __init__(self, unix_ms: Callable[[], int] = boot_unix_ms) -> None:
        self._unix_ms = unix_ms
        self._known_by_incarnation: dict[ServerIncarnation, _Known] = {}

    def __bool__(self) -> bool:
        """Return whether any server has named a limit."""
        return bool(self._known_by_incarnation)

    def limit(self, server: ServerIncarnation) -> NamedLimit | None:
        """Return what a server has last named; None if it never named a limit."""
        known = self._known_by_incarnation.get(server)
        return None if known is None else known.limit

    def permit_rate(self, server: ServerIncarnation) -> PermitRate | None:
        """Return how many permits are issued for a server; None if it needs none."""
        known = self._known_by_incarnation.get(server)
        if known is None:
            return None
        if known.limit.per_s is not None:
            return permit_rate(known.limit.per_s)
        age_s = _now() - known.changed_at
        if age_s >= RAMP_S:
            return None
        return PermitRate(RAMP_FROM_PER_S * 2 ** (age_s / RAMP_DOUBLING_S))

    def is_limited(self, server: ServerIncarnation) -> bool:
        """Return whether requests to a server need permits."""
        return self.permit_rate(server) is not None

    def defer(self, server: ServerIncarnation, for_s: float) -> None:
        """Record that there is no permit for this node for some seconds."""
        known = self._known_by_incarnation.get(server)
        if known is not None:
            known.next_permit_at = _now() + for_s

    def wait_s(self, server: ServerIncarnation) -> float:
        """Return after how many seconds a server may get a request of this node."""
        known = self._known_by_incarnation.get(server)
        if known is None or not self.is_limited(server):
            return 0.0
        return max(0.0, known.next_permit_at - _now())

    def count(self) -> int:
        """Return how many servers name a limit."""
        known = self._known_by_incarnation.values()
        return sum(k.limit.per_s is not None for k in known)

    def record(
        self, server: ServerIncarnation, per_s: float | None, sent_at: float
    ) -> NamedLimit | None:
        """Record what an answer names; return the limit if other nodes lack it.

        The request was sent at ``sent_at``, a time of the event loop.
        """
        known = self._known_by_incarnation.get(server)
        now = _now()
        if known is not None and per_s is not None:
            known.confirmed_at = now
        if not _is_news(known, per_s, sent_at, now):
            return None
        before = 0 if known is None else known.limit.version
        limit = NamedLimit(max(before + 1, self._unix_ms()), per_s)
        self._set(server, limit, "answer")
        return limit

    def merge(self, server: ServerIncarnation, limit: NamedLimit, source: str) -> None:
        """Apply a limit that another node knows, unless it is an older one."""
        known = self.limit(server)
        if known is None or limit.version > known.version:
            self._set(server, limit, source)

    def forget(self, server: ServerIncarnation) -> None:
        """Forget a limit, because another server has the same id and start number."""
        self._known_by_incarnation.pop(server, None)

    def _set(self, server: ServerIncarnation, limit: NamedLimit, source: str) -> None:
        now = _now()
        before = self._known_by_incarnation.pop(server, None)
        self._known_by_incarnation[server] = _Known(limit, now, now)
        if len(self._known_by_incarnation) > MAX_SERVERS:
            del self._known_by_incarnation[next(iter(self._known_by_incarnation))]
        log(
            Part.HOSTS,
            "A server names a request limit."
            if limit.per_s is not None
            else "A server names no request limit any more.",
            backend=server.id,
            started=server.started,
            per_s=limit.per_s,
            before=None if before is None else before.limit.per_s,
            version=limit.version,
            source=source,
        )


def _is_news(
    known: _Known | None, per_s: float | None, sent_at: float, now: float
) -> bool:
    """Return whether an answer changes what is known."""
    before = None if known is None else known.limit.per_s
    if known is None or before is None:
        return per_s is not None
    if per_s is None:
        return sent_at >= known.confirmed_at
    if abs(per_s - before) <= LEAST_CHANGE * before:
        return False
    return per_s < before or now - known.changed_at >= RAISE_INTERVAL_S


def _now() -> float:
    return asyncio.get_running_loop().time()
