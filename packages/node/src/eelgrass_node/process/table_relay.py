"""Relays: one node of each data centre reads a table of the store for the others.

Calls to the store cost money and share one rate limit across all nodes: 82 nodes that
each follow two tables make 170 calls a second where six are enough. A node asks the
relay of its data centre, chosen by rendezvous hashing over the live members, and reads
the store itself as soon as the relay does not answer. A relay serves only tables that
it reads from the store itself, so two nodes can never follow each other.

The store may reject some nodes, including a relay. Followers then ask the next nodes in
hash order, up to ``RELAYS``, and the first of them that the store serves becomes the
relay. Without these fallbacks every follower would read the store for the length of the
outage.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from itertools import islice, takewhile
from typing import Protocol

import msgspec

from eelgrass_coordination import Member, MemberState, ranked

from ..exceptions import PeerUnreachable, StoreUnavailable
from ..log import Part, log
from .high_capacity_nodes import high_capacity_nodes
from .store_tables import StoredRow, TableChanges, TableReader, TableReplica

__all__ = ["RelayedReader", "StoreReader", "TableRelay", "relay_of", "relays_of"]

# How long a follower lets its relay wait for changes. With the slack that the client
# adds, a frozen relay is detected after 1.1 s. That leaves most of a second of the 2 s
# within which a change must be in force.
RELAY_WAIT_S = 0.8
# How many relays are asked in turn before the store. If the store rejects a third of
# all nodes, it rejects all three relays in one of 27 cases.
RELAYS = 3
# How long a relay that failed is skipped. Within a few seconds a frozen host resumes or
# the membership protocol declares a dead one dead.
BACKOFF_S = 3.0
# A node is a relay while its last read from the store is no older than this. It covers
# the time until the next answer begins: feed delay, wait and response timeout (1.6 s).
STORE_READ_MAX_AGE_S = 2.0
# A node that is still receiving an answer from the store counts as a relay for up to
# this long. Followers that waited longer could get the answer sooner from the store.
MAX_RECEIVE_S = 2.0

# How long a node that has just started and read a table from the store waits before it
# asks for changes. If all nodes start together, they learn about each other in that
# time, so that the node finds its relay instead of asking the store again. The rows it
# read are that old then, which leaves more than half of the 2 s within which a change
# must be in force.
MEMBERSHIP_SETTLE_S = 0.5

# Called with an address, a table, a version (None for a full read) and a wait.
AskRelay = Callable[[str, str, int | None, float], Awaitable[TableChanges]]


def relay_of(own: Member, members: list[Member], table: str) -> Member | None:
    """Return the relay of a table for ``own``'s data centre; None for ``own``."""
    return next(iter(relays_of(own, members, table)), None)


def relays_of(own: Member, members: list[Member], table: str) -> list[Member]:
    """Return the nodes to ask for changes of a table, in order.

    The list is empty for the first node of the data centre: it reads the store.
    """
    local = [
        member
        for member in members
        if member.data_centre == own.data_centre and member.state is MemberState.ALIVE
    ]
    candidates = high_capacity_nodes([*local, own], lambda member: member.capacity)
    order = ranked(candidates, f"table/{table}", name=lambda member: member.id)
    before_own = takewhile(lambda member: member.id != own.id, order)
    return list(islice(before_own, RELAYS))


class StoreReader(TableReader, Protocol):
    """The store, as :class:`RelayedReader` uses it."""

    def response_started_at(self, table: str) -> float | None:
        """Return when the answer being received began; None if there is none."""


class RelayedReader:
    """Reads the store's tables through a relay, or from the store if there is none.

    ``relays`` returns the relays of a table in the order in which to ask them. ``ask``
    raises :class:`PeerUnreachable`, :class:`HistoryGone`, or
    :class:`StoreUnavailable` if the relay itself does not read the store.
    ``feed_delay_s_by_table`` is how long to let changes accumulate between two feed
    calls to the store.
    """

    def __init__(
        self,
        store: StoreReader,
        relays: Callable[[str], Sequence[Member]],
        ask: AskRelay,
        feed_delay_s_by_table: Mapping[str, float],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._relays = relays
        self._ask = ask
        self._feed_delay_s_by_table = feed_delay_s_by_table
        self._clock = clock
        self._read_at_by_table: dict[str, float] = {}
        self._backed_off_until: dict[str, float] = {}
        # Tables for which the last call to the store failed.
        self._unavailable_tables: set[str] = set()
        # The version of the replica of each table.
        self._version_by_table: dict[str, int] = {}
        # Tables for which the store answered the last feed call.
        self._answering_tables: set[str] = set()
        # Tables read from the store at the start, before the first feed call.
        self._just_read_tables: set[str] = set()
        self._source_by_table: dict[str, str] = {}
        # The rows read from the store include all that it acknowledged until this time.
        self._complete_at_by_table: dict[str, float] = {}

    def reads_from_store(self, table: str) -> bool:
        """Return whether this node reads the table from the store, not from a relay."""
        since = self._store.response_started_at(table)
        if since is not None and self._clock() - since <= MAX_RECEIVE_S:
            # Otherwise every follower would read the same rows from the store.
            return True
        read_at = self._read_at_by_table.get(table, float("-inf"))
        return self._clock() - read_at <= STORE_READ_MAX_AGE_S

    async def read_table(self, table: str) -> TableChanges:
        """Return all rows of a table, from a relay or from the store.

        The answer of a relay that is behind this node is discarded.
        """
        changes = await self._ask_relays(table, None)
        if changes and changes.version >= self._version_by_table.get(table, -1):
            return changes
        began = self._clock()
        changes = await self._ask_store(table, self._store.read_table(table))
        self._complete_at_by_table[table] = began
        if table not in self._source_by_table:
            self._just_read_tables.add(table)
        self._record_store_read(table)
        return changes

    async def feed(self, table: str, after: int, wait_s: float) -> TableChanges:
        """Return changed rows, from a relay or from the store.

        A relay that has lost the store does not show whether the store answers this
        node. So the store is asked in any case, and the caller limits how often.
        """
        self._version_by_table[table] = after
        if table in self._just_read_tables:
            self._just_read_tables.discard(table)
            self._answering_tables.add(table)
            await asyncio.sleep(MEMBERSHIP_SETTLE_S)
        changes = await self._ask_relays(table, after)
        if changes is not None:
            self._answering_tables.discard(table)
            return changes
        return await self._feed_from_store(table, after, wait_s)

    async def feed_at_once(self, table: str, after: int) -> TableChanges:
        """Return changed rows from the store, whatever the relays have."""
        return await self._store.feed(table, after, 0.0)

    async def _ask_relays(self, table: str, after: int | None) -> TableChanges | None:
        """Ask the relays of a table in turn; return None if the store must be asked.

        No further relay is asked after one that did not answer, or answered only at the
        end of its wait: the waits would add up to more than a change may take.
        """
        retry_until = self._clock() + RELAY_WAIT_S
        for relay in self._relays_to_ask(table):
            try:
                changes = await self._ask(
                    relay.internal, table, after, self._wait_s(relay, table)
                )
            except PeerUnreachable as error:
                self._back_off(relay, table, error)
                return None
            except StoreUnavailable:
                # The store may have rejected this relay alone.
                if self._clock() >= retry_until:
                    return None
                continue
            self._backed_off_until.pop(relay.id, None)
            self._record_source(table, relay.id)
            return changes
        return None

    def _relays_to_ask(self, table: str) -> list[Member]:
        """Return the relays to ask, in order, without those that are backed off.

        If the store does not answer this node either, the backed-off relays are asked
        last: nothing else would show this node that they have recovered.
        """
        relays = self._relays(table)
        eligible = [relay for relay in relays if self._is_eligible(relay)]
        if table not in self._unavailable_tables:
            return eligible
        return [*eligible, *(relay for relay in relays if relay not in eligible)]

    def _wait_s(self, relay: Member, table: str) -> float:
        """Return how long a relay may wait for changes.

        A relay that was not the last source must answer at once with the rows that it
        has. It may be unresponsive too, and the failure of the last source took time.
        """
        is_source = self._source_by_table.get(table) == relay.id
        return RELAY_WAIT_S if is_source and self._is_eligible(relay) else 0.0

    async def _feed_from_store(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        if table in self._answering_tables:
            await asyncio.sleep(self._feed_delay_s_by_table.get(table, 0.0))
        else:
            # A call without a wait shows soonest whether the store answers, and times
            # out a second earlier if it does not.
            wait_s = 0.0
        self._answering_tables.discard(table)
        began = self._clock()
        changes = await self._ask_store(table, self._store.feed(table, after, wait_s))
        self._answering_tables.add(table)
        self._record_store_read(table)
        known_until = self._complete_at_by_table.get(table)
        if not changes.rows and self._clock() - began >= wait_s:
            # The store would have answered sooner if there had been a change.
            began += wait_s
        self._complete_at_by_table[table] = began
        return msgspec.structs.replace(changes, acknowledged_after=known_until)

    async def _ask_store(
        self, table: str, call: Awaitable[TableChanges]
    ) -> TableChanges:
        try:
            changes = await call
        except StoreUnavailable:
            self._unavailable_tables.add(table)
            raise
        self._unavailable_tables.discard(table)
        return changes

    def _record_store_read(self, table: str) -> None:
        self._read_at_by_table[table] = self._clock()
        self._record_source(table, "store")

    def _record_source(self, table: str, source: str) -> None:
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

    def _is_eligible(self, relay: Member) -> bool:
        return self._backed_off_until.get(relay.id, 0.0) <= self._clock()

    def _back_off(self, relay: Member, table: str, error: PeerUnreachable) -> None:
        self._backed_off_until[relay.id] = self._clock() + BACKOFF_S
        log(
            Part.STORE,
            "The relay of a table does not answer; reading the store.",
            table=table,
            relay=relay.id,
            error=str(error),
        )


class TableRelay:
    """Serves other nodes from this node's table replicas."""

    def __init__(
        self,
        table_by_name: Mapping[str, TableReplica],
        reads_from_store: Callable[[str], bool],
    ) -> None:
        self._table_by_name = table_by_name
        self._reads_from_store = reads_from_store

    def previous_large_row(self, name: str, key: str, version: int) -> StoredRow | None:
        """Return the large row that the current row replaced after ``version``."""
        return self._table_by_name[name].previous_large_row(key, version)

    async def changes(
        self, name: str, after: int | None, wait_s: float
    ) -> TableChanges:
        """Return the rows changed after a version, waiting for the first change.

        Without a version, return all rows of the table at once.

        Raises :class:`StoreUnavailable` if this node is not a relay, and
        :class:`HistoryGone` if its history does not go back to the version.
        """
        table = self._table_by_name.get(name)
        if table is None:
            raise StoreUnavailable(name, "this node has no replica of the table")
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            if not table.reachable or not self._reads_from_store(name):
                raise StoreUnavailable(
                    name, "this node does not read the table from the store"
                )
            if after is None:
                return table.snapshot()
            changes = table.changes_after(after)
            if changes.rows or loop.time() >= end:
                return changes
            await table.wait_for_change(end - loop.time())
