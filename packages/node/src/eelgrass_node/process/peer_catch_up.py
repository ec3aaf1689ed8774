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

# The store gets this long to bring a version of which another node has told.
PATIENCE_S = 0.5
# Between two tries of a node that knows nothing yet.
START_RETRY_S = 0.3


class PeerCatchUp:
    """Asks other nodes where the store does not answer.

    ``ask`` takes in the state of the node at an address; ``number`` is that of
    the configuration in force here, -1 before the first. ``knows_tables`` says
    whether all that is needed to serve is known, from wherever. ``addresses`` are
    those to ask at the start.
    """

    def __init__(
        self,
        ask: Callable[[str], Awaitable[None]],
        number: Callable[[], int],
        knows_tables: Callable[[], bool],
        addresses: Callable[[], list[str]],
    ) -> None:
        self._ask = ask
        self._number = number
        self._knows_tables = knows_tables
        self._addresses = addresses
        self._tasks: set[asyncio.Task] = set()

    def heard(self, number: int, member: Member, age_s: float) -> None:
        """Note that another node has the configuration of that number."""
        if number <= self._number() or self._tasks:
            return
        task = asyncio.create_task(self._catch_up(number, member))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        """Ask nodes in turn until all tables are known, from wherever.

        One of them alone is not enough: a relay may have lost the other just before,
        and a node with a configuration and no servers refuses every request.
        """
        await asyncio.sleep(PATIENCE_S)
        while not self._knows_tables():
            addresses = self._addresses()
            if addresses:
                await self._try(random.choice(addresses))
            await asyncio.sleep(START_RETRY_S)

    async def _catch_up(self, number: int, member: Member) -> None:
        await asyncio.sleep(PATIENCE_S)
        if self._number() < number:
            await self._try(member.internal)

    async def _try(self, address: str) -> None:
        try:
            await self._ask(address)
        except PeerUnreachable as error:
            log(Part.CONFIGURATION, "No state from a node.", error=str(error))
