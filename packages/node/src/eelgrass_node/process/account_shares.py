"""Which client accounts ask for more than their share of a service that is short.

The pattern it answers: one account sends many times its usual, and all that share a
service with it wait behind its requests or are refused with them. Where accounts ask
for more work than the servers can do, their time is divided max-min fairly, by work
and not by count: each account gets what it asks for up to a level that is the same for
all, and what is left goes to those that ask for more. Work beyond that level is served
after all other. Where nothing is short nobody has a share, and nobody is held back.

Nobody tells quotas, so usual traffic earns no claim: in a burst of all accounts the
largest one's surplus waits first.

No network and no clock here; times are in seconds, work in seconds of a server.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from .batch_items import BatchItem

__all__ = ["AccountShares"]

# What an account has asked for fades with this time constant. A flood is then seen
# within half a second, while a request can still be on time behind it; the sets of a
# usual account add up to much the same in each second.
FADE_S = 1.0
# Shares are worked out at most this often: it takes a look at all that waits.
MARK_EVERY_S = 0.1
# The part of the servers' time that accounts must ask for before there are shares: a
# queue that is nearly full is not yet short, and the sums vary by about a tenth.
SHORT_FROM = 1.1
# By how much one call changes the part of a server's time that is work: some ten
# calls, about a second of a few servers.
YIELD_WEIGHT = 0.1
# However little is left, what waits for it is expected to end some time.
LEAST_LEFT = 0.1
# An account that has asked for less than this, in seconds of work, is forgotten.
FORGOTTEN_WORK_S = 1e-4


class AccountShares:
    """The accounts of one service, what each asks for and what it was given of late.

    ``crowding`` holds the accounts that ask for more than their share, and ``left`` is
    the part of the servers' time that the others leave to them.
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
        """Take in a set that an account asks for, and mark it."""
        account = items[0].account
        asked = self._asked_by_account.setdefault(account or "", _Fading())
        asked.add(work_s, now)
        _mark(items, account in self.over_share_accounts)

    def record_work(self, account: str | None, work_s: float, now: float) -> None:
        """Take in work that servers begin for an account."""
        given = self._given_by_account.setdefault(account or "", _Fading())
        given.add(work_s, now)

    def record_call(self, work_s: float, took_s: float) -> None:
        """Take in how much work a call did in its time; part-full calls do less."""
        share = min(1.0, work_s / took_s) if took_s > 0.0 else 1.0
        self._yield += YIELD_WEIGHT * (share - self._yield)

    def update(
        self,
        waiting: Iterable[Sequence[BatchItem]],
        work_s: Callable[[int], float],
        servers: int,
        now: float,
    ) -> None:
        """Mark the waiting sets that are beyond the shares of their accounts.

        ``work_s`` tells the work of so many pieces. Of one account the sets that are
        due first are within its share. Nothing is done just after the last time.
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
        """Return the work that each account may have in the time constant."""
        waiting: Counter[str] = Counter()
        for items in sets:
            waiting[items[0].account or ""] += work_s(len(items))
        # What waits was asked for, however long ago.
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
    """A sum whose terms fade with time."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._sum = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        return self._sum * math.exp((self._at - now) / FADE_S)


def fair_level(asked: Sequence[float], capacity: float) -> float:
    """Return the level up to which each may have what it asks for.

    It is infinite where there is enough for all, or only one asks.
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
