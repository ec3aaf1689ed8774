"""Until when a server is cold, and can take only few new requests per second."""

import asyncio

from ..log import Part, log
from .host_entry import HostEntry

__all__ = ["MAX_WARM_UP_S", "ColdState"]

# A longer reported warm-up time is taken for an error: it would keep a warm server out
# of normal use.
MAX_WARM_UP_S = 60.0


class ColdState:
    """Whether a server is cold, by its entry or by what this node assumes."""

    def __init__(self) -> None:
        self._reported_until = self._assumed_until = float("-inf")

    def apply_entry(self, entry: HostEntry) -> None:
        """Apply the remaining warm-up time of a new entry."""
        if entry.warm_up_s > MAX_WARM_UP_S:
            log(
                Part.HOSTS,
                "A server reports too long a warm-up time; the maximum is used.",
                backend=entry.id,
                warm_up_s=entry.warm_up_s,
            )
        self._reported_until = float("-inf")
        if entry.warm_up_s > 0:
            now = asyncio.get_running_loop().time()
            self._reported_until = now + min(entry.warm_up_s, MAX_WARM_UP_S)

    def assume(self, for_s: float) -> None:
        """Treat the server as cold for ``for_s`` seconds, whatever its entry says."""
        self._assumed_until = asyncio.get_running_loop().time() + for_s

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < max(self._reported_until, self._assumed_until)
