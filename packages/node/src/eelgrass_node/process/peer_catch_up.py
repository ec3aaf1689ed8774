"""Brings a node up to date from other nodes if the platform's store does not answer.

The store may be unreachable for this node alone, or for all. State that another node
has read is as good as the store's: rows carry their version, and an older row is never
applied.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from eelgrass_coordination import Member

from ..exceptions import PeerUnreachable
from ..log import Part, log

__all__ = ["PeerCatchUp"]

# How long to wait for the store to deliver a version that another node has announced.
# The wait is doubled while an answer is being received, because a second copy would
# only slow it down.
STORE_GRACE_S = 0.5
# The delay between two attempts of a node that has no state yet.
START_RETRY_S = 0.3


class PeerCatchUp:
    """Fetches state from other nodes if the store does not answer.

    ``ask`` fetches the state of the node at an address and applies it. ``number``
    returns the number of the configuration in force here, -1 before the first.
    ``has_caught_up`` returns whether the node has all state that others have.
    ``addresses`` returns the nodes to ask at the start. ``is_receiving`` returns
    whether an answer from the store or a relay is being received.
    """

    def __init__(
        self,
        ask: Callable[[str], Awaitable[None]],
        number: Callable[[], int],
        has_caught_up: Callable[[], bool],
        addresses: Callable[[], list[str]],
        is_receiving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._ask = ask
        self._number = number
        self._has_caught_up = has_caught_up
        self._addresses = addresses
        self._is_receiving = is_receiving
        # The version that each node announced, by address; the latest comes last.
        self._announced_by_address: dict[str, int] = {}
        self._task: asyncio.Task | None = None

    def on_number_announced(self, number: int, member: Member, age_s: float) -> None:
        """Fetch the configuration from another node if the store does not bring it."""
        if number <= self._number():
            return
        self._announced_by_address.pop(member.internal, None)
        self._announced_by_address[member.internal] = number
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._catch_up())

    async def start(self) -> None:
        """Ask random nodes until this node has caught up with the others.

        A configuration alone is not enough: the relay may have lost the server table,
        and a node with a configuration and no servers refuses every request. One that
        knows of no crashes serves, and sends on requests that crash servers.
        """
        await asyncio.sleep(STORE_GRACE_S)
        while not self._has_caught_up():
            addresses = self._addresses()
            if addresses:
                await self._fetch_from(random.choice(addresses))
            await asyncio.sleep(START_RETRY_S)

    async def _catch_up(self) -> None:
        """Ask the nodes that announced a newer version until one has delivered it.

        A frozen node is given up after 0.8 s and the next one is asked at once: the
        wait for the store and this one have used up most of the 2 s within which a
        version must be in force.
        """
        await asyncio.sleep(STORE_GRACE_S)
        if self._is_receiving():
            await asyncio.sleep(STORE_GRACE_S)
        while address := self._last_announcer():
            del self._announced_by_address[address]
            await self._fetch_from(address)
        self._announced_by_address.clear()

    def _last_announcer(self) -> str | None:
        """Return the last node to announce a newer version; it is most likely alive."""
        current = self._number()
        announced = reversed(self._announced_by_address.items())
        return next(
            (address for address, number in announced if number > current), None
        )

    async def _fetch_from(self, address: str) -> None:
        try:
            await self._ask(address)
        except PeerUnreachable as error:
            log(
                Part.CONFIGURATION, "A node did not return its state.", error=str(error)
            )
