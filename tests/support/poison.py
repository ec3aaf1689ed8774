"""Servers that end under a harmful request, and come back as servers do."""

import asyncio

from eelgrass_standins.entry_engines import EngineStandIn

from .entry import EntryDeployment

__all__ = ["POISON", "CrashingServers"]

POISON = b"a prompt that ends its engine"
# An entry lapses after three heartbeats, and the server is back by then.
BACK_S = 1.0


class CrashingServers(EntryDeployment):
    """Servers end under ``POISON`` and come back under another id.

    ``ended`` are those that have ended and ``ended_at`` the times of it.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.crashed: list[EngineStandIn] = []
        self.crashed_at: list[float] = []
        self._returns: set[asyncio.Task] = set()

    async def __aexit__(self, *exc: object) -> None:
        """Close everything at once."""
        for task in self._returns:
            task.cancel()
        await super().__aexit__(*exc)

    async def start_engine(self, service: str, server_id: str) -> EngineStandIn:
        """Start a server and list it."""
        engine = await super().start_engine(service, server_id)
        engine.fatal = POISON
        crash = engine.crash

        def end_and_return() -> None:
            crash()
            self.crashed.append(engine)
            self.crashed_at.append(asyncio.get_running_loop().time())
            self._returns.add(asyncio.create_task(self._return(service, engine)))

        engine.crash = end_and_return
        return engine

    async def _return(self, service: str, engine: EngineStandIn) -> None:
        await asyncio.sleep(BACK_S)
        self.store.remove("servers", engine.server_id)
        await self.start_engine(service, f"{service}-back-{len(self.crashed)}")
