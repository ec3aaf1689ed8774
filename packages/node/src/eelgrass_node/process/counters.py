"""Counters of the process, kept in memory and sent to statsd once a second."""

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import statsd

__all__ = ["Counters"]

# One packet a second, however much is counted.
FLUSH_S = 1.0


class Counters:
    """Counts by name, such as ``refusal.deadline-infeasible``.

    ``totals`` holds the counts since the process started. Counts are added up before
    they are sent, so that a busy node does not send a packet per request.
    """

    def __init__(self, client: "statsd.StatsClient | None" = None) -> None:
        self._client = client
        self._unsent: Counter[str] = Counter()
        self.totals: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += by
        self._unsent[name] += by

    def flush(self) -> None:
        """Send the counts since the last flush."""
        unsent, self._unsent = self._unsent, Counter()
        if self._client is None or not unsent:
            return
        with self._client.pipeline() as pipeline:
            for name, by in unsent.items():
                pipeline.incr(name, by)

    async def run(self) -> None:
        """Flush once a second until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self.flush()
