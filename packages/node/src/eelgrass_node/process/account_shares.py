"""Max-min fair shares of a service's capacity among client accounts.

If one account sends many times its normal load, all accounts that share a service with
it would wait behind its requests or be refused with them. If the accounts together ask
for more work than the servers can do, the capacity is divided max-min fairly, by work
and not by the number of requests: each account gets what it asks for up to a level that
is the same for all, and the rest goes to those that ask for more. Work above that level
is served after all other work. While capacity is sufficient there are no shares.

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
FADE_S = 1.0
# Shares are computed at most this often, because it takes a pass over all waiting sets.
MARK_EVERY_S = 0.1
# Ratio of demand to capacity above which shares apply: a queue that is nearly full is
# not short of capacity yet, and the sums vary by about a tenth.
SHORT_FROM = 1.1
# Weight of one call in the average part of server time that is useful work. It averages
# over some ten calls, about a second of a few servers.
YIELD_WEIGHT = 0.1
# Lower bound of the capacity left for accounts above their share, which keeps their
# expected wait finite.
LEAST_LEFT = 0.1
# Accounts whose decayed demand is below this, in seconds of work, are dropped.
FORGOTTEN_WORK_S = 1e-4


class AccountShares:
    """The recent demand of each account of one service, and the work done for it.

    ``over_share_accounts`` are the accounts that ask for more than their share, and
    ``left_fraction`` is the part of the capacity that the others leave to them.
    """

    def __init__(self) -> None:
        self.over_share_accounts: frozenset[str] = frozenset()
        self.left_fraction = 1.0
        self._asked_by_account: dict[str, _Fading] = {}
        self._given_by_account: dict[str, _Fading] = {}
        self._yield = 1.0
        self._marked_at = -math.inf

    def record_demand(
        self, items: Sequence[BatchItem], work_s: float, now: float
    ) -> None:
        """Record an item set that an account asks for, and set its ``over_share``."""
        account = items[0].account
        asked = self._asked_by_account.setdefault(account or "", _Fading())
        asked.add(work_s, now)
        _mark(items, account in self.over_share_accounts)

    def record_work(self, account: str | None, work_s: float, now: float) -> None:
        """Record work that servers start for an account."""
        given = self._given_by_account.setdefault(account or "", _Fading())
        given.add(work_s, now)

    def record_call(self, work_s: float, took_s: float) -> None:
        """Record the work and duration of a call; part-full calls do less."""
        share = min(1.0, work_s / took_s) if took_s > 0.0 else 1.0
        self._yield += YIELD_WEIGHT * (share - self._yield)

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
        if now - self._marked_at < MARK_EVERY_S:
            return
        self._marked_at = now
        self._forget_idle(now)
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
                left_s = level_s - _value(self._given_by_account, account, now)
            left_s_by_account[account] = left_s = left_s - work_s(len(items))
            _mark(items, left_s < 0.0)
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
        asked = [
            max(work.value(now), waiting[account])
            for account, work in self._asked_by_account.items()
        ]
        return fair_level(asked, servers * self._yield * FADE_S)

    def _left_fraction(self, servers: int, now: float) -> float:
        others_s = sum(
            asked.value(now)
            for account, asked in self._asked_by_account.items()
            if account not in self.over_share_accounts
        )
        return max(LEAST_LEFT, 1.0 - others_s / (servers * self._yield * FADE_S))

    def _forget_idle(self, now: float) -> None:
        for by_account in (self._asked_by_account, self._given_by_account):
            for account, work in list(by_account.items()):
                if work.value(now) < FORGOTTEN_WORK_S:
                    del by_account[account]


class _Fading:
    """A sum whose terms decay exponentially with time."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._sum = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        return self._sum * math.exp((self._at - now) / FADE_S)


def fair_level(asked: Sequence[float], capacity: float) -> float:
    """Return the max-min fair level: the most that each account may have.

    It is infinite if the capacity is sufficient for all, or if only one asks.
    """
    if len(asked) < 2 or sum(asked) <= capacity * SHORT_FROM:
        return math.inf
    left = capacity
    for served, wanted in enumerate(sorted(asked)):
        level = left / (len(asked) - served)
        if wanted > level:
            return level
        left -= wanted
    return math.inf


def _value(by_account: dict[str, _Fading], account: str, now: float) -> float:
    work = by_account.get(account)
    return 0.0 if work is None else work.value(now)


def _mark(items: Iterable[BatchItem], over_share: bool) -> None:
    for item in items:
        item.over_share = over_share
