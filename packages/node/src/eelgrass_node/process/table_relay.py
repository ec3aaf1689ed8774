"""One node of each data centre follows a table of the store for the others.

The pattern it answers: each call to the store is paid for, and its rates are
shared by all nodes; 82 nodes that follow two tables make 170 calls a second where
six would do. A node asks the relay of its data centre, which rendezvous hashing
finds over the live members, and goes to the store itself as soon as that one does
not answer. A relay answers only from what it read from the store itself, so that no
two nodes take their word from each other.

A store may turn away some nodes, and a relay among them. The next ones in the order of
the hash are asked then, up to ``RELAYS``; the first of them that the store serves reads
for all. Without them each follower would read the store for itself for as long as that
lasts.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from itertools import islice, takewhile
from typing import Protocol

from eelgrass_coordination import Member, MemberState, ranked

from ..exceptions import PeerUnreachable, StoreUnavailable
from ..log import Part, log
from .high_capacity_nodes import high_capacity_nodes
from .store_tables import StoredRow, TableChanges, TableReader, TableReplica

__all__ = ["RelayedReader", "StoreReader", "TableRelay", "relay_of", "relays_of"]

# A follower's wait at its relay. With the slack that the client adds it notices a
# frozen relay after 1.1 s, which leaves most of a second of the 2 s within which a
# change must be in force.
RELAY_WAIT_S = 0.8
# How many nodes are asked in one turn before the store. Of a third of all nodes that
# the store turns away, all three are in one of 27 cases.
RELAYS = 3
# A relay that failed is passed over for this long; a frozen host wakes, and a dead
# one is found dead, within a few seconds.
BACKOFF_S = 3.0
# What a node read from the store itself this long ago still makes it a relay: the
# pause, the wait and the slack until its next answer begins (1.6 s).
FRESH_S = 2.0
# An answer of the store that still comes makes a node a relay for as long. A slower one
# holds up its followers, which the store may answer sooner.
ARRIVING_S = 2.0

# A node that has just started and read a table from the store asks for changes after
# this. The members of a fleet that starts as a whole agree meanwhile, and it finds its
# relay in place of the store. What was read is that old then, which leaves more than
# half of the 2 s within which a change must be in force.
SETTLE_S = 0.5

# Gets an address, a table, a version (None for the whole table) and a wait.
AskRelay = Callable[[str, str, int | None, float], Awaitable[TableChanges]]


def relay_of(own: Member, members: list[Member], table: str) -> Member | None:
    """Return the relay of a table for ``own``'s data centre; None for ``own``."""
    return next(iter(relays_of(own, members, table)), None)


def relays_of(own: Member, members: list[Member], table: str) -> list[Member]:
    """Return the nodes to ask for changes of a table, in order.

    There is none for the first of its data centre, which asks the store.
    """
    near = [
        member
        for member in members
        if member.data_centre == own.data_centre and member.state is MemberState.ALIVE
    ]
    able = high_capacity_nodes([*near, own], lambda member: member.capacity)
    order = ranked(able, f"table/{table}", name=lambda member: member.id)
    before_own = takewhile(lambda member: member.id != own.id, order)
    return list(islice(before_own, RELAYS))


class StoreReader(TableReader, Protocol):
    """What is needed of the store itself."""

    def response_started_at(self, table: str) -> float | None:
        """Return when an answer that is not whole yet has begun; None without one."""


class RelayedReader:
    """Reads the store's tables, feeds of changes rather from a relay.

    ``relays`` names the relays of a table, in the order in which to ask them; ``ask``
    raises :class:`PeerUnreachable`, :class:`HistoryGone`, or
    :class:`StoreUnavailable` where the relay itself does not read the store.
    ``pause_s_by_table`` is how long changes are collected between two calls to the
    store.
    """

    def __init__(
        self,
        store: StoreReader,
        relays: Callable[[str], Sequence[Member]],
        ask: AskRelay,
        pause_s_by_table: Mapping[str, float],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._relays = relays
        self._ask = ask
        self._pause_s_by_table = pause_s_by_table
        self._clock = clock
        self._read_at_by_table: dict[str, float] = {}
        self._distrusted_until: dict[str, float] = {}
        # Tables about which the store did not answer when it was last asked.
        self._lost_tables: set[str] = set()
        self._known_by_table: dict[str, int] = {}
        self._answered_tables: set[str] = set()
        self._unsettled_tables: set[str] = set()
        self._source_by_table: dict[str, str] = {}

    def reads_from_store(self, table: str) -> bool:
        """Return whether this node has just read a table from the store, or does."""
        since = self._store.response_started_at(table)
        if since is not None and self._clock() - since <= ARRIVING_S:
            # Followers would read the same from the store, each over its own link.
            return True
        read_at = self._read_at_by_table.get(table, float("-inf"))
        return self._clock() - read_at <= FRESH_S

    async def read_table(self, table: str) -> TableChanges:
        """Return all rows of a table, from a relay or from the store.

        A relay whose state is older than what this node knows is passed over.
        """
        changes = await self._ask_relays(table, None)
        if changes and changes.version >= self._known_by_table.get(table, -1):
            return changes
        changes = await self._ask_store(table, self._store.read_table(table))
        if table not in self._source_by_table:
            self._unsettled_tables.add(table)
        self._note_read(table)
        return changes

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return changed rows, from a relay or from the store.

        A relay that has lost the store says nothing of whether the store answers
        this node, so it is asked in any case, and how often is for the caller to say.
        """
        self._known_by_table[table] = after
        if table in self._unsettled_tables:
            self._unsettled_tables.discard(table)
            self._answered_tables.add(table)
            await asyncio.sleep(SETTLE_S)
        changes = await self._ask_relays(table, after)
        if changes is not None:
            self._answered_tables.discard(table)
            return changes
        return await self._feed_from_store(table, after, wait_s)

    async def _ask_relays(self, table: str, after: int | None) -> TableChanges | None:
        """Ask the relays of a table in turn; None where the store must be asked.

        After one that was silent, or answered only at the end of its wait, no other is
        asked: their waits would add up to more than a change may take.
        """
        last_at = self._clock() + RELAY_WAIT_S
        for relay in self._worth_asking(table):
            try:
                changes = await self._ask(
                    relay.internal, table, after, self._wait_s(relay, table)
                )
            except PeerUnreachable as error:
                self._note_failure(relay, table, error)
                return None
            except StoreUnavailable:
                # The store may have turned away this one alone.
                if self._clock() >= last_at:
                    return None
                continue
            self._distrusted_until.pop(relay.id, None)
            self._note_source(table, relay.id)
            return changes
        return None

    def _worth_asking(self, table: str) -> list[Member]:
        """Return the relays to ask, in order: one that failed lately is passed over.

        Where the store does not answer this node either, it comes after the others:
        nobody else would tell the node that it is well again.
        """
        relays = self._relays(table)
        trusted = [relay for relay in relays if self._is_trusted(relay)]
        if table not in self._lost_tables:
            return trusted
        return [*trusted, *(relay for relay in relays if relay not in trusted)]

    def _wait_s(self, relay: Member, table: str) -> float:
        """Return how long a relay may wait for changes.

        One that was not the source before is asked for what it has: it may be silent,
        after the time that it took to lose the source before it.
        """
        is_source = self._source_by_table.get(table) == relay.id
        return RELAY_WAIT_S if is_source and self._is_trusted(relay) else 0.0

    async def _feed_from_store(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        if table in self._answered_tables:
            await asyncio.sleep(self._pause_s_by_table.get(table, 0.0))
        else:
            # A call that does not wait tells soonest whether the store answers, and
            # is given up a second earlier where it does not.
            wait_s = 0.0
        self._answered_tables.discard(table)
        changes = await self._ask_store(table, self._store.feed(table, after, wait_s))
        self._answered_tables.add(table)
        self._note_read(table)
        return changes

    async def _ask_store(
        self, table: str, call: Awaitable[TableChanges]
    ) -> TableChanges:
        try:
            changes = await call
        except StoreUnavailable:
            self._lost_tables.add(table)
            raise
        self._lost_tables.discard(table)
        return changes

    def _note_read(self, table: str) -> None:
        self._read_at_by_table[table] = self._clock()
        self._note_source(table, "store")

    def _note_source(self, table: str, source: str) -> None:
        before = self._source_by_table.get(table)
        if source == before:
            return
        self._source_by_table[table] = source
        log(
            Part.STORE,
            "A table is read from another source.",
            table=table,
            source=source,
            before=before,
        )

    def _is_trusted(self, relay: Member) -> bool:
        return self._distrusted_until.get(relay.id, 0.0) <= self._clock()

    def _note_failure(self, relay: Member, table: str, error: PeerUnreachable) -> None:
        self._distrusted_until[relay.id] = self._clock() + BACKOFF_S
        log(
            Part.STORE,
            "The relay of a table does not answer; reading the store.",
            table=table,
            relay=relay.id,
            error=str(error),
        )


class TableRelay:
    """Answers other nodes from the tables that this one follows."""

    def __init__(
        self,
        table_by_name: Mapping[str, TableReplica],
        reads_from_store: Callable[[str], bool],
    ) -> None:
        self._table_by_name = table_by_name
        self._reads_itself = reads_from_store

    def previous_large_row(self, name: str, key: str, version: int) -> StoredRow | None:
        """Return the large row that the one of a key replaced after a version."""
        return self._table_by_name[name].previous_large_row(key, version)

    async def changes(
        self, name: str, after: int | None, wait_s: float
    ) -> TableChanges:
        """Return what changed after a version, waiting for the first change.

        Without a version the whole table is returned, at once.

        Raises :class:`StoreUnavailable` where this node is no relay, and
        :class:`HistoryGone` where it does not know so old a version.
        """
        table = self._table_by_name.get(name)
        if table is None:
            raise StoreUnavailable(name, "no such table is followed here")
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            if not table.reachable or not self._reads_itself(name):
                raise StoreUnavailable(name, "this node does not read the store")
            if after is None:
                return table.snapshot()
            changes = table.changes_after(after)
            if changes.rows or loop.time() >= end:
                return changes
            await table.wait_for_change(end - loop.time())
