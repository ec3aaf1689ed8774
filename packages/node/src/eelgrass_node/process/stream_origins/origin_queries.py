"""Asks other nodes for the origin of a stream and collects their answers."""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager

import msgspec

from eelgrass_coordination import Member, StallAwareTimeout, stall_aware_wait
from eelgrass_coordination.ids import NodeId

from .messages import Answer, Ask
from .origin_table import StreamOrigin

__all__ = ["OriginQueries", "OriginSearch"]

# Parts of a timeout after which nodes that have not answered are asked again.
ASKS_PER_TIMEOUT = 2

# A node and its start.
_Incarnation = tuple[NodeId, int]


class OriginSearch:
    """The search for one origin: the nodes that were asked, and their answers.

    ``news`` is set when a node has answered, also a late one, or when the members have
    changed. ``complete`` is done once a node knows the origin, or all that were asked
    last have answered. ``numbers`` are those of the messages. ``is_list_confirmed``
    tells whether this node's list of servers and its roster of versions are known to be
    those of the store when the search began, or later.
    """

    def __init__(self, ask: Ask) -> None:
        self.ask = ask
        self.answers: list[Answer] = []
        self.news = asyncio.Event()
        self.complete = asyncio.get_running_loop().create_future()
        self.awaited: dict[_Incarnation, Member] = {}
        self.unanswered: dict[_Incarnation, Member] = {}
        self.numbers: list[int] = []
        self.is_list_confirmed = False
        self._asked: set[_Incarnation] = set()

    @property
    def origin(self) -> StreamOrigin | None:
        """The origin that a node answered with, an uncertain one before others."""
        found = [answer.origin for answer in self.answers if answer.origin is not None]
        return min(found, key=lambda origin: origin.version is not None, default=None)

    def not_asked(self, members: Iterable[Member]) -> list[Member]:
        """Return those of some nodes that were not asked since their start."""
        return [member for member in members if _incarnation(member) not in self._asked]

    def begin(self, members: Sequence[Member]) -> None:
        """Begin to ask some nodes."""
        self.complete = asyncio.get_running_loop().create_future()
        self.awaited = {_incarnation(member): member for member in members}
        self.unanswered |= self.awaited
        self._asked.update(self.awaited)

    def receive(self, member: Member, answer: Answer) -> None:
        """Add the first answer of a node."""
        key = _incarnation(member)
        if self.unanswered.pop(key, None) is None:
            return
        self.awaited.pop(key, None)
        self.answers.append(answer)
        self.news.set()
        is_complete = answer.origin is not None or not self.awaited
        if is_complete and not self.complete.done():
            self.complete.set_result(None)

    async def wait_for_news(self, within_s: float) -> None:
        """Wait for an answer or a change of the members, at most ``within_s``."""
        try:
            async with StallAwareTimeout(within_s):
                await self.news.wait()
        except TimeoutError:
            return


class OriginQueries:
    """The searches of this node; ``send`` sends a message to an address."""

    def __init__(self, send: Callable[[str, Ask], None]) -> None:
        self._send = send
        self._numbers = itertools.count(1)
        self._asked_by_number: dict[int, tuple[OriginSearch, Member]] = {}
        self._searches: set[OriginSearch] = set()

    @contextmanager
    def search(self, ask: Ask) -> Iterator[OriginSearch]:
        """Begin a search; answers are accepted for as long as the context lasts."""
        search = OriginSearch(ask)
        self._searches.add(search)
        try:
            yield search
        finally:
            self._searches.discard(search)
            for number in search.numbers:
                del self._asked_by_number[number]

    def on_members_changed(self) -> None:
        """Wake the searches that wait for other nodes to become known."""
        for search in self._searches:
            search.news.set()

    def receive(self, answer: Answer) -> None:
        """Handle the answer of a node."""
        asked = self._asked_by_number.get(answer.number)
        if asked is not None:
            search, member = asked
            search.receive(member, answer)

    async def ask(
        self, search: OriginSearch, members: Sequence[Member], within_s: float
    ) -> StreamOrigin | None:
        """Ask nodes until one knows the origin, all have answered, or time is up."""
        search.begin(members)
        for _ in range(ASKS_PER_TIMEOUT):
            if search.origin is not None or not search.awaited:
                break
            for member in search.awaited.values():
                self._send_ask(search, member)
            await stall_aware_wait(search.complete, within_s / ASKS_PER_TIMEOUT)
        return search.origin

    def _send_ask(self, search: OriginSearch, member: Member) -> None:
        number = next(self._numbers)
        search.numbers.append(number)
        self._asked_by_number[number] = (search, member)
        ask = msgspec.structs.replace(search.ask, number=number)
        self._send(member.gossip, ask)


def _incarnation(member: Member) -> _Incarnation:
    return member.id, member.epoch
