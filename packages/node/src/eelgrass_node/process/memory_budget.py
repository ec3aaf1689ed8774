"""Accounts for what this process holds for its peers, in bytes and connections.

Limits for each connection or request are multiplied by the number of connections. What
all of them hold together is therefore reserved from budgets, which are shares of the
machine's memory, before it is read, and released when it is dropped.

Without room, a budget evicts: it closes connections whose peer is being waited for and
moves the least data for what is held for it. A peer that moves a good part of it every
second is spared, however slow it is. Large reservations share a part of each budget, so
that they leave room for the many small ones.

    budget = MemoryBudget("requests", 1_000_000, clock, count)
    reservation = budget.open(peer)
    if not reservation.resize(len(data)):
        ...  # refuse the request
    reservation.resize(0)
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable

import msgspec

from ..log import Part, log

__all__ = [
    "NO_ROOM_RETRY_S",
    "Budgets",
    "ConnectionBudgets",
    "Reservation",
    "MemoryBudget",
    "PeerActivity",
]

# Larger reservations share a part of the budget; a single one may use all of it.
LARGE_BYTES = 1 << 16
LARGE_FRACTION = 0.5
# A peer is not evicted before it has been waited for this long.
GRACE_PERIOD_S = 1.0
# The rate of a peer is averaged with this half-life.
HALF_LIFE_S = 1.0
# A peer that moves this fraction of what is held for it every second is not evicted.
MIN_RATE = 0.5
# The same for connections, in bytes per second.
MIN_CONNECTION_RATE = 16_384
# When a request that finds no room is to come again: by then peers that hold room now
# can be evicted.
NO_ROOM_RETRY_S = GRACE_PERIOD_S
# If no peer can be evicted, none is looked for again for this long.
SEARCH_INTERVAL_S = 0.05
# How often a wait for room looks for peers that can be evicted by then.
WAIT_INTERVAL_S = 0.25


class PeerActivity:
    """What a peer moves, by sending or by reading, and whether it is waited for.

    ``close`` is called to evict it.
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


class Reservation:
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
    """One budget; ``capacity`` and the amounts of reservations have the same unit.

    ``min_rate`` is the rate of a peer for each unit held above which it is spared, in
    bytes per second. ``count`` counts events.
    """

    def __init__(
        self,
        name: str,
        capacity: int,
        clock: Callable[[], float],
        count: Callable[[str], None],
        min_rate: float = MIN_RATE,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.used = 0
        self.peak = 0
        self._large_used = 0
        self._clock = clock
        self._count = count
        self._min_rate = min_rate
        self._reservations: set[Reservation] = set()
        self._waiters: deque[tuple[Reservation, int, asyncio.Future[None]]] = deque()
        self._searched_at = -math.inf
        self._is_short = False

    def open(self, peer: PeerActivity) -> Reservation:
        """Return a reservation of nothing for a peer."""
        return Reservation(self, peer)

    def resize(self, reservation: Reservation, amount: int) -> bool:
        """Change a reservation; see :meth:`Reservation.resize`."""
        if reservation.is_released:
            return amount <= 0
        if amount > reservation.amount and not self._make_room(reservation, amount):
            self._count(f"memory.no-room-{self.name}")
            self._log_shortage()
            return False
        self._set(reservation, amount)
        return True

    async def wait_resize(self, reservation: Reservation, amount: int) -> None:
        """Change a reservation once there is room; the first to wait comes first.

        No reservation waits for more than the capacity.
        """
        amount = min(amount, self.capacity)
        if not self._waiters and self._try(reservation, amount):
            return
        turn = asyncio.get_running_loop().create_future()
        entry = (reservation, amount, turn)
        self._waiters.append(entry)
        try:
            while not turn.done():
                await asyncio.wait({turn}, timeout=WAIT_INTERVAL_S)
                self._serve_waiters()
        finally:
            if entry in self._waiters:
                self._waiters.remove(entry)
                self._serve_waiters()

    def release(self, reservation: Reservation) -> None:
        """End a reservation."""
        self._set(reservation, 0)
        reservation.is_released = True

    def _try(self, reservation: Reservation, amount: int) -> bool:
        if reservation.is_released:
            return True
        if amount > reservation.amount and not self._make_room(reservation, amount):
            return False
        self._set(reservation, amount)
        return True

    def _set(self, reservation: Reservation, amount: int) -> None:
        shrinks = amount < reservation.amount
        self.used += amount - reservation.amount
        self._large_used += _large(amount) - _large(reservation.amount)
        self.peak = max(self.peak, self.used)
        reservation.amount = amount
        if amount:
            self._reservations.add(reservation)
        else:
            self._reservations.discard(reservation)
        if self.used * 2 < self.capacity:
            self._is_short = False
        if shrinks and self._waiters:
            self._serve_waiters()

    def _serve_waiters(self) -> None:
        while self._waiters:
            reservation, amount, turn = self._waiters[0]
            if not turn.done() and not self._try(reservation, amount):
                return
            self._waiters.popleft()
            if not turn.done():
                turn.set_result(None)

    def _make_room(self, reservation: Reservation, amount: int) -> bool:
        missing = self._missing(reservation, amount)
        if missing == (0, 0):
            return True
        now = self._clock()
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return False
        evicted = self._evictable(reservation, missing, now)
        if evicted is None:
            self._searched_at = now
            return False
        for other in evicted:
            self._evict(other)
        return True

    def _missing(self, reservation: Reservation, amount: int) -> tuple[int, int]:
        """Return how much a change lacks of the capacity, and of that for large ones.

        A single large one may use all that is left of the capacity.
        """
        used = self.used - reservation.amount + amount - self.capacity
        other_large = self._large_used - _large(reservation.amount)
        large = 0
        if _large(amount):
            large = other_large + amount - int(self.capacity * LARGE_FRACTION)
        return max(0, used), min(max(0, large), other_large)

    def _evictable(
        self, reservation: Reservation, missing: tuple[int, int], now: float
    ) -> list[Reservation] | None:
        """Return whose peers to close for what is missing; None if that is not enough.

        They are those that move the least for what is held for them.
        """
        rates: list[tuple[float, float, int, Reservation]] = []
        for other in self._reservations:
            since = other.peer.awaited_since
            if other is reservation or since is None or now - since < GRACE_PERIOD_S:
                continue
            rate = other.peer.bytes_per_s(now) / other.amount
            if rate < self._min_rate:
                rates.append((rate, since, id(other), other))
        evicted: list[Reservation] = []
        used, large = missing
        for _, _, _, other in sorted(rates):
            if used <= 0 and large <= 0:
                break
            if used > 0 or _large(other.amount):
                evicted.append(other)
                used -= other.amount
                large -= _large(other.amount)
        return evicted if used <= 0 and large <= 0 else None

    def _evict(self, reservation: Reservation) -> None:
        self._count(f"memory.evicted-{self.name}")
        self._log_shortage()
        self._set(reservation, 0)
        reservation.is_released = True
        reservation.peer.close()

    def _log_shortage(self) -> None:
        """Log the first shortage since the budget was half empty."""
        if self._is_short:
            return
        self._is_short = True
        log(
            Part.NODE,
            "A budget is used up; new requests on it are refused, or the connections "
            "that send or read the slowest are closed.",
            budget=self.name,
            used=self.used,
            capacity=self.capacity,
            reservations=len(self._reservations),
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
            return MemoryBudget(name, capacity, clock, count, MIN_CONNECTION_RATE)

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
