"""Catches up with the platform's tables through other nodes.

The platform's store may be out of reach for this node alone, or for all. What
another node has read is as good as what the store says: rows carry their
version, and an older one is never taken.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from eelgrass_coordination import Member

from ..exceptions import PeerUnreachable
from ..log import Part, log

__all__ = ["PeerCatchUp"]

# The store gets this long to bring a version of which another node has told, and once
# more while an answer is coming: a second copy would only hold it up.
STORE_GRACE_S = 0.5
# Between two tries of a node that knows nothing yet.
START_RETRY_S = 0.3


class PeerCatchUp:
    """Asks other nodes where the store does not answer.

    ``ask`` takes in the state of the node at an address; ``number`` is that of
    the configuration in force here, -1 before the first. ``knows_tables`` says
    whether all that is needed to serve is known, from wherever. ``addresses`` are
    those to ask at the start. ``is_arriving`` says whether an answer from the store or
    a relay is coming.
    """

    def __init__(
        self,
        ask: Callable[[str], Awaitable[None]],
        number: Callable[[], int],
        is_ready: Callable[[], bool],
        addresses: Callable[[], list[str]],
        is_receiving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._ask = ask
        self._number = number
        self._is_ready = is_ready
        self._addresses = addresses
        self._is_receiving = is_receiving
        # The version that each node told of, by its address; the last to tell last.
        self._announced_by_address: dict[str, int] = {}
        self._task: asyncio.Task | None = None

    def on_number_announced(self, number: int, member: Member, age_s: float) -> None:
        """Note that another node has the configuration of that number."""
        if number <= self._number():
            return
        self._announced_by_address.pop(member.internal, None)
        self._announced_by_address[member.internal] = number
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._catch_up())

    async def start(self) -> None:
        """Ask nodes in turn until all tables are known, from wherever.

        One of them alone is not enough: a relay may have lost the other just before,
        and a node with a configuration and no servers refuses every request.
        """
        await asyncio.sleep(STORE_GRACE_S)
        while not self._is_ready():
            addresses = self._addresses()
            if addresses:
                await self._fetch_from(random.choice(addresses))
            await asyncio.sleep(START_RETRY_S)

    async def _catch_up(self) -> None:
        """Ask those that told of a newer version, until one has given it.

        One that is frozen is waited for, 0.8 s; the next is asked right after it, since
        the patience with the store and that wait have used up most of the 2 s within
        which a version must be in force.
        """
        await asyncio.sleep(STORE_GRACE_S)
        if self._is_receiving():
            await asyncio.sleep(STORE_GRACE_S)
        while address := self._last_announcer():
            del self._announced_by_address[address]
            await self._fetch_from(address)
        self._announced_by_address.clear()

    def _last_announcer(self) -> str | None:
        """Return who told last of a newer version: the least likely to be gone."""
        current = self._number()
        announced = reversed(self._announced_by_address.items())
        return next(
            (address for address, number in announced if number > current), None
        )

    async def _fetch_from(self, address: str) -> None:
        try:
            await self._ask(address)
        except PeerUnreachable as error:
            log(Part.CONFIGURATION, "No state from a node.", error=str(error))
