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
from .response_handler import SolicitedResponseHandler
from .socket_state import is_socket_readable

__all__ = ["EndWitnesses", "WitnessLease"]

# A process that ends closes its connections within this time of each other, as seen
# here. A witness must have been open for as long before it counts.
TOGETHER_S = 0.02
# The end of an answer may wait this long behind bytes that are still to be read.
LATE_END_S = 0.05
# Answers that follow within this time find the witness open.
KEEP_OPEN_S = 10.0

# Returns whether the process that listens now is the one of the answers; None if it
# did not say.
Confirm = Callable[[], Awaitable[bool | None]]


class WitnessLease:
    """The use of a witness for one answer, which comes on ``connection``.

    What the witness shows is noted as soon as that connection ends; the answer may be
    read much later.
    """

    def __init__(
        self,
        witness: "_Witness",
        connection: SolicitedResponseHandler,
        on_release: Callable[["WitnessLease"], None],
    ) -> None:
        self._witness = witness
        self._connection = connection
        self._on_release = on_release
        loop = asyncio.get_running_loop()
        self._verdict: asyncio.Future[bool | None] = loop.create_future()
        connection.on_end(self._note_end)

    @property
    def is_open(self) -> bool:
        """Whether the witness is open and counts."""
        return self._witness.is_ready

    async def process_goes_on(self) -> bool | None:
        """Return whether the other end went on as the connection ended.

        None if no connection can tell, as no other one was open.
        """
        return await asyncio.shield(self._verdict)

    def release(self) -> None:
        """End the use."""
        self._on_release(self)

    def _note_end(self) -> None:
        asyncio.get_running_loop().call_later(TOGETHER_S, self._judge)

    def _judge(self) -> None:
        if not self._verdict.done():
            verdict = self._witness.goes_on_since(self._connection.ended_at)
            self._verdict.set_result(verdict)


class EndWitnesses:
    """Keeps one idle connection open while answers need it, and some time longer.

    ``connect`` opens it, and raises :class:`OSError` if it cannot.
    """

    def __init__(
        self,
        connect: Callable[[], Awaitable[socket.socket]],
        keep_open_s: float = KEEP_OPEN_S,
    ) -> None:
        self._connect = connect
        self._keep_open_s = keep_open_s
        self._keep_until = float("-inf")
        self._leases: set[WitnessLease] = set()
        self._witness: _Witness | None = None
        self._timer: asyncio.TimerHandle | None = None

    def hold(
        self, connection: SolicitedResponseHandler, confirm: Confirm
    ) -> WitnessLease:
        """Keep a connection open for an answer that has begun.

        ``confirm`` is called once it is open.
        """
        if self._witness is None or self._witness.has_ended:
            self._witness = _Witness(self._connect, confirm)
        loop = asyncio.get_running_loop()
        self._keep_until = loop.time() + self._keep_open_s
        return self._lease(self._witness, connection)

    def hold_open(self, connection: SolicitedResponseHandler) -> WitnessLease | None:
        """Keep the connection open for a request that is sent; None if there is none.

        So an answer that is short has a witness as well.
        """
        if self._witness is None or not self._witness.is_ready:
            return None
        return self._lease(self._witness, connection)

    def close_if_idle(self) -> None:
        """Close the connection unless an answer needs it."""
        if not self._leases:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._cancel_timer()
        if self._witness is not None:
            self._witness.close()
            self._witness = None

    def _lease(
        self, witness: "_Witness", connection: SolicitedResponseHandler
    ) -> WitnessLease:
        self._cancel_timer()
        lease = WitnessLease(witness, connection, self._release)
        self._leases.add(lease)
        return lease

    def _release(self, lease: WitnessLease) -> None:
        self._leases.discard(lease)
        if self._leases or self._witness is None:
            return
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._keep_until, self.close)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _Witness(asyncio.Protocol):
    """One connection on which nothing is sent or expected.

    It counts once the process at its other end is confirmed: the one that listens may
    be another one than the one that answers.
    """

    def __init__(
        self, connect: Callable[[], Awaitable[socket.socket]], confirm: Confirm
    ) -> None:
        self._transport: asyncio.Transport | None = None
        self._lost_at: float | None = None
        self._ready_at = float("inf")
        self._opening = asyncio.create_task(self._open(connect, confirm))

    @property
    def is_ready(self) -> bool:
        """Whether the connection is open and counts."""
        now = asyncio.get_running_loop().time()
        return self._ready_at <= now and self._lost_at is None

    @property
    def has_ended(self) -> bool:
        """Whether the connection was lost, or could not be opened."""
        return self._lost_at is not None or (
            self._opening.done() and self._ready_at == float("inf")
        )

    def goes_on_since(self, ended_at: float) -> bool | None:
        """Return whether the process went on as another connection ended at a time.

        None if this connection cannot tell.
        """
        if self._ready_at > ended_at - TOGETHER_S:
            return None
        if self._lost_at is not None:
            return False if self._lost_at >= ended_at - LATE_END_S else None
        return not is_socket_readable(self._transport.get_extra_info("socket"))

    def close(self) -> None:
        """Close the connection, which then tells nothing any more."""
        self._opening.cancel()
        self._ready_at = float("inf")
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost_at = asyncio.get_running_loop().time()

    async def _open(
        self, connect: Callable[[], Awaitable[socket.socket]], confirm: Confirm
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            opened = await connect()
            try:
                await loop.create_connection(lambda: self, sock=opened)
            except BaseException:
                opened.close()
                raise
        except (OSError, TimeoutError) as error:
            log(
                Part.HOSTS,
                "No idle connection to a server could be opened; it is asked for its "
                "start where an answer ends with its connection.",
                error=repr(error),
            )
            return
        if await confirm() and self._lost_at is None:
            self._ready_at = loop.time()
        else:
            self._transport.abort()
