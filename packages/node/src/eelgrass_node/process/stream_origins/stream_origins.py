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
import itertools
from collections.abc import Callable, Sequence

import msgspec

from eelgrass_coordination import Member, stall_aware_wait
from eelgrass_coordination.ids import NodeId

from ...log import Part, log
from ...version.deployment import ServiceName
from .messages import Answer, Ask, Confirm, Store, decode, encode
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
# Parts of a timeout after which nodes that have not answered are asked again.
ASKS_PER_TIMEOUT = 2
# Streams are forgotten this long after their callers have left for certain.
EXPIRY_SLACK_S = 5.0


class _Query:
    """A question to some nodes, and their answers."""

    def __init__(self, members: Sequence[Member]) -> None:
        self.member_by_number: dict[int, Member] = {}
        self.unanswered: dict[NodeId, Member] = {m.id: m for m in members}
        self.answers: list[Answer] = []
        self.complete = asyncio.get_running_loop().create_future()

    def receive(self, answer: Answer) -> None:
        """Add the answer of a node; one origin completes the query."""
        member = self.member_by_number[answer.number]
        if self.unanswered.pop(member.id, None) is None:
            return
        self.answers.append(answer)
        if self.complete.done():
            return
        if answer.origin is not None or not self.unanswered:
            self.complete.set_result(None)


class StreamOrigins:
    """The origins of streams, as one node knows them and learns of them from others.

    ``members`` returns the other live nodes, and ``send`` sends a payload to one's
    address. ``list_is_current`` returns whether the node is in touch with the list of
    servers, from which ``history`` knows their versions.
    """

    def __init__(
        self,
        choice: ReplicaChoice,
        members: Callable[[], Sequence[Member]],
        send: Callable[[str, bytes], None],
        history: VersionHistory,
        list_is_current: Callable[[], bool],
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._choice = choice
        self._members = members
        self._send_payload = send
        self._history = history
        self._list_is_current = list_is_current
        self._clock = clock
        self._started_at = clock()
        self._count = count
        self._numbers = itertools.count(1)
        self._query_by_number: dict[int, _Query] = {}
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

        None if no node knows it, unless all agree that a single version of ``service``
        can have begun it. ``service`` is None if several can have.
        """
        known = self.table.get(stream) if stream else None
        if known is not None:
            return known
        ask = Ask(0, stream or "", service or ServiceName(""), max_age_s)
        replicas = self._choice.replicas(stream) if stream else []
        first = await self._ask(replicas, ask, REPLICA_TIMEOUT_S)
        origin = _origin(first)
        if origin is not None:
            return origin
        asked = {member.id for member in replicas}
        others = [member for member in self._members() if member.id not in asked]
        second = await self._ask(others, ask, ALL_NODES_TIMEOUT_S)
        origin = _origin(second) or self._only_possible(ask, (first, second))
        if origin is None:
            self._log_unknown(ask, (first, second))
        return origin

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
            query = self._query_by_number.get(message.number)
            if query is not None:
                query.receive(message)

    def leave(self) -> None:
        """Hand all origins over to other nodes, because this node is leaving."""
        self._leaving = True
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
        covers = self._history.covers(ask.service, ask.max_age_s)
        return Answer(
            ask.number, None, tuple(versions), covers and self._list_is_current()
        )

    async def _ask(
        self, members: Sequence[Member], ask: Ask, within_s: float
    ) -> _Query:
        """Ask nodes until one knows the origin, all have answered, or time is up."""
        query = _Query(members)
        try:
            for _ in range(ASKS_PER_TIMEOUT):
                if not query.unanswered or query.complete.done():
                    break
                self._send_asks(query, ask)
                await stall_aware_wait(query.complete, within_s / ASKS_PER_TIMEOUT)
        finally:
            for number in query.member_by_number:
                del self._query_by_number[number]
        return query

    def _send_asks(self, query: _Query, ask: Ask) -> None:
        """Ask the nodes that have not answered yet."""
        for member in list(query.unanswered.values()):
            number = next(self._numbers)
            query.member_by_number[number] = member
            self._query_by_number[number] = query
            self._send(member.gossip, msgspec.structs.replace(ask, number=number))

    def _only_possible(
        self, ask: Ask, queries: tuple[_Query, _Query]
    ) -> StreamOrigin | None:
        """Return the origin if a single version can have begun a stream, else None."""
        own = self._answer(msgspec.structs.replace(ask, stream=""))
        answers = [own, *(answer for query in queries for answer in query.answers)]
        versions = {version for answer in answers for version in answer.versions}
        if len(versions) != 1:
            return None
        # Without the store no node lists a new version, if all of them are in reach.
        all_answered = not any(query.unanswered for query in queries)
        covers = self._history.covers(ask.service, ask.max_age_s) and all_answered
        if not covers and not any(answer.covers for answer in answers):
            return None
        return StreamOrigin(ask.service, versions.pop())

    def _log_unknown(self, ask: Ask, queries: tuple[_Query, _Query]) -> None:
        answers = [answer for query in queries for answer in query.answers]
        versions = {version for answer in answers for version in answer.versions}
        self._count("stream.origin-unknown")
        log(
            Part.REQUESTS,
            "No node in reach knows which version began a stream.",
            id=ask.stream,
            members=len(self._members()),
            answered=len(answers),
            unanswered=sum(len(query.unanswered) for query in queries),
            versions=sorted(versions),
            covering=sum(answer.covers for answer in answers),
            running_s=round(self._clock() - self._started_at, 2),
        )

    def _send(self, address: str, message: Store | Confirm | Ask | Answer) -> None:
        self._send_payload(address, encode(message))


def _origin(query: _Query) -> StreamOrigin | None:
    """Return the origin that a node answered with, an uncertain one before others."""
    found = [answer.origin for answer in query.answers if answer.origin is not None]
    return min(found, key=lambda origin: origin.version is not None, default=None)
