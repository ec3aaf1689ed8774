"""Max-min fair shares of a service's capacity among client accounts.

If one account sends many times its normal load, all accounts that share a service with
it would wait behind its requests or be refused with them. If the accounts together ask
for more work than the servers can do, the capacity is divided max-min fairly, by work
and not by the number of requests: each account gets the work that it requests up to a
limit that is the same for all accounts. Accounts that request less leave capacity
unused, which raises the limit for the others. Work above the limit is served after all
other work. While capacity is sufficient there are no shares.

No quotas are configured, so normal traffic gives an account no precedence: in a burst
of all accounts, the surplus of the largest one waits first.

This module does no I/O and reads no clock. Times are in seconds, work is in seconds of
server time.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from .batch_items import BatchItem

__all__ = ["AccountShares"]

# Time constant of the exponential decay of an account's demand. A flood is detected
# within half a second, while a request behind it can still meet its latency target. The
# demand of an account with normal traffic is about the same in every second.
DECAY_S = 1.0
# Shares are computed at most this often, because it takes a pass over all waiting sets.
UPDATE_INTERVAL_S = 0.1
# Ratio of demand to capacity above which shares apply: a queue that is nearly full is
# not short of capacity yet, and the sums vary by about a tenth.
SHORTAGE_RATIO = 1.1
# Weight of one call in the average part of server time that is useful work. It averages
# over some ten calls, about a second of a few servers.
EFFICIENCY_WEIGHT = 0.1
# Lower bound of the capacity left for accounts above their share, which keeps their
# expected wait finite.
MIN_LEFT_FRACTION = 0.1
# Accounts whose decayed demand is below this, in seconds of work, are dropped.
MIN_TRACKED_WORK_S = 1e-4


class AccountShares:
    """The recent demand of each account of one service, and the work done for it.

    ``over_share_accounts`` are the accounts that ask for more than their share, and
    ``left_fraction`` is the part of the capacity that the others leave to them.
    """

    def __init__(self) -> None:
        self.over_share_accounts: frozenset[str] = frozenset()
        self.left_fraction = 1.0
        self._demand_by_account: dict[str, _DecayingSum] = {}
        self._started_by_account: dict[str, _DecayingSum] = {}
        self._efficiency = 1.0
        self._updated_at = -math.inf

    def record_demand(
        self, items: Sequence[BatchItem], work_s: float, now: float
    ) -> None:
        """Record an item set that an account asks for, and set its ``over_share``."""
        account = items[0].account
        demand = self._demand_by_account.setdefault(account or "", _DecayingSum())
        demand.add(work_s, now)
        _set_over_share(items, account in self.over_share_accounts)

    def record_work(self, account: str | None, work_s: float, now: float) -> None:
        """Record work that servers start for an account."""
        started = self._started_by_account.setdefault(account or "", _DecayingSum())
        started.add(work_s, now)

    def record_call(self, work_s: float, took_s: float) -> None:
        """Record the work and duration of a call; part-full calls do less."""
        efficiency = min(1.0, work_s / took_s) if took_s > 0.0 else 1.0
        self._efficiency += EFFICIENCY_WEIGHT * (efficiency - self._efficiency)

    def update(
        self,
        waiting: Iterable[Sequence[BatchItem]],
        work_s: Callable[[int], float],
        servers: int,
        now: float,
    ) -> None:
        """Update which waiting sets are above the shares of their accounts.

        ``work_s`` returns the work of so many items. An account's share goes to those
        of its sets that are due first. Calls shortly after the last update do nothing.
        """
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        self._drop_idle(now)
        sets = sorted(waiting, key=lambda items: items[0].due)
        level_s = self._level_s(sets, work_s, servers, now)
        if math.isinf(level_s) and not self.over_share_accounts:
            return
        left_s_by_account: dict[str, float] = {}
        for items in sets:
            account = items[0].account
            if account is None:
                continue
            left_s = left_s_by_account.get(account)
            if left_s is None:
                left_s = level_s - _value(self._started_by_account, account, now)
            left_s_by_account[account] = left_s = left_s - work_s(len(items))
            _set_over_share(items, left_s < 0.0)
        self.over_share_accounts = frozenset(
            account for account, left_s in left_s_by_account.items() if left_s < 0.0
        )
        self.left_fraction = self._left_fraction(servers, now)

    def _level_s(
        self,
        sets: Sequence[Sequence[BatchItem]],
        work_s: Callable[[int], float],
        servers: int,
        now: float,
    ) -> float:
        """Return the work that each account may have per time constant."""
        waiting: Counter[str] = Counter()
        for items in sets:
            waiting[items[0].account or ""] += work_s(len(items))
        # Waiting work counts in full, although the demand behind it has decayed.
        demand = [
            max(work.value(now), waiting[account])
            for account, work in self._demand_by_account.items()
        ]
        return fair_level(demand, servers * self._efficiency * DECAY_S)

    def _left_fraction(self, servers: int, now: float) -> float:
        others_s = sum(
            demand.value(now)
            for account, demand in self._demand_by_account.items()
            if account not in self.over_share_accounts
        )
        return max(
            MIN_LEFT_FRACTION, 1.0 - others_s / (servers * self._efficiency * DECAY_S)
        )

    def _drop_idle(self, now: float) -> None:
        for by_account in (self._demand_by_account, self._started_by_account):
            for account, work in list(by_account.items()):
                if work.value(now) < MIN_TRACKED_WORK_S:
                    del by_account[account]


class _DecayingSum:
    """A sum whose terms decay exponentially with time."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._sum = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        return self._sum * math.exp((self._at - now) / DECAY_S)


def fair_level(demand: Sequence[float], capacity: float) -> float:
    """Return the max-min fair level: the most that each account may have.

    It is infinite if the capacity is sufficient for all, or if only one asks.
    """
    if len(demand) < 2 or sum(demand) <= capacity * SHORTAGE_RATIO:
        return math.inf
    remaining = capacity
    for served, wanted in enumerate(sorted(demand)):
        level = remaining / (len(demand) - served)
        if wanted > level:
            return level
        remaining -= wanted
    return math.inf


def _value(by_account: dict[str, _DecayingSum], account: str, now: float) -> float:
    work = by_account.get(account)
    return 0.0 if work is None else work.value(now)


def _set_over_share(items: Iterable[BatchItem], over_share: bool) -> None:
    for item in items:
        item.over_share = over_share
