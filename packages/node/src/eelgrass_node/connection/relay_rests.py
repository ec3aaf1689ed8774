"""Tells the relays of a node's connections for how long a server rests.

Each relay is told once for each rest, and again if the rest becomes longer.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from eelgrass_coordination import Member
from eelgrass_coordination.ids import NodeId

from ..exceptions import PeerUnreachable
from ..log import Part, log
from ..process.backends import ServerIncarnation

__all__ = ["RelayRests"]

# Relays are told again if a rest ends later than they know by more than this.
LONGER_S = 0.1

TellRelay = Callable[[Member, ServerIncarnation, float], Awaitable[None]]


class RelayRests:
    """What this node has told relays; ``tell`` makes the call to one."""

    def __init__(self, tell: TellRelay) -> None:
        self._tell = tell
        self._told_until: dict[tuple[NodeId, ServerIncarnation], float] = {}
        self._tasks: set[asyncio.Task] = set()

    def tell(
        self, relays: Iterable[Member], server: ServerIncarnation, left_s: float
    ) -> None:
        """Tell relays that a server rests for some more seconds, without waiting."""
        now = asyncio.get_running_loop().time()
        self._told_until = {k: u for k, u in self._told_until.items() if u > now}
        for relay in relays:
            key = (relay.id, server)
            if now + left_s - self._told_until.get(key, now) > LONGER_S:
                self._told_until[key] = now + left_s
                task = asyncio.create_task(self._tell_one(relay, server, left_s))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel all calls."""
        for task in self._tasks:
            task.cancel()

    async def _tell_one(
        self, relay: Member, server: ServerIncarnation, left_s: float
    ) -> None:
        try:
            await self._tell(relay, server, left_s)
        except PeerUnreachable as error:
            log(
                Part.HOSTS,
                "A relay was not told that a server asks for rest.",
                relay=relay.id,
                backend=server.id,
                error=str(error),
            )
