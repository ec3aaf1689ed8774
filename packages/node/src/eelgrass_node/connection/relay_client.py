"""Opens connections to servers through other nodes; see :mod:`.relays`."""

import asyncio
import socket
from functools import partial

import msgspec

from eelgrass_coordination import Member, StallAwareTimeout

from ..exceptions import AnswerMalformed, RelayUnavailable
from ..process.listening import Listening
from ..process.relay_choice import RelayChoice
from .answer_syntax import HeadParser, ParsedHead
from .races import first_success
from .relays import (
    MAX_HEAD_BYTES,
    OPENED_STATUS,
    PASSES_END_ON,
    REFUSED_STATUS,
    TIMED_OUT_STATUS,
)
from .response_handler import log_malformed
from .sockets import open_socket

__all__ = ["RelayClient", "RelayedSocket"]

# A relay has to connect to the server as well, and answers sooner if it cannot.
RELAY_TIMEOUT_S = 0.15
# Time between the starts of attempts with different relays: a round trip between data
# centres and a connection from there.
STAGGER_S = 0.02


class RelayedSocket(msgspec.Struct, frozen=True):
    """A socket that is connected to a server through ``relay``.

    ``is_end_passed_on`` tells whether a regular close is one of the server.
    """

    socket: socket.socket
    relay: Member
    is_end_passed_on: bool

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


class RelayClient:
    """Opens connections to servers through other nodes."""

    def __init__(self, choice: RelayChoice) -> None:
        self._choice = choice

    async def open(self, address: str, data_centre: str) -> RelayedSocket:
        """Return a connected socket to a server in a data centre, through a relay.

        Raises :class:`RelayUnavailable` if no relay has connected to the server.
        """
        members = self._choice.candidates(data_centre)
        if not members:
            raise RelayUnavailable(address, None)

        found: list[Listening | None] = []

        async def attempt(member: Member) -> RelayedSocket:
            try:
                return await self.open_through(member, address)
            except RelayUnavailable as error:
                found.append(error.listening)
                raise

        attempts = [partial(attempt, member) for member in members]
        try:
            return await first_success(attempts, STAGGER_S, RelayedSocket.close)
        except RelayUnavailable as error:
            raise RelayUnavailable(address, _combined(found)) from error

    async def probe(self, address: str, data_centre: str) -> Listening | None:
        """Return whether a server accepts connections from other nodes.

        None if no other node could try.
        """
        try:
            (await self.open(address, data_centre)).close()
        except RelayUnavailable as error:
            return error.listening
        return Listening.YES

    async def open_through(self, member: Member, address: str) -> RelayedSocket:
        """Return a connected socket to a server through one relay.

        Raises :class:`RelayUnavailable` if it has not connected to the server.
        """
        opened = open_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ()))
        try:
            head = await _ask(opened, member, address)
            if head.status != OPENED_STATUS:
                raise RelayUnavailable(address, _listening(head.status))
        except BaseException as error:
            opened.close()
            if isinstance(error, (OSError, TimeoutError, RelayUnavailable)):
                self._choice.on_unfit(member)
                if not isinstance(error, RelayUnavailable):
                    raise RelayUnavailable(address, None) from error
            raise
        self._choice.on_fit(member)
        return RelayedSocket(opened, member, PASSES_END_ON in head.data)

    async def answers(self, member: Member, address: str) -> bool:
        """Return whether a relay answers now, connected to a server or not."""
        opened = open_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ()))
        try:
            await _ask(opened, member, address)
        except (OSError, TimeoutError):
            return False
        finally:
            opened.close()
        return True


async def _ask(opened: socket.socket, member: Member, address: str) -> ParsedHead:
    """Ask a relay for a connection to a server; return the head of its answer."""
    host, _, port = member.gossip.rpartition(":")
    opened.setblocking(False)
    async with StallAwareTimeout(RELAY_TIMEOUT_S):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(opened, (host, int(port)))
        request = f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        await loop.sock_sendall(opened, request.encode())
        try:
            return await _read_head(opened)
        except AnswerMalformed as error:
            log_malformed(member.gossip, error)
            raise ConnectionAbortedError(str(error)) from error


async def _read_head(opened: socket.socket) -> ParsedHead:
    """Return the head of the answer to a CONNECT request.

    The answer has no body, and a server sends nothing before it has a request.
    """
    loop = asyncio.get_running_loop()
    parser = HeadParser()
    received = 0
    while received <= MAX_HEAD_BYTES:
        data = await loop.sock_recv(opened, MAX_HEAD_BYTES)
        if not data:
            raise ConnectionResetError("the relay closed the connection")
        received += len(data)
        head, rest = parser.feed(data)
        if rest:
            raise AnswerMalformed(f"{len(rest)} bytes behind its head")
        if head is not None and head.is_final:
            return head
    raise AnswerMalformed(f"no answer in {received} bytes")


def _combined(found: list[Listening | None]) -> Listening | None:
    """Return what several relays found out about a server.

    Those that are refused may have lost their own paths; one without an answer is
    enough to doubt that the server refuses connections.
    """
    if Listening.UNKNOWN in found:
        return Listening.UNKNOWN
    return Listening.NO if Listening.NO in found else None


def _listening(status: int) -> Listening | None:
    if status == REFUSED_STATUS:
        return Listening.NO
    return Listening.UNKNOWN if status == TIMED_OUT_STATUS else None
