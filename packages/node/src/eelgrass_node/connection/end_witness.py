"""Idle connections that show whether the process at their other end has ended.

The kernel closes the connections of a process that ends as regularly as the process
closes one behind a whole answer, but it closes all of them. An idle connection that
stays open when another one to the same process is closed is a witness that the process
goes on. One that passes through the same relay says the same of the relay.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from ..log import Part, log
from .response_handler import SolicitedResponseHandler, is_socket_readable

__all__ = ["EndWitness", "WitnessLease"]

# A process that ends closes its connections within this time of each other, as seen
# here. A witness must have been open for as long before it counts.
TOGETHER_S = 0.02
# The end of a connection may wait this long behind bytes that are still to be read.
# After a loss of the witness alone, the next one is opened after this time.
REOPEN_S = 0.25
# Answers that follow within this time find the witness open.
KEEP_OPEN_S = 10.0


class WitnessLease:
    """The use of a witness for one answer, which comes on ``connection``."""

    def __init__(
        self, witness: "EndWitness", connection: SolicitedResponseHandler
    ) -> None:
        self._witness = witness
        self._connection = connection
        self._held_at = asyncio.get_running_loop().time()
        # Whether the witness was lost while the answer may have ended unnoticed.
        self._is_broken = False

    async def process_goes_on(self) -> bool | None:
        """Return whether the other end went on as the connection ended.

        None if no connection can tell, as no other one was open.
        """
        ended_at = self._connection.ended_at
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, ended_at + TOGETHER_S - loop.time()))
        lost_since = max(ended_at - REOPEN_S, self._held_at - TOGETHER_S)
        if self._is_broken or self._witness.lost_at >= lost_since:
            return False
        if self._witness.was_open_since(ended_at - TOGETHER_S):
            return True
        return None

    def on_witness_lost(self) -> None:
        """Note whether the end of the connection would be noticed by now."""
        transport = self._connection.transport
        if transport is None or not transport.is_reading():
            self._is_broken = True

    def release(self) -> None:
        """End the use."""
        self._witness.release(self)


class EndWitness:
    """One idle connection, kept open while answers need it and some time longer.

    ``connect`` opens it, and raises :class:`OSError` if it cannot. ``may_connect``
    returns whether the address still belongs to the process.
    """

    def __init__(
        self,
        connect: Callable[[], Awaitable[socket.socket]],
        may_connect: Callable[[], bool],
        keep_open_s: float = KEEP_OPEN_S,
    ) -> None:
        self._connect = connect
        self._may_connect = may_connect
        self._keep_open_s = keep_open_s
        self._leases: set[WitnessLease] = set()
        self._transport: asyncio.Transport | None = None
        self._opening: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._opened_at = float("inf")
        self.lost_at = float("-inf")

    def hold(self, connection: SolicitedResponseHandler) -> WitnessLease:
        """Keep a connection open for an answer that has begun."""
        self._cancel_timer()
        lease = WitnessLease(self, connection)
        self._leases.add(lease)
        if self._transport is None:
            self._open()
        return lease

    def release(self, lease: WitnessLease) -> None:
        """End the use for one answer."""
        self._leases.discard(lease)
        if self._leases:
            return
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._keep_open_s, self.close)

    def close_if_idle(self) -> None:
        """Close the connection unless an answer needs it."""
        if not self._leases:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._cancel_timer()
        if self._opening is not None:
            self._opening.cancel()
        if self._transport is not None:
            transport, self._transport = self._transport, None
            transport.abort()

    def was_open_since(self, at: float) -> bool:
        """Return whether the connection is open now, and was open at a time."""
        if self._transport is None or self._opened_at > at:
            return False
        return not is_socket_readable(self._transport.get_extra_info("socket"))

    def on_lost(self, transport: asyncio.Transport) -> None:
        """Handle the end of the connection."""
        if self._transport is not transport:
            return
        self._transport = None
        loop = asyncio.get_running_loop()
        self.lost_at = loop.time()
        if self._leases:
            self._cancel_timer()
            self._timer = loop.call_later(REOPEN_S, self._reopen)
        self._notify_leases()

    def _reopen(self) -> None:
        """Open the next connection, for answers that have not ended by now."""
        self._notify_leases()
        self._open()

    def _notify_leases(self) -> None:
        for lease in self._leases:
            lease.on_witness_lost()

    def _open(self) -> None:
        if self._opening is None and self._may_connect():
            self._opening = asyncio.create_task(self._open_connection())
            self._opening.add_done_callback(lambda _: self._end_opening())

    def _end_opening(self) -> None:
        self._opening = None

    async def _open_connection(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            opened = await self._connect()
            try:
                transport, _ = await loop.create_connection(
                    lambda: _IdleProtocol(self), sock=opened
                )
            except BaseException:
                opened.close()
                raise
        except (OSError, TimeoutError) as error:
            log(
                Part.HOSTS,
                "No second connection to a server, to tell by how its answers end.",
                error=repr(error),
            )
            return
        self._transport = transport
        self._opened_at = loop.time()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _IdleProtocol(asyncio.Protocol):
    """A connection on which nothing is sent or expected."""

    def __init__(self, witness: EndWitness) -> None:
        self._witness = witness
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._witness.on_lost(self._transport)
