"""Accounts for what this process holds on behalf of its peers, in bytes or in files.

Limits for each connection or request are multiplied by the number of connections. What
all of them hold together is therefore reserved from budgets, which are shares of the
machine's memory, before it is read, and released when it is dropped.

Without room, a budget closes connections whose peer is being waited for and moves the
least data for what is held for it. A peer that moves a good part of it every second is
spared, however slow it is. Large holdings share a part of each budget, so that they
leave room for the many small ones.

    budget = MemoryBudget("requests", 1_000_000, clock, count)
    holding = budget.open(peer)
    if not holding.resize(len(data)):
        ...  # refuse the request
    holding.resize(0)
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable

import msgspec

from ..log import Part, log

__all__ = [
    "Budgets",
    "ConnectionBudgets",
    "Holding",
    "MemoryBudget",
    "PeerActivity",
]

# Larger holdings share a part of the budget; a single one may use all of it.
LARGE_BYTES = 1 << 16
LARGE_FRACTION = 0.5
# A peer is not closed before it has been waited for this long.
GRACE_S = 1.0
# The rate of a peer is averaged with this half-life.
HALF_LIFE_S = 1.0
# A peer that moves this fraction of what is held for it every second is not closed.
KEPT_PACE = 0.5
# The same for connections, in bytes per second.
KEPT_CONNECTION_PACE = 16_384
# Without a peer to close, the next search is this much later.
SEARCH_INTERVAL_S = 0.05
# How often those that wait for room look for peers that can be closed by then.
WAIT_INTERVAL_S = 0.25


class PeerActivity:
    """What a peer moves, by sending or by reading, and whether it is waited for.

    ``close`` is called when its connection has to be closed for want of room.
    """

    def __init__(self, clock: Callable[[], float], close: Callable[[], None]) -> None:
        self._clock = clock
        self._moved = 0.0
        self._moved_at = clock()
        self.close = close
        self.awaited_since: float | None = self._moved_at

    def set_awaited(self, is_awaited: bool) -> None:
        """Set whether the next step is the peer's; time counts from the change."""
        if is_awaited != (self.awaited_since is not None):
            self.awaited_since = self._clock() if is_awaited else None

    def record(self, count: int) -> None:
        """Record that the peer has sent, or taken, so many bytes."""
        now = self._clock()
        self._moved = self._moved_after(now) + count
        self._moved_at = now

    def bytes_per_s(self, now: float) -> float:
        """Return the average rate of the last seconds."""
        return self._moved_after(now) * math.log(2) / HALF_LIFE_S

    def _moved_after(self, now: float) -> float:
        return self._moved * 0.5 ** ((now - self._moved_at) / HALF_LIFE_S)


class Holding:
    """What is held for one peer in one budget; :meth:`release` ends it."""

    def __init__(self, budget: "MemoryBudget", peer: PeerActivity) -> None:
        self._budget = budget
        self.peer = peer
        self.amount = 0
        self.is_released = False

    def resize(self, amount: int) -> bool:
        """Hold ``amount`` from now on; return False, changing nothing, without room.

        A smaller amount is always possible.
        """
        return self._budget.resize(self, amount)

    async def wait_resize(self, amount: int) -> None:
        """Hold ``amount`` from now on, once there is room."""
        await self._budget.wait_resize(self, amount)

    def release(self) -> None:
        """Give all of it back; nothing can be held by it afterwards."""
        self._budget.release(self)


class MemoryBudget:
    """One budget; ``capacity`` and the amounts of holdings have the same unit.

    ``kept_pace`` is the rate of a peer for each unit held above which it is spared, in
    bytes per second. ``count`` counts events.
    """

    def __init__(
        self,
        name: str,
        capacity: int,
        clock: Callable[[], float],
        count: Callable[[str], None],
        kept_pace: float = KEPT_PACE,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.used = 0
        self.peak = 0
        self._large_used = 0
        self._clock = clock
        self._count = count
        self._kept_pace = kept_pace
        self._holdings: set[Holding] = set()
        self._waiters: deque[tuple[Holding, int, asyncio.Future[None]]] = deque()
        self._searched_at = -math.inf
        self._is_short = False

    def open(self, peer: PeerActivity) -> Holding:
        """Return a holding of nothing for a peer."""
        return Holding(self, peer)

    def resize(self, holding: Holding, amount: int) -> bool:
        """Change a holding; see :meth:`Holding.resize`."""
        if holding.is_released:
            return amount <= 0
        if amount > holding.amount and not self._make_room(holding, amount):
            self._count(f"memory.no-room-{self.name}")
            self._log_shortage()
            return False
        self._set(holding, amount)
        return True

    async def wait_resize(self, holding: Holding, amount: int) -> None:
        """Change a holding once there is room; the first to wait comes first.

        No holding waits for more than the capacity.
        """
        amount = min(amount, self.capacity)
        if not self._waiters and self._try(holding, amount):
            return
        turn = asyncio.get_running_loop().create_future()
        entry = (holding, amount, turn)
        self._waiters.append(entry)
        try:
            while not turn.done():
                await asyncio.wait({turn}, timeout=WAIT_INTERVAL_S)
                self._serve_waiters()
        finally:
            if entry in self._waiters:
                self._waiters.remove(entry)
                self._serve_waiters()

    def release(self, holding: Holding) -> None:
        """End a holding."""
        self._set(holding, 0)
        holding.is_released = True

    def _try(self, holding: Holding, amount: int) -> bool:
        if holding.is_released:
            return True
        if amount > holding.amount and not self._make_room(holding, amount):
            return False
        self._set(holding, amount)
        return True

    def _set(self, holding: Holding, amount: int) -> None:
        shrinks = amount < holding.amount
        self.used += amount - holding.amount
        self._large_used += _large(amount) - _large(holding.amount)
        self.peak = max(self.peak, self.used)
        holding.amount = amount
        if amount:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        if self.used * 2 < self.capacity:
            self._is_short = False
        if shrinks and self._waiters:
            self._serve_waiters()

    def _serve_waiters(self) -> None:
        while self._waiters:
            holding, amount, turn = self._waiters[0]
            if not turn.done() and not self._try(holding, amount):
                return
            self._waiters.popleft()
            if not turn.done():
                turn.set_result(None)

    def _make_room(self, holding: Holding, amount: int) -> bool:
        missing = self._missing(holding, amount)
        if missing == (0, 0):
            return True
        now = self._clock()
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return False
        victims = self._victims(holding, missing, now)
        if victims is None:
            self._searched_at = now
            return False
        for victim in victims:
            self._close(victim)
        return True

    def _missing(self, holding: Holding, amount: int) -> tuple[int, int]:
        """Return how much a change lacks of the capacity, and of that for large ones.

        The largest holding may have what is left of the capacity if it is the only
        large one.
        """
        used = self.used - holding.amount + amount - self.capacity
        other_large = self._large_used - _large(holding.amount)
        large = 0
        if _large(amount):
            large = other_large + amount - int(self.capacity * LARGE_FRACTION)
        return max(0, used), min(max(0, large), other_large)

    def _victims(
        self, holding: Holding, missing: tuple[int, int], now: float
    ) -> list[Holding] | None:
        """Return whose peers to close for what is missing; None if that is not enough.

        They are those that move the least for what is held for them.
        """
        paces: list[tuple[float, float, int, Holding]] = []
        for other in self._holdings:
            since = other.peer.awaited_since
            if other is holding or since is None or now - since < GRACE_S:
                continue
            pace = other.peer.bytes_per_s(now) / other.amount
            if pace < self._kept_pace:
                paces.append((pace, since, id(other), other))
        victims: list[Holding] = []
        used, large = missing
        for _, _, _, other in sorted(paces):
            if used <= 0 and large <= 0:
                break
            if used > 0 or _large(other.amount):
                victims.append(other)
                used -= other.amount
                large -= _large(other.amount)
        return victims if used <= 0 and large <= 0 else None

    def _close(self, victim: Holding) -> None:
        self._count(f"memory.closed-{self.name}")
        self._log_shortage()
        self._set(victim, 0)
        victim.is_released = True
        victim.peer.close()

    def _log_shortage(self) -> None:
        """Log the first shortage since the budget was half empty."""
        if self._is_short:
            return
        self._is_short = True
        log(
            Part.NODE,
            "No room for what peers send or do not read; the slowest are closed.",
            budget=self.name,
            used=self.used,
            capacity=self.capacity,
            holdings=len(self._holdings),
        )


def _large(amount: int) -> int:
    return amount if amount > LARGE_BYTES else 0


class Shares(msgspec.Struct, frozen=True):
    """How the memory that a process does not need at rest is divided, as fractions.

    ``callers`` and ``peers`` are for the connections themselves. The rest is for
    fragmentation, and for what the kernel holds of open connections.
    """

    requests: float = 0.28
    answers: float = 0.16
    hosts: float = 0.12
    relays: float = 0.08
    callers: float = 0.13
    peers: float = 0.10


# What a node with its libraries and tables needs without any connection.
RESTING_BYTES = 64_000_000
# Of a machine with less than that, at least this fraction is divided.
MIN_FRACTION = 0.25
# Objects of a connection that is idle.
CONNECTION_BYTES = 24_576
# The platform keeps these for files.
RESERVED_DESCRIPTORS = 200
# Parts of the others. A caller's connection may need another one to a server, and
# relayed connections have a part of their own.
CALLER_DESCRIPTORS = 0.3
HOST_DESCRIPTORS = 0.25


class Budgets:
    """The budgets of one process, from the memory and descriptors of its machine.

    ``requests`` holds callers' requests, ``answers`` what callers have not read,
    ``hosts`` all of other nodes and operators, and ``relays`` relayed connections.
    ``callers`` and ``peers`` count the open connections of both.
    """

    def __init__(
        self,
        memory_bytes: int,
        max_descriptors: int,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        shares = Shares()
        divided = max(memory_bytes - RESTING_BYTES, int(memory_bytes * MIN_FRACTION))

        def budget(name: str, fraction: float) -> MemoryBudget:
            return MemoryBudget(name, int(divided * fraction), clock, count)

        def connections(name: str, fraction: float, of_files: float) -> MemoryBudget:
            by_memory = int(divided * fraction) // CONNECTION_BYTES
            by_files = int((max_descriptors - RESERVED_DESCRIPTORS) * of_files)
            capacity = max(1, min(by_memory, by_files))
            return MemoryBudget(name, capacity, clock, count, KEPT_CONNECTION_PACE)

        self.clock = clock
        self.requests = budget("requests", shares.requests)
        self.answers = budget("answers", shares.answers)
        self.hosts = budget("hosts", shares.hosts)
        self.relays = budget("relays", shares.relays)
        self.callers = connections("callers", shares.callers, CALLER_DESCRIPTORS)
        self.peers = connections("peers", shares.peers, HOST_DESCRIPTORS)

    def all(self) -> tuple[MemoryBudget, ...]:
        """Return all budgets, for metrics."""
        by_size = (self.requests, self.answers, self.hosts, self.relays)
        return (*by_size, self.callers, self.peers)


class ConnectionBudgets(msgspec.Struct, frozen=True):
    """The budgets of the connections that one listener accepts."""

    clock: Callable[[], float]
    requests: MemoryBudget
    answers: MemoryBudget
    connections: MemoryBudget

    @classmethod
    def of_callers(cls, budgets: Budgets) -> "ConnectionBudgets":
        """Return those of callers."""
        return cls(budgets.clock, budgets.requests, budgets.answers, budgets.callers)

    @classmethod
    def of_hosts(cls, budgets: Budgets) -> "ConnectionBudgets":
        """Return those of other hosts, of operators and of monitoring."""
        return cls(budgets.clock, budgets.hosts, budgets.hosts, budgets.peers)
