"""The call with which a node asks its data centre's relay for changes of a table."""

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec
from aiohttp import web

from eelgrass_coordination import JsonDecoder

from ..exceptions import DifferenceMismatch, HistoryGone, StoreUnavailable
from ..log import Part, log
from ..process.row_difference import RowDifference, apply_difference, compute_difference
from ..process.store_tables import StoredRow, TableChanges
from ..process.table_relay import TableRelay
from .peer_answers import peer_answer
from .peer_calls import PeerCalls

__all__ = ["TableFeedClient", "TableFeedInterface"]

FEED_CALL = "table-feed"
# Added to the requested wait, for a round trip in the data centre and a busy node.
ANSWER_MARGIN_S = 0.3
# Upper bound for the wait that a node may request.
MAX_WAIT_S = 5.0


class _FeedRequest(msgspec.Struct):
    """Asks for the changes after a version, or for the full table without one.

    With ``takes_differences`` the relay may send a row as its difference to the row's
    value as of that version.
    """

    table: str
    after: int | None
    wait_s: float
    takes_differences: bool = False


class _Knowledge(Enum):
    """Whether a relay has the changes since the version that it was asked for."""

    KNOWN = "known"
    HISTORY_GONE = "history_gone"
    NO_STORE = "no_store"


class _FeedReply(msgspec.Struct, frozen=True):
    """The changes, if the relay has them; some rows may be sent as differences.

    The store acknowledged all of them later than ``acknowledged_after_s`` after the
    request arrived, which is negative in most cases; None if that is not known.
    """

    knowledge: _Knowledge
    changes: TableChanges | None = None
    differences: tuple[RowDifference, ...] = ()
    acknowledged_after_s: float | None = None


class TableFeedClient:
    """Asks relays at their internal addresses.

    ``local_row`` returns this node's copy of the row of a table and key.
    """

    def __init__(
        self, calls: PeerCalls, local_row: Callable[[str, str], StoredRow | None]
    ) -> None:
        self._calls = calls
        self._local_row = local_row
        # Tables of which an answer has started to arrive but is not complete.
        self.arriving: set[str] = set()

    async def ask(
        self, address: str, table: str, after: int | None, wait_s: float
    ) -> TableChanges:
        """Return a relay's changes after a version; it may wait for them ``wait_s``.

        With ``after=None`` it returns the full table.

        Raises :class:`PeerUnreachable`, :class:`HistoryGone`, and
        :class:`StoreUnavailable` if the relay does not read the store.
        """
        changes, differences = await self._ask(
            address, _FeedRequest(table, after, wait_s, takes_differences=True)
        )
        if not differences:
            return changes
        try:
            rebuilt = self._apply_differences(table, differences)
        except DifferenceMismatch as error:
            # This node got its copy of the row elsewhere, in another version.
            log(
                Part.STORE,
                "A difference does not fit the local row; requesting full rows.",
                table=table,
                error=str(error),
            )
            changes, _ = await self._ask(address, _FeedRequest(table, after, 0.0))
            return changes
        rows = sorted((*changes.rows, *rebuilt), key=lambda row: row.version)
        return msgspec.structs.replace(changes, rows=tuple(rows))

    async def _ask(
        self, address: str, feed: _FeedRequest
    ) -> tuple[TableChanges, tuple[RowDifference, ...]]:
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await self._calls.ask(
                address,
                FEED_CALL,
                feed,
                _FeedReply,
                feed.wait_s + ANSWER_MARGIN_S,
                lambda: self.arriving.add(feed.table),
            )
        finally:
            self.arriving.discard(feed.table)
        if reply.knowledge is _Knowledge.HISTORY_GONE:
            raise HistoryGone(feed.table)
        if reply.changes is None:
            reason = f"the relay at {address} does not read the store"
            raise StoreUnavailable(feed.table, reason)
        # The request arrived after it was sent, so the time is not too late.
        after_s = reply.acknowledged_after_s
        changes = msgspec.structs.replace(
            reply.changes,
            acknowledged_after=None if after_s is None else sent_at + after_s,
        )
        return changes, reply.differences

    def _apply_differences(
        self, table: str, differences: tuple[RowDifference, ...]
    ) -> list[StoredRow]:
        """Return the rows that result from this node's rows and the differences."""
        rows: list[StoredRow] = []
        for difference in differences:
            local = self._local_row(table, difference.key)
            if local is None or local.version < difference.version:
                rows.append(apply_difference(local, difference))
        return rows


class TableFeedInterface:
    """Answers the nodes of this node's data centre."""

    def __init__(self, relay: TableRelay) -> None:
        self._relay = relay
        self._decoder = JsonDecoder(_FeedRequest)

    async def handle_feed(self, request: web.Request) -> web.Response:
        """Answer ``POST /peer/v1/table-feed``.

        The reply states if the history was dropped or this node cannot serve the table.
        """
        feed = self._decoder.decode(await request.read())
        arrived_at = asyncio.get_running_loop().time()
        try:
            changes = await self._relay.changes(
                feed.table, feed.after, min(feed.wait_s, MAX_WAIT_S)
            )
            reply = self._reply(feed, changes, arrived_at)
        except HistoryGone:
            reply = _FeedReply(_Knowledge.HISTORY_GONE)
        except StoreUnavailable:
            reply = _FeedReply(_Knowledge.NO_STORE)
        return peer_answer(request, reply)

    def _reply(
        self, feed: _FeedRequest, changes: TableChanges, arrived_at: float
    ) -> _FeedReply:
        """Return a reply with the changes, large rows as differences if possible."""
        after_s = None
        if changes.acknowledged_after is not None:
            after_s = changes.acknowledged_after - arrived_at
        changes = TableChanges(changes.rows, changes.version)
        if not feed.takes_differences or feed.after is None:
            return _FeedReply(_Knowledge.KNOWN, changes, acknowledged_after_s=after_s)
        rows: list[StoredRow] = []
        differences: list[RowDifference] = []
        for row in changes.rows:
            base = self._relay.previous_large_row(feed.table, row.key, feed.after)
            if base is None or row.value is None:
                rows.append(row)
            else:
                differences.append(compute_difference(base, row))
        remaining = TableChanges(tuple(rows), changes.version)
        return _FeedReply(_Knowledge.KNOWN, remaining, tuple(differences), after_s)

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{FEED_CALL}", self.handle_feed)
