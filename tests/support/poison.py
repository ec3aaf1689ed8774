"""Servers that crash on a poison request and restart under another id."""

import asyncio

from eelgrass_standins.entry_engines import EngineStandIn

from .entry import EntryDeployment

__all__ = ["POISON", "CrashingServers"]

POISON = b"a prompt that ends its engine"
# The store entry of a crashed server expires after three heartbeats; the server has
# restarted by then.
RESTART_DELAY_S = 1.0


class CrashingServers(EntryDeployment):
    """A deployment whose servers crash on ``POISON`` and restart under another id.

    ``crashed`` lists the crashed servers and ``crashed_at`` the times of the crashes.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.crashed: list[EngineStandIn] = []
        self.crashed_at: list[float] = []
        self._restarts: set[asyncio.Task] = set()

    async def __aexit__(self, *exc: object) -> None:
        """Cancel pending restarts and close the deployment."""
        for task in self._restarts:
            task.cancel()
        await super().__aexit__(*exc)

    async def start_engine(self, service: str, server_id: str) -> EngineStandIn:
        """Start a server that crashes on ``POISON``, and write its store entry."""
        engine = await super().start_engine(service, server_id)
        engine.fatal = POISON
        crash = engine.crash

        def crash_and_restart() -> None:
            crash()
            self.crashed.append(engine)
            self.crashed_at.append(asyncio.get_running_loop().time())
            self._restarts.add(
                asyncio.create_task(self._restart_later(service, engine))
            )

        engine.crash = crash_and_restart
        return engine

    async def _restart_later(self, service: str, engine: EngineStandIn) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        self.store.remove("servers", engine.server_id)
        await self.start_engine(service, f"{service}-back-{len(self.crashed)}")
