"""Cuts between in-process nodes, the platform and backend servers.

A cut is made at the interfaces: what a node sends to a cut address is dropped,
and a connection to one times out, as if the network between had gone.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

import aiohttp

from eelgrass_node.process.node import Node

CONNECT_S = 0.3


class NetworkPartition:
    """The addresses that one node cannot reach."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._blocked: frozenset[str] = frozenset()
        self._wrap_gossip()
        self._wrap_session(node._session)
        self._wrap_backends()

    def block(self, addresses: Iterable[str]) -> None:
        """Cut the node off from these addresses only; from none to heal."""
        self._blocked = frozenset(addresses)

    def _wrap_gossip(self) -> None:
        send = self._node.membership._send

        def send_unless_cut(address: str, *rest: Any, **options: Any) -> None:
            if address not in self._blocked:
                send(address, *rest, **options)

        self._node.membership._send = send_unless_cut

    def _wrap_session(self, session: aiohttp.ClientSession) -> None:
        request = session._request

        async def request_unless_cut(method: str, url: Any, **options: Any) -> Any:
            await self._fail_if_cut(str(url))
            return await request(method, url, **options)

        session._request = request_unless_cut

    def _wrap_backends(self) -> None:
        for backend in self._node.backends.by_id.values():
            connections = backend.connections
            self._wrap_session(connections._reusing())
            self._wrap_session(connections._fresh())

    async def _fail_if_cut(self, url: str) -> None:
        host = url.removeprefix("http://").partition("/")[0]
        if host in self._blocked:
            await asyncio.sleep(CONNECT_S)
            raise aiohttp.ConnectionTimeoutError(f"{host} is cut off")
