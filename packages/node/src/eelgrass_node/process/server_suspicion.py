"""For how long other servers are preferred to one that fails."""

import asyncio

__all__ = ["ServerSuspicion"]

# A failing server is suspected for about the time of a restart at first, and for twice
# as long after each further failure. The maximum keeps a server that has recovered from
# staying unused for long.
FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 16.0
# After this long without a failure, suspicion starts from its first duration again.
# Single successes do not reset it: a server that fails part of its calls succeeds in
# between.
FAILURE_RESET_S = 10.0


class ServerSuspicion:
    """Until when a server is suspected of failing, in seconds of the event loop."""

    def __init__(self) -> None:
        self.suspect_until = 0.0
        self._suspected_at = float("-inf")
        self._failures = 0

    def suspect(self) -> None:
        """Prefer other servers for a while, twice as long after each failure.

        Calls that fail at the same time, as when the server crashes, count as one
        failure.
        """
        now = asyncio.get_running_loop().time()
        if now < self.suspect_until:
            return
        if now - self._suspected_at > FAILURE_RESET_S:
            self._failures = 0
        suspicion_s = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2**self._failures)
        self._failures += 1
        self._suspected_at = now
        self.suspect_until = now + suspicion_s

    def extend_suspicion(self, for_s: float) -> None:
        """Prefer other servers for at least ``for_s`` more seconds."""
        now = asyncio.get_running_loop().time()
        self.suspect_until = max(self.suspect_until, now + for_s)

    def clear_suspicion(self) -> None:
        """End a suspicion, because it was the network path that failed."""
        self.suspect_until = 0.0
        self._failures = 0

    def end_suspicion(self, took_s: float) -> None:
        """End a suspicion after a call that succeeded and took ``took_s`` seconds.

        A call that began before the suspicion does not end it.
        """
        now = asyncio.get_running_loop().time()
        if now - took_s >= self._suspected_at:
            self.suspect_until = 0.0
