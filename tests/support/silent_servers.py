"""Servers that fall silent for a while and then go on where they were."""

import asyncio

from .entry import EntryDeployment
from .fault_proxy import Direction, FaultProxy

__all__ = ["SilentServersDeployment"]


class SilentServersDeployment(EntryDeployment):
    """A deployment whose servers send and read nothing at times.

    They accept connections meanwhile. What was sent while a server was silent arrives
    once it goes on.
    """

    def __init__(self, nodes: int = 3, event_s: float = 0.1, servers: int = 3) -> None:
        super().__init__(nodes, event_s, servers)
        self._proxy_by_address: dict[str, FaultProxy] = {}

    async def __aexit__(self, *exc: object) -> None:
        """Stop the deployment and the proxies."""
        await super().__aexit__(*exc)
        for proxy in self._proxy_by_address.values():
            await proxy.stop()

    async def silence(self, service: str, for_s: float, servers: int = 3) -> None:
        """Keep some of a service's servers silent for ``for_s`` seconds."""
        silent = [
            self._proxy_by_address[engine.address]
            for engine in self.engines_by_service[service][:servers]
        ]
        for proxy in silent:
            proxy.blocked = set(Direction)
        await asyncio.sleep(for_s)
        for proxy in silent:
            proxy.heal()

    def drop_connections(self, service: str) -> None:
        """Drop all that open connections to a service carry, for good."""
        for engine in self.engines_by_service[service]:
            self._proxy_by_address[engine.address].silence()

    async def _advertised_address(self, address: str) -> str:
        proxy = FaultProxy(address)
        advertised = await proxy.start()
        self._proxy_by_address[advertised] = proxy
        return advertised
