"""Records which service and software version began a stream, and finds it again.

What two versions of a server write does not fit together, so a stream that breaks may
go on only at the version that wrote its first event. Its caller may resume it at any
node, also after the node that served it has ended.

Example::

    await origins.record("9c41d07b", StreamOrigin(service, version), ttl_s=8.0)
    # At another node:
    origin = await origins.find("9c41d07b", service, max_age_s=8.0)
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from eelgrass_coordination import Member, StallAwareTimeout, stall_aware_wait

from ...log import Part, log
from ...version.deployment import ServiceName
from .durable_origins import AWAY_READ_TIMEOUT_S, READ_TIMEOUT_S, DurableOrigins
from .messages import Answer, Ask, Confirm, Store, decode, encode
from .origin_queries import OriginQueries, OriginSearch
from .origin_replication import OriginReplication
from .origin_table import OriginTable, StreamOrigin
from .replica_choice import ReplicaChoice
from .version_history import VersionHistory

__all__ = ["StreamOrigins"]

# How long the first event of a stream waits for another node to confirm its copy. Nodes
# answer within a few milliseconds; longer waits would be noticed by callers.
CONFIRM_TIMEOUT_S = 0.06
# Timeouts for the answers of the nodes that should have a copy, and of all others.
REPLICA_TIMEOUT_S = 0.05
ALL_NODES_TIMEOUT_S = 0.15
# How long after its start a node may not have heard of others that know an origin: a
# node that has restarted is found by others within some tenths of a second.
SETTLE_S = 1.5
# Streams are forgotten this long after their callers have left for certain.
EXPIRY_SLACK_S = 5.0


class StreamOrigins:
    """The origins of streams, as one node knows them and learns of them from others.

    ``members`` returns the other live nodes, ``dead_members`` those that are considered
    dead, and ``send`` sends a payload to one's address. ``history`` knows the versions
    from the list of servers. ``list_is_current`` returns whether the last call for that
    list was answered, and ``confirm_list`` asks the store for it and for the roster of
    versions now, and returns whether it has answered. ``durable`` are the origins in
    the store.
    """

    def __init__(
        self,
        choice: ReplicaChoice,
        members: Callable[[], Sequence[Member]],
        dead_members: Callable[[], Sequence[Member]],
        send: Callable[[str, bytes], None],
        history: VersionHistory,
        list_is_current: Callable[[], bool],
        confirm_list: Callable[[], Awaitable[bool]],
        durable: DurableOrigins,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._choice = choice
        self._members = members
        self._dead_members = dead_members
        self._send_payload = send
        self._history = history
        self._list_is_current = list_is_current
        self._confirm_list = confirm_list
        self._durable = durable
        self._clock = clock
        self._started_at = clock()
        self._settled_at = self._started_at + SETTLE_S
        self._count = count
        self._queries = OriginQueries(self._send)
        self._leaving = False
        self.table = OriginTable(clock)
        self.replication = OriginReplication(choice, self._send, clock)

    async def record(self, stream: str, origin: StreamOrigin, ttl_s: float) -> None:
        """Keep the origin of a stream that callers may resume for ``ttl_s`` seconds.

        Returns once another node has a copy, or after a short while without an answer.
        """
        ttl_s += EXPIRY_SLACK_S
        self.table.put(stream, origin, ttl_s)
        known = self.table.get(stream) or origin
        self._durable.add(stream, known, ttl_s)
        confirmed = self.replication.replicate(stream, known, ttl_s)
        if not await stall_aware_wait(confirmed, CONFIRM_TIMEOUT_S):
            self._count("stream.origin-unconfirmed")
            log(
                Part.REQUESTS,
                "No other node confirmed which version began a stream; its events are "
                "sent all the same.",
                id=stream,
                version=origin.version,
            )

    def release(self, stream: str) -> None:
        """Stop renewing the copies of a stream, which this node no longer serves."""
        self.replication.release(stream)

    async def find(
        self, stream: str | None, service: ServiceName | None, max_age_s: float
    ) -> StreamOrigin | None:
        """Return the origin of a stream that began within ``max_age_s`` seconds.

        None if neither a node nor the store knows it, unless all nodes agree that a
        single version of ``service`` can have begun it. ``service`` is None if several
        can have. A node that has just started waits until it has heard of the others.
        """
        known = self.table.get(stream) if stream else None
        if known is not None:
            return known
        ask = Ask(0, stream or "", service or ServiceName(""), max_age_s)
        replicas = self._choice.replicas(stream) if stream else []
        with self._queries.search(ask) as search:
            origin = await self._queries.ask(search, replicas, REPLICA_TIMEOUT_S)
            if origin is None:
                origin = await self._ask_others(search)
            if origin is None:
                origin = await self._look_further(search)
        if origin is None:
            self._log_unknown(search)
        return origin

    async def _look_further(self, search: OriginSearch) -> StreamOrigin | None:
        """Look in the store, ask nodes that become known, and exclude versions."""
        others = asyncio.create_task(self._ask_newcomers(search))
        confirming = asyncio.create_task(self._confirm_versions(search))
        lookups = [others]
        if search.ask.stream:
            # The list of servers is a table of the same store.
            is_store_answering = self._list_is_current()
            in_store = self._durable.find(search.ask.stream, others, is_store_answering)
            lookups.append(asyncio.create_task(in_store))
        try:
            origin = await _first_found(lookups) or search.origin
            if origin is None:
                await confirming
                origin = self._only_possible(search)
        finally:
            confirming.cancel()
            await asyncio.gather(confirming, return_exceptions=True)
        return origin

    async def _confirm_versions(self, search: OriginSearch) -> None:
        """Learn of the versions that were listed until the search began."""
        timeout_s = READ_TIMEOUT_S if self._list_is_current() else AWAY_READ_TIMEOUT_S
        try:
            async with StallAwareTimeout(timeout_s):
                search.is_list_confirmed = await self._confirm_list()
        except TimeoutError:
            return
        search.news.set()

    def on_members_changed(self) -> None:
        """Renew copies that were lost, and ask nodes that have become known."""
        self.replication.on_members_changed()
        self._queries.on_members_changed()

    def receive(self, payload: bytes, address: str) -> None:
        """Handle a message from another node."""
        try:
            message = decode(payload)
        except msgspec.MsgspecError:
            # From a node of another release.
            self._count("stream.message-unknown")
            return
        if isinstance(message, Store):
            self._on_store(message, address)
        elif isinstance(message, Confirm):
            self.replication.on_confirm(message.number)
        elif isinstance(message, Ask):
            self._send(address, self._answer(message))
        else:
            self._queries.receive(message)

    def leave(self) -> None:
        """Hand all origins over to other nodes, because this node is leaving."""
        self._leaving = True
        self._durable.leave()
        self.replication.hand_over(list(self.table.items()))

    def _on_store(self, message: Store, address: str) -> None:
        if self._leaving:
            # Without an answer the sender chooses another node.
            return
        self.table.put(message.stream, message.origin, message.ttl_s)
        self._send(address, Confirm(message.number))

    def _answer(self, ask: Ask) -> Answer:
        origin = self.table.get(ask.stream)
        if origin is not None:
            return Answer(ask.number, origin)
        versions = self._history.versions(ask.service, ask.max_age_s)
        covers = self._covers(ask) and self._list_is_current()
        return Answer(ask.number, None, tuple(versions), covers)

    def _covers(self, ask: Ask) -> bool:
        """Return whether this node knows all versions that can have begun a stream.

        One that has just started may not have heard of a version that was withdrawn.
        """
        return self._is_settled() and self._history.covers(ask.service, ask.max_age_s)

    async def _ask_others(self, search: OriginSearch) -> StreamOrigin | None:
        """Ask the nodes that were not asked yet."""
        search.news.clear()
        others = search.not_asked(self._members())
        return await self._queries.ask(search, others, ALL_NODES_TIMEOUT_S)

    async def _ask_newcomers(self, search: OriginSearch) -> StreamOrigin | None:
        """Ask nodes as they become known, until this one has settled.

        A single version that can have begun the stream ends it, too.
        """
        origin = None
        while origin is None and not self._is_settled():
            if self._only_possible(search) is not None:
                break
            await search.wait_for_news(self._settled_at - self._clock())
            origin = await self._ask_others(search)
        return origin

    def _is_settled(self) -> bool:
        return self._clock() >= self._settled_at

    def _only_possible(self, search: OriginSearch) -> StreamOrigin | None:
        """Return the origin if a single version can have begun a stream, else None."""
        ask = search.ask
        own = self._answer(msgspec.structs.replace(ask, stream=""))
        answers = [own, *search.answers]
        versions = {version for answer in answers for version in answer.versions}
        if len(versions) != 1:
            return None
        # A list is old if nothing was heard, whoever has it. Without the store no node
        # lists a new version, if all of them are in reach; one that is considered dead
        # may only be cut off.
        all_answered = (
            bool(search.answers) and not search.unanswered and not self._dead_members()
        )
        if not search.is_list_confirmed and not all_answered:
            return None
        if not self._covers(ask) and not any(answer.covers for answer in answers):
            return None
        return StreamOrigin(ask.service, versions.pop())

    def _log_unknown(self, search: OriginSearch) -> None:
        answers = search.answers
        versions = {version for answer in answers for version in answer.versions}
        self._count("stream.origin-unknown")
        log(
            Part.REQUESTS,
            "No node in reach knows which version began a stream.",
            id=search.ask.stream,
            members=len(self._members()),
            answered=len(answers),
            unanswered=len(search.unanswered),
            versions=sorted(versions),
            covering=sum(answer.covers for answer in answers),
            running_s=round(self._clock() - self._started_at, 2),
        )

    def _send(self, address: str, message: Store | Confirm | Ask | Answer) -> None:
        self._send_payload(address, encode(message))


async def _first_found(
    lookups: Sequence[asyncio.Task[StreamOrigin | None]],
) -> StreamOrigin | None:
    """Wait for lookups until one finds an origin; cancel the others."""
    try:
        for next_result in asyncio.as_completed(lookups):
            origin = await next_result
            if origin is not None:
                return origin
        return None
    finally:
        for lookup in lookups:
            lookup.cancel()
        await asyncio.gather(*lookups, return_exceptions=True)
