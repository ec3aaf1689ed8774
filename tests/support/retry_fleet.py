"""Hosts whose processes share a retry budget, in simulated time."""

import random

from eelgrass_node.process.retry_budget import RetryBudgets
from eelgrass_node.process.retry_loans import LENDERS

from .clock import Clock
from .retry_budget import worst_excess

__all__ = ["RetryFleet"]

SERVICE = "engines"
STEP_S = 0.1


class RetryFleet:
    """Hosts with one process each, which retry as many requests as they may.

    ``requests_per_s`` arrive at all of them together, evenly distributed over the hosts
    that are up. With ``lending`` processes borrow from others at once.
    """

    def __init__(
        self,
        hosts: int,
        requests_per_s: float,
        ratio: float = 0.2,
        slack: float = 56.0,
        window_s: float = 10.0,
        lending: bool = False,
    ) -> None:
        self.clock = Clock()
        self._budget = (ratio, slack, window_s)
        self._lending = lending
        self._hosts = hosts
        self._requests_per_s = requests_per_s
        self._random = random.Random(hosts)
        self._unsent = 0.0
        self._turn = 0
        self._sent_at: list[float] = []
        self._retries_at: list[float] = []
        self._process_by_host = {host: self._new_process() for host in range(hosts)}
        self._start_at_by_host: dict[int, float] = {}

    def restart(self, host: int, down_s: float = 0.0) -> None:
        """Stop the process on a host; a new one replaces it after ``down_s``."""
        self._process_by_host.pop(host, None)
        self._start_at_by_host[host] = self.clock.now + down_s

    def run(
        self,
        for_s: float,
        failing: bool,
        only: int | None = None,
        others_retry: bool = True,
    ) -> None:
        """Advance time; while servers fail, each process retries all that it may.

        With ``only`` all requests arrive at that host while it is up, as at the owner
        of a queue. Unless ``others_retry``, the other hosts have none to retry.
        """
        for _ in range(round(for_s / STEP_S)):
            self.clock.now += STEP_S
            self._start_due()
            self._serve(only)
            if failing:
                self._retry(None if others_retry else only)

    @property
    def retries(self) -> int:
        """The number of retries so far."""
        return len(self._retries_at)

    def excess(self) -> float:
        """Return by how much retries exceeded the budget in the worst window."""
        return worst_excess(self._retries_at, self._sent_at, *self._budget)

    def _new_process(self) -> RetryBudgets:
        ratio, slack, window_s = self._budget
        draw = self._random.random
        process = RetryBudgets(ratio, slack, window_s, self.clock, draw)
        process.sharing_nodes = self._hosts
        return process

    def _start_due(self) -> None:
        now = self.clock.now
        due = [host for host, at in self._start_at_by_host.items() if at <= now]
        for host in due:
            del self._start_at_by_host[host]
            self._process_by_host[host] = self._new_process()

    def _serve(self, only: int | None) -> None:
        self._unsent += self._requests_per_s * STEP_S
        up = [only] if only in self._process_by_host else sorted(self._process_by_host)
        while self._unsent >= 1:
            self._unsent -= 1
            self._sent_at.append(self.clock.now)
            self._turn += 1
            if up:
                host = up[self._turn % len(up)]
                self._process_by_host[host].record_requests(SERVICE)

    def _retry(self, only: int | None) -> None:
        for host, process in self._process_by_host.items():
            if only is not None and host != only:
                continue
            self._spend_all(process)
            if self._lending and self._borrow(process):
                self._spend_all(process)

    def _spend_all(self, process: RetryBudgets) -> None:
        while process.try_spend(SERVICE, "a request"):
            self._retries_at.append(self.clock.now)

    def _borrow(self, process: RetryBudgets) -> float:
        """Borrow from up to three other processes; return how much."""
        others = [p for p in self._process_by_host.values() if p is not process]
        requested = process.requested(SERVICE)
        lenders = self._random.sample(others, min(LENDERS, len(others)))
        lent = sum(lender.lend(SERVICE, requested) for lender in lenders)
        process.borrow(SERVICE, lent)
        return lent
