"""How a node asks the relay of its data centre for changes of a table."""

from collections.abc import Callable
from enum import Enum

import msgspec
from aiohttp import web

from ..exceptions import DifferenceMismatch, HistoryGone, StoreUnavailable
from ..log import Part, log
from ..process.row_difference import RowDifference, apply_difference, compute_difference
from ..process.store_tables import StoredRow, TableChanges
from ..process.table_relay import TableRelay
from .peer_answers import peer_answer
from .peer_calls import PeerCalls

__all__ = ["TableFeedClient", "TableFeedInterface"]

FEED_CALL = "table-feed"
# Over the wait that was asked for; two ways in a data centre and a busy node.
SLACK_S = 0.3
# A wait that a node asks for is cut to this.
MAX_WAIT_S = 5.0


class _Feed(msgspec.Struct):
    """Asks for what changed after a version, or for the whole table.

    ``takes_differences`` says that a row which is known as of that version may be
    answered with what has changed in it.
    """

    table: str
    after: int | None
    wait_s: float
    takes_differences: bool = False


class _Knowledge(Enum):
    """What a relay can say of the version that it was asked for."""

    KNOWN = "known"
    HISTORY_GONE = "history_gone"
    NO_STORE = "no_store"


class _FeedReply(msgspec.Struct, frozen=True):
    """The changes, where the relay knows them; some rows as their differences."""

    knowledge: _Knowledge
    changes: TableChanges | None = None
    differences: tuple[RowDifference, ...] = ()


class TableFeedClient:
    """Asks relays at their internal addresses.

    ``known_row`` returns the row of a table and key as it is known here.
    """

    def __init__(
        self, calls: PeerCalls, known_row: Callable[[str, str], StoredRow | None]
    ) -> None:
        self._calls = calls
        self._known_row = known_row
        # Tables of which an answer has begun and is not whole yet.
        self.arriving: set[str] = set()

    async def ask(
        self, address: str, table: str, after: int | None, wait_s: float
    ) -> TableChanges:
        """Return the changes that a relay knows; ``wait_s`` bounds its wait.

        Without a version they are the whole table.

        Raises :class:`PeerUnreachable`, :class:`HistoryGone`, and
        :class:`StoreUnavailable` where the relay does not read the store.
        """
        changes, differences = await self._ask(
            address, _Feed(table, after, wait_s, takes_differences=True)
        )
        if not differences:
            return changes
        try:
            made = self._rows_made(table, differences)
        except DifferenceMismatch as error:
            # This node has the row from elsewhere, of another version.
            log(Part.STORE, "A row is asked for whole.", table=table, error=str(error))
            changes, _ = await self._ask(address, _Feed(table, after, 0.0))
            return changes
        rows = sorted((*changes.rows, *made), key=lambda row: row.version)
        return TableChanges(tuple(rows), changes.version)

    async def _ask(
        self, address: str, feed: _Feed
    ) -> tuple[TableChanges, tuple[RowDifference, ...]]:
        try:
            reply = await self._calls.ask(
                address,
                FEED_CALL,
                feed,
                _FeedReply,
                feed.wait_s + SLACK_S,
                lambda: self.arriving.add(feed.table),
            )
        finally:
            self.arriving.discard(feed.table)
        if reply.knowledge is _Knowledge.HISTORY_GONE:
            raise HistoryGone(feed.table)
        if reply.changes is None:
            reason = f"the relay at {address} does not read it"
            raise StoreUnavailable(feed.table, reason)
        return reply.changes, reply.differences

    def _rows_made(
        self, table: str, differences: tuple[RowDifference, ...]
    ) -> list[StoredRow]:
        """Return the rows that follow from those that are known here."""
        rows: list[StoredRow] = []
        for difference in differences:
            known = self._known_row(table, difference.key)
            if known is None or known.version < difference.version:
                rows.append(apply_difference(known, difference))
        return rows


class TableFeedInterface:
    """Answers nodes of the data centre."""

    def __init__(self, relay: TableRelay) -> None:
        self._relay = relay
        self._decoder = msgspec.json.Decoder(_Feed)

    async def handle_feed(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/table-feed``; a node that is no relay says so."""
        feed = self._decoder.decode(await request.read())
        try:
            changes = await self._relay.changes(
                feed.table, feed.after, min(feed.wait_s, MAX_WAIT_S)
            )
            reply = self._reply(feed, changes)
        except HistoryGone:
            reply = _FeedReply(_Knowledge.HISTORY_GONE)
        except StoreUnavailable:
            reply = _FeedReply(_Knowledge.NO_STORE)
        return peer_answer(request, reply)

    def _reply(self, feed: _Feed, changes: TableChanges) -> _FeedReply:
        """Return the reply with changes, with differences in place of large rows."""
        if not feed.takes_differences or feed.after is None:
            return _FeedReply(_Knowledge.KNOWN, changes)
        rows: list[StoredRow] = []
        differences: list[RowDifference] = []
        for row in changes.rows:
            before = self._relay.previous_large_row(feed.table, row.key, feed.after)
            if before is None or row.value is None:
                rows.append(row)
            else:
                differences.append(compute_difference(before, row))
        rest = TableChanges(tuple(rows), changes.version)
        return _FeedReply(_Knowledge.KNOWN, rest, tuple(differences))

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{FEED_CALL}", self.handle_feed)
