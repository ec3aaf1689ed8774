"""How a node asks the relay of its data centre for changes of a table."""

from enum import Enum

import msgspec
from aiohttp import web

from ..exceptions import HistoryGone, StoreUnavailable
from ..process.store_tables import TableChanges
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
    """Asks for what changed after a version, or for the whole table."""

    table: str
    after: int | None
    wait_s: float


class _Knowledge(Enum):
    """What a relay can say of the version that it was asked for."""

    KNOWN = "known"
    HISTORY_GONE = "history_gone"
    NO_STORE = "no_store"


class _FeedReply(msgspec.Struct, frozen=True):
    """The changes, where the relay knows them."""

    knowledge: _Knowledge
    changes: TableChanges | None = None


class TableFeedClient:
    """Asks relays at their internal addresses."""

    def __init__(self, calls: PeerCalls) -> None:
        self._calls = calls

    async def ask(
        self, address: str, table: str, after: int | None, wait_s: float
    ) -> TableChanges:
        """Return the changes that a relay knows; ``wait_s`` bounds its wait.

        Without a version they are the whole table.

        Raises :class:`PeerUnreachable`, :class:`HistoryGone`, and
        :class:`StoreUnavailable` where the relay does not read the store.
        """
        reply = await self._calls.ask(
            address,
            FEED_CALL,
            _Feed(table, after, wait_s),
            _FeedReply,
            wait_s + SLACK_S,
        )
        if reply.knowledge is _Knowledge.HISTORY_GONE:
            raise HistoryGone(table)
        if reply.changes is None:
            raise StoreUnavailable(table, f"the relay at {address} does not read it")
        return reply.changes


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
            reply = _FeedReply(_Knowledge.KNOWN, changes)
        except HistoryGone:
            reply = _FeedReply(_Knowledge.HISTORY_GONE)
        except StoreUnavailable:
            reply = _FeedReply(_Knowledge.NO_STORE)
        return peer_answer(request, reply)

    def add_routes(self, app: web.Application) -> None:
        """Add the route for other nodes."""
        app.router.add_post(f"/peer/v1/{FEED_CALL}", self.handle_feed)
