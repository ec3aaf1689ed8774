"""Remembers which software versions of a service have been listed lately.

A stream whose origin is not known to any node can be resumed only if a single version
can have begun it.
"""

from collections.abc import Callable

from eelgrass_coordination.ids import SoftwareVersion

from ..backends import Backend, Backends
from .version_roster import VersionRoster

__all__ = ["VersionHistory"]

# A server may go on serving for some time after its entry was removed, and a stream
# may begin there until this node notices the removal.
REMOVAL_NOTICE_S = 3.0
# How long a version is remembered after its last server was removed; no stream lasts
# longer.
RETENTION_S = 300.0
# The clocks of hosts and servers may differ by seconds.
CLOCK_SKEW_S = 5.0


class VersionHistory:
    """The versions of all services, as listed in ``backends``.

    ``clock`` returns seconds, and ``unix_ms`` Unix time in milliseconds. ``roster`` has
    the versions that were listed before this node started, or while it read nothing.
    ``followed_since`` returns since when the list was read without a gap.
    """

    def __init__(
        self,
        backends: Backends,
        clock: Callable[[], float],
        unix_ms: Callable[[], int],
        roster: VersionRoster,
        followed_since: Callable[[], float],
    ) -> None:
        self._backends = backends
        self._clock = clock
        self._unix_ms = unix_ms
        self._roster = roster
        self._followed_since = followed_since
        self._since: float | None = None
        # When the last server of a version was removed, by service and version.
        self._removed_at: dict[str, dict[SoftwareVersion, float]] = {}
        self._listed: dict[str, frozenset[SoftwareVersion]] = {}

    def servers_changed(self, service: str) -> None:
        """Record the versions that are listed of a service."""
        now = self._clock()
        if self._since is None:
            self._since = now
        self._roster.servers_changed(service)
        listed = self.listed(service)
        removed_at = self._removed_at.setdefault(service, {})
        for version in self._listed.get(service, frozenset()) - listed:
            removed_at[version] = now
        self._listed[service] = listed
        for version, at in list(removed_at.items()):
            if version in listed or now - at > RETENTION_S:
                del removed_at[version]

    def listed(self, service: str) -> frozenset[SoftwareVersion]:
        """Return the versions that are listed."""
        return frozenset(s.entry.version for s in self._servers(service))

    def versions(self, service: str, max_age_s: float) -> frozenset[SoftwareVersion]:
        """Return the versions that can have begun a stream within ``max_age_s``."""
        since = self._clock() - max_age_s - REMOVAL_NOTICE_S
        removed_at = self._removed_at.get(service, {})
        lately = (version for version, at in removed_at.items() if at >= since)
        versions = self._listed.get(service, frozenset()).union(lately)
        if self._has_followed(max_age_s):
            return versions
        return versions | self._roster.versions(service, self._since_ms(max_age_s))

    def covers(self, service: str, max_age_s: float) -> bool:
        """Return whether no version that began a stream since then can be missing.

        That is so if this node has followed the list for that long, or if the roster
        was kept for that long. If it was begun later, all servers of the service must
        have been running for that long, so that none has taken the place of another
        one.
        """
        if self._since is None:
            return False
        if self._has_followed(max_age_s):
            return True
        since_ms = self._since_ms(max_age_s)
        if self._roster.was_kept(service, since_ms):
            return True
        starts = [server.entry.started for server in self._servers(service)]
        is_recent = not starts or any(not 0 < start < since_ms for start in starts)
        return self._roster.was_kept(service) and not is_recent

    def _has_followed(self, max_age_s: float) -> bool:
        """Return whether this node has followed the list since a stream can begin."""
        if self._since is None:
            return False
        since = max(self._since, self._followed_since())
        return self._clock() - since >= max_age_s + REMOVAL_NOTICE_S

    def _since_ms(self, max_age_s: float) -> int:
        """Return the earliest Unix time, in milliseconds, at which a stream began."""
        before_s = max_age_s + REMOVAL_NOTICE_S + CLOCK_SKEW_S
        return self._unix_ms() - int(before_s * 1000)

    def _servers(self, service: str) -> list[Backend]:
        return self._backends.by_service.get(service, [])
