"""The servers that are known to be leaving, and since when.

A leaving server may get requests for a bounded time after its announcement. That time
is used only by streams that no other server can continue, because a node learns of the
announcement later than it was made.
"""

import msgspec

from eelgrass_coordination.ids import BackendId

from .host_entry import BackendState, HostEntry

__all__ = ["LeavingServers"]

# A request reaches its server within this time of the choice: connecting takes 0.3 s at
# most, and the rest is for a busy node.
SEND_RESERVE_S = 0.5
# Servers that are remembered, some 100 bytes each; beyond that the oldest is dropped.
MAX_SERVERS = 4096


class _Announcement(msgspec.Struct, frozen=True):
    """Says that a server's incarnation is leaving, ``since`` a time at the earliest."""

    started: int
    since: float


class LeavingServers:
    """The leaving servers by id; a start number identifies the incarnation.

    They are remembered also when they are no longer listed: a list may name one as live
    again after an outage of the store. A server must get no request ``drain_s`` after
    its announcement, in seconds; 0 if it must get none at all.
    """

    def __init__(self, drain_s: float) -> None:
        self._drain_s = drain_s
        self._by_id: dict[BackendId, _Announcement] = {}

    def add(self, server_id: BackendId, started: int, since: float | None) -> bool:
        """Record an announcement; return whether none was known before.

        It was made at ``since`` or later, in seconds of the event loop; None if that is
        not known. The earliest of several announcements counts.
        """
        known = self._by_id.get(server_id)
        if known is not None and known.started > started:
            return False
        is_new = known is None or known.started < started
        if is_new:
            earliest = float("-inf") if since is None else since
            self._by_id.pop(server_id, None)
            self._by_id[server_id] = _Announcement(started, earliest)
            if len(self._by_id) > MAX_SERVERS:
                del self._by_id[next(iter(self._by_id))]
        elif since is not None and since < known.since:
            self._by_id[server_id] = _Announcement(started, since)
        return is_new

    def is_leaving(self, entry: HostEntry) -> bool:
        """Return whether the server of an entry is leaving."""
        if entry.state is BackendState.LEAVING:
            return True
        known = self._by_id.get(entry.id)
        return known is not None and known.started >= entry.started

    def has_just_begun(self, entry: HostEntry, now: float) -> bool:
        """Return whether a request that is sent now arrives in the time allowed."""
        known = self._by_id.get(entry.id)
        if known is None or known.started != entry.started:
            return False
        return now < known.since + self._drain_s - SEND_RESERVE_S
