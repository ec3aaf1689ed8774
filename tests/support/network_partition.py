"""Simulates network partitions of nodes that run in the test's process.

The faults are injected into the node's gossip sender and HTTP sessions. A gossip
message to a blocked address is dropped, and an HTTP request to one times out while
connecting, as when the network path is down.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

import aiohttp

from eelgrass_node.process.node import Node

CONNECT_TIMEOUT_S = 0.3


class NetworkPartition:
    """Blocks the traffic from one node to a set of addresses."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._blocked: frozenset[str] = frozenset()
        self._wrap_gossip()
        self._wrap_session(node._session)
        self._wrap_backends()

    def block(self, addresses: Iterable[str]) -> None:
        """Replace the set of blocked addresses; an empty set ends the partition."""
        self._blocked = frozenset(addresses)

    def _wrap_gossip(self) -> None:
        send = self._node.membership._send

        def send_unless_blocked(address: str, *rest: Any, **options: Any) -> None:
            if address not in self._blocked:
                send(address, *rest, **options)

        self._node.membership._send = send_unless_blocked

    def _wrap_session(self, session: aiohttp.ClientSession) -> None:
        request = session._request

        async def request_unless_blocked(method: str, url: Any, **options: Any) -> Any:
            await self._fail_if_blocked(str(url))
            return await request(method, url, **options)

        session._request = request_unless_blocked

    def _wrap_backends(self) -> None:
        for backend in self._node.backends.by_id.values():
            connections = backend.connections
            self._wrap_session(connections._get_session())
            self._wrap_session(connections._get_single_use_session())

    async def _fail_if_blocked(self, url: str) -> None:
        host = url.removeprefix("http://").partition("/")[0]
        if host in self._blocked:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise aiohttp.ConnectionTimeoutError(
                f"{host} is behind a network partition"
            )
