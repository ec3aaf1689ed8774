"""Cuts single nodes of a test's process off from the backend servers.

Each node's connections to a server pass through a proxy of their own. Which node opens
a connection is known from a context variable, which the tasks of a node inherit from
the task that starts it.
"""

import asyncio
from collections.abc import Coroutine
from contextvars import Context, ContextVar
from enum import Enum
from typing import Any

from eelgrass_node.process.server_paths import Path

from .entry import EntryDeployment
from .fault_proxy import FaultProxy

__all__ = ["Cut", "LinkedDeployment", "cut_off", "source_ip"]

_node_number: ContextVar[int | None] = ContextVar("node_number", default=None)


class Cut(Enum):
    """What a cut does to a node's connections to servers.

    Silent: all of them hang. Reset: open ones are reset, and new ones refused. Refused:
    open ones live on, and only new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"


def source_ip(node: int) -> str:
    """Return the address from which servers see the connections of a node come."""
    return f"127.0.0.{node + 2}"


class LinkedDeployment(EntryDeployment):
    """A deployment in which tests cut the links of nodes to all servers.

    Servers see the connections of each node come from an address of its own. With
    ``proxied`` False there is no proxy between nodes and servers, so that both sides
    see how a connection ends; a cut then affects new connections only.
    """

    def __init__(self, *arguments: Any, proxied: bool = True, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._proxied = proxied

    async def __aenter__(self) -> "LinkedDeployment":
        """Start the deployment, with a proxy for each pair of node and server."""
        self._cut_by_node: dict[int, Cut] = {}
        self._proxy_by_link: dict[tuple[int, str], FaultProxy] = {}
        self._proxy_address_by_link: dict[tuple[int, str], str] = {}
        loop = asyncio.get_running_loop()
        self._sock_connect = loop.sock_connect
        loop.sock_connect = self._connect
        return await super().__aenter__()

    async def __aexit__(self, *exc: object) -> None:
        """Stop the proxies and the deployment."""
        asyncio.get_running_loop().sock_connect = self._sock_connect
        for proxy in self._proxy_by_link.values():
            await proxy.stop()
        await super().__aexit__(*exc)

    async def add_node(self):
        """Start one more node, whose tasks can be told from those of others."""
        return await self.run_as(len(self.nodes), super().add_node())

    async def run_as(self, node: int, coroutine: Coroutine) -> Any:
        """Run a coroutine as if a node ran it."""
        token = _node_number.set(node)
        try:
            return await coroutine
        finally:
            _node_number.reset(token)

    def cut(self, node: int, how: Cut) -> None:
        """Cut a node off from all servers."""
        self._cut_by_node[node] = how
        for (owner, _), proxy in self._proxy_by_link.items():
            if owner != node:
                continue
            if how is Cut.SILENT:
                proxy.silence()
            elif how is Cut.RESET:
                proxy.reset()

    def heal(self, node: int) -> None:
        """End the cut of a node; connections that fell silent stay so."""
        del self._cut_by_node[node]

    async def _connect(self, sock, address) -> None:
        node = _node_number.get()
        server = f"{address[0]}:{address[1]}"
        if node is None or server not in self._server_addresses():
            await self._sock_connect(sock, address)
            return
        cut = self._cut_by_node.get(node)
        if cut is Cut.SILENT:
            await asyncio.Event().wait()
        elif cut is not None:
            raise ConnectionRefusedError(f"{server} is cut off from node {node}")
        if not self._proxied:
            await self._sock_connect(sock, address)
            return
        host, _, port = (await self._proxy_address(node, server)).rpartition(":")
        sock.bind((source_ip(node), 0))
        await self._sock_connect(sock, (host, int(port)))

    def _server_addresses(self) -> set[str]:
        engines = self.engines_by_service.values()
        return {engine.address for group in engines for engine in group}

    async def _proxy_address(self, node: int, server: str) -> str:
        link = (node, server)
        if link not in self._proxy_by_link:
            proxy = self._proxy_by_link[link] = FaultProxy(server, keeps_source=True)
            # Not in the node's context: the proxy's own connections are never cut.
            start = asyncio.create_task(proxy.start(), context=Context())
            self._proxy_address_by_link[link] = await start
        while link not in self._proxy_address_by_link:  # noqa: ASYNC110
            await asyncio.sleep(0)
        return self._proxy_address_by_link[link]


async def cut_off(deployment: LinkedDeployment, node: int = 0) -> None:
    """Cut a node off from all servers, and wait until it knows."""
    deployment.cut(node, Cut.REFUSED)
    paths = deployment.nodes[node].server_links.paths
    for engines in deployment.engines_by_service.values():
        for engine in engines:
            await deployment.run_as(node, paths.check(engine.address))
            assert paths.path(engine.address) is Path.RELAYED
