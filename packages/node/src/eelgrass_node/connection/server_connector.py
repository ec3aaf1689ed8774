"""Opens connections to one server, directly or through another node."""

import asyncio
import errno
import socket
import weakref
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from eelgrass_coordination import Member, StallAwareTimeout
from eelgrass_coordination.ids import NodeId

from ..exceptions import RelayUnavailable
from ..process.server_paths import Path, ServerPaths
from .answer_bounds import BoundedResponseHandler
from .backend import ServerLimited, ServerResting
from .calls import Call, CallConnector
from .end_witness import Confirm, EndWitnesses, WitnessLease
from .races import first_success
from .relay_client import RelayClient, RelayedSocket
from .response_handler import SolicitedResponseHandler, is_readable
from .socket_state import unacknowledged_bytes
from .sockets import open_socket

__all__ = ["ServerConnector", "ServerLink"]

# A connection is established in some ms. After this time another node is asked, too.
RELAY_DELAY_S = 0.06
# A connection that takes longer is not of use any more to most answers.
WITNESS_CONNECT_S = 0.3


async def always_permitted() -> bool:
    """Permit a request to a server without a limit."""
    return True


class ServerLink:
    """How connections to a server at ``address`` in ``data_centre`` are opened.

    ``relayed`` holds the connections that pass through another node, as they were
    opened. ``is_resting`` returns whether the server has asked this node for rest,
    ``take_permit`` whether it may get one more request now, and ``owns_address``
    whether no other server is listed at its address.
    """

    def __init__(
        self,
        paths: ServerPaths,
        relays: RelayClient,
        address: str,
        data_centre: str,
        is_resting: Callable[[], bool],
        take_permit: Callable[[], Awaitable[bool]] = always_permitted,
        owns_address: Callable[[], bool] = lambda: True,
    ) -> None:
        self.paths = paths
        self.relays = relays
        self.address = address
        self.data_centre = data_centre
        self.is_resting = is_resting
        self.take_permit = take_permit
        self.owns_address = owns_address
        self._witnesses_by_relay: dict[NodeId | None, EndWitnesses] = {}
        self.relayed: weakref.WeakKeyDictionary[ResponseHandler, RelayedSocket] = (
            weakref.WeakKeyDictionary()
        )

    def connector(self, **options: Any) -> "ServerConnector":
        """Return a new connector; ``options`` are those of the library."""
        return ServerConnector(self, **options)

    def open_relays(self) -> list[Member]:
        """Return the nodes through which connections are open."""
        relays = (opened.relay for opened in self.relayed.values())
        return list({relay.id: relay for relay in relays}.values())

    def suspect(self) -> None:
        """Check the path to the server after a sign that it may be lost."""
        self.paths.suspect(self.address)

    def hold_witness(
        self,
        connection: SolicitedResponseHandler,
        relay: Member | None,
        confirm: Confirm,
    ) -> WitnessLease | None:
        """Keep an idle connection open beside one, on the same path.

        None if the address belongs to another server by now.
        """
        if not self.owns_address():
            return None
        key = None if relay is None else relay.id
        witnesses = self._witnesses_by_relay.get(key)
        if witnesses is None:
            if relay is None:
                witnesses = EndWitnesses(self._connect_directly)
            else:
                # Not kept open, because it holds up a planned stop of the relay.
                connect = partial(self._connect_through, relay)
                witnesses = EndWitnesses(connect, keep_open_s=0.0)
            self._witnesses_by_relay[key] = witnesses
        return witnesses.hold(connection, confirm)

    def hold_open_witness(
        self, connection: SolicitedResponseHandler, relay: Member | None
    ) -> WitnessLease | None:
        """Keep an idle connection open if there is one on the same path."""
        key = None if relay is None else relay.id
        witnesses = self._witnesses_by_relay.get(key)
        return None if witnesses is None else witnesses.hold_open(connection)

    def close_witnesses(self, only_idle: bool = False) -> None:
        """Close the idle connections; with ``only_idle`` those that nobody needs."""
        for witnesses in self._witnesses_by_relay.values():
            if only_idle:
                witnesses.close_if_idle()
            else:
                witnesses.close()

    async def _connect_through(self, relay: Member) -> socket.socket:
        try:
            return (await self.relays.open_through(relay, self.address)).socket
        except RelayUnavailable as error:
            raise OSError(errno.EHOSTUNREACH, str(error)) from error

    async def _connect_directly(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        opened = open_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ()))
        try:
            opened.setblocking(False)
            async with StallAwareTimeout(WITNESS_CONNECT_S):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(opened, (host, int(port)))
        except TimeoutError as error:
            opened.close()
            raise OSError(errno.ETIMEDOUT, f"{self.address} is silent") from error
        except BaseException:
            opened.close()
            raise
        return opened


class ServerConnector(CallConnector):
    """A pool of connections to one server, direct or through other nodes."""

    def __init__(self, link: ServerLink, **options: Any) -> None:
        super().__init__(BoundedResponseHandler, **options)
        self._link = link

    async def _admit(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Get a connection; raises :class:`RequestWithheld` if nothing may be sent.

        The library sends the request as soon as it has the connection. The server may
        have asked for rest since it was chosen, or have named a limit. Calls of all
        kinds pass here.
        """
        connection = await super()._admit(req, traces, timeout)
        try:
            if self._link.is_resting():
                raise ServerResting(f"{self._link.address} has asked for rest")
            if not await self._link.take_permit():
                raise ServerLimited(f"no permit for {self._link.address}")
        except BaseException:
            connection.release()
            raise
        if is_readable(connection.protocol):
            # Something has arrived while the permit was awaited.
            connection.close()
            connection = await super()._admit(req, traces, timeout)
        return connection

    def _assign(self, handler: SolicitedResponseHandler, call: Call) -> None:
        super()._assign(handler, call)
        relayed = self._link.relayed.get(handler)
        if relayed is not None:
            call.path.relay = relayed.relay
            call.path.is_end_passed_on = relayed.is_end_passed_on

    def is_unacknowledged(self) -> bool:
        """Return whether bytes that were sent directly are not acknowledged yet."""
        return any(
            unacknowledged_bytes(protocol.transport.get_extra_info("socket"))
            for protocol in self._direct_in_use()
        )

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list, timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Open a connection; the library calls this if none is left in the pool."""
        paths, address = self._link.paths, self._link.address
        path = paths.path(address)

        connect = super()._create_connection

        async def direct() -> ResponseHandler:
            try:
                protocol = await connect(req, traces, timeout)
            except (aiohttp.ClientError, OSError):
                paths.suspect(address)
                raise
            paths.on_connected(address)
            return protocol

        async def relayed() -> ResponseHandler:
            if path is Path.DIRECT:
                paths.suspect(address)
            try:
                return await self._connect_relayed()
            except RelayUnavailable as error:
                paths.suspect(address)
                reason = OSError(errno.EHOSTUNREACH, str(error))
                raise aiohttp.ClientConnectorError(
                    req.connection_key, reason
                ) from error

        attempts: list[Callable[[], Awaitable[ResponseHandler]]] = [direct]
        if path is Path.RELAYED:
            attempts = [relayed, direct]
        elif path is Path.DIRECT:
            attempts = [direct, relayed]
        delay_s = 0.0 if paths.is_doubted(address) else RELAY_DELAY_S
        return await first_success(attempts, delay_s, ResponseHandler.close)

    async def _connect_relayed(self) -> ResponseHandler:
        link = self._link
        opened = await link.relays.open(link.address, link.data_centre)
        _, protocol = await self._loop.create_connection(
            self._factory, sock=opened.socket
        )
        link.relayed[protocol] = opened
        return protocol

    def _direct_in_use(self) -> list[ResponseHandler]:
        """Return the direct connections that carry a request."""
        return [
            protocol
            for protocol in self._acquired
            if isinstance(protocol, ResponseHandler)
            and protocol.transport is not None
            and protocol not in self._link.relayed
        ]
