"""Opens connections to one server, directly or through another node."""

import errno
import fcntl
import struct
import termios
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from eelgrass_coordination import Member

from ..exceptions import RelayUnavailable
from ..process.server_paths import Path, ServerPaths
from .answer_bounds import BoundedResponseHandler
from .backend import ServerLimited, ServerResting
from .races import first_success
from .relays import RelayClient
from .response_handler import is_readable
from .sockets import Connector

__all__ = ["ServerConnector", "ServerLink"]

# A connection is established in some ms. After this time another node is asked, too.
RELAY_DELAY_S = 0.06


async def always_permitted() -> bool:
    """Permit a request to a server without a limit."""
    return True


class ServerLink:
    """How connections to a server at ``address`` in ``data_centre`` are opened.

    ``relayed`` holds the connections that pass through another node, with that node's
    record. ``is_resting`` returns whether the server has asked this node for rest, and
    ``take_permit`` whether it may get one more request now.
    """

    def __init__(
        self,
        paths: ServerPaths,
        relays: RelayClient,
        address: str,
        data_centre: str,
        is_resting: Callable[[], bool],
        take_permit: Callable[[], Awaitable[bool]] = always_permitted,
    ) -> None:
        self.paths = paths
        self.relays = relays
        self.address = address
        self.data_centre = data_centre
        self.is_resting = is_resting
        self.take_permit = take_permit
        self.relayed: weakref.WeakKeyDictionary[ResponseHandler, Member] = (
            weakref.WeakKeyDictionary()
        )

    def connector(self, **options: Any) -> "ServerConnector":
        """Return a new connector; ``options`` are those of the library."""
        return ServerConnector(self, **options)

    def open_relays(self) -> list[Member]:
        """Return the nodes through which connections are open."""
        return list({relay.id: relay for relay in self.relayed.values()}.values())

    def suspect(self) -> None:
        """Check the path to the server after a sign that it may be lost."""
        self.paths.suspect(self.address)


class ServerConnector(Connector):
    """A pool of connections to one server."""

    def __init__(self, link: ServerLink, **options: Any) -> None:
        super().__init__(BoundedResponseHandler, **options)
        self._link = link

    async def connect(
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
        connection = await super().connect(req, traces, timeout)
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
            connection = await super().connect(req, traces, timeout)
        for trace in traces:
            # The library has no public way from a connection to its request.
            call = trace._trace_config_ctx.trace_request_ctx
            if call is not None:
                call.path.connection = connection.protocol
                call.path.relay = self._link.relayed.get(connection.protocol)
        return connection

    def is_unacknowledged(self) -> bool:
        """Return whether bytes that were sent directly are not acknowledged yet."""
        return any(
            _unacknowledged_bytes(protocol.transport)
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
        link.relayed[protocol] = opened.relay
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


def _unacknowledged_bytes(transport: Any) -> int:
    """Return how many bytes in a socket's send queue the peer has not acknowledged."""
    opened = transport.get_extra_info("socket")
    if opened is None or opened.fileno() < 0:
        return 0
    buffer = fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", buffer)[0]
