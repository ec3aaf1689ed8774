"""The servers that have asked this node for rest.

A server that turns a request away may say for how long it wants none from this node.
Other nodes may go on, so that they are not told.
"""

import asyncio
from collections.abc import Iterable

from .host_entry import HostEntry, ServerIncarnation

__all__ = ["MAX_REST_S", "ServerRests"]

# A longer rest is taken for an error: the server is tried again after this time.
MAX_REST_S = 600.0


class ServerRests:
    """Until when servers rest, by incarnation, in seconds of the event loop."""

    def __init__(self) -> None:
        self._until_by_incarnation: dict[ServerIncarnation, float] = {}

    def begin(self, server: ServerIncarnation, for_s: float) -> bool:
        """Have a server rest; return whether it did not do so before.

        The longest of several rests counts: the server asks for one with each request
        that it turns away.
        """
        now = _now()
        self._until_by_incarnation = {
            incarnation: until
            for incarnation, until in self._until_by_incarnation.items()
            if until > now
        }
        before = self._until_by_incarnation.get(server, now)
        until = now + min(for_s, MAX_REST_S)
        self._until_by_incarnation[server] = max(before, until)
        return before == now

    def left_s(self, server: ServerIncarnation) -> float:
        """Return for how many seconds a server still rests; 0 if it does not."""
        until = self._until_by_incarnation.get(server)
        return 0.0 if until is None else max(0.0, until - _now())

    def least_left_s(self, servers: Iterable[HostEntry]) -> float:
        """Return after how many seconds the first of some servers has rested."""
        return min((self.left_s(entry.incarnation) for entry in servers), default=0.0)

    def forget(self, server: ServerIncarnation) -> None:
        """Forget a rest, because another server has the same id and start number."""
        self._until_by_incarnation.pop(server, None)


def _now() -> float:
    return asyncio.get_running_loop().time()
