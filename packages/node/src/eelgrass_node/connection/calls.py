"""One call to a backend server: its connection, and whether an answer belongs to it.

HTTP/1.1 matches answers to calls by their order on a connection. A faulty server may
send an answer once more, at any later time, and each answer behind it would be taken
for that of another call. Hence these rules, for direct and relayed connections alike:

- An answer that names an attempt belongs to the call of that attempt only. If a request
  is sent again, that call therefore gets a connection of its own as well.
- An answer that names none counts only as the first one on its connection, where no
  earlier answer can have come again. The connection gets no further call.
- Calls whose answers decide nothing share connections that carry no others. What such
  an answer says of its server counts only if it is the first one.

Other calls that name no attempt therefore get a connection each. Calls to other nodes
and to the store are exempt: these run this project's code or keep its contract, and do
not send answers again.
"""

from collections.abc import Callable
from typing import NewType

import aiohttp

from eelgrass_coordination import Member

from .piecewise_payload import UnsentBytes
from .response_handler import SolicitedResponseHandler
from .sockets import Connector

__all__ = [
    "ATTEMPT_HEADER",
    "AttemptOf",
    "Call",
    "CallConnector",
    "CallPath",
    "MisattributedAnswer",
    "NamedAttempt",
    "RawHeaders",
    "attempt_in_header",
]

# Names the attempt in calls and answers of the project's own protocol.
ATTEMPT_HEADER = "Attempt-Id"

# The id by which a call and its answer name the attempt that they belong to.
NamedAttempt = NewType("NamedAttempt", str)

RawHeaders = tuple[tuple[bytes, bytes], ...]

# Returns the attempt that the headers of an answer name, or None.
AttemptOf = Callable[[RawHeaders], NamedAttempt | None]


def attempt_in_header(raw_headers: RawHeaders) -> NamedAttempt | None:
    """Return the attempt that an answer in the project's own protocol names."""
    for name, value in raw_headers:
        if name.lower() == ATTEMPT_HEADER.lower().encode():
            return NamedAttempt(value.decode("latin-1")) if value else None
    return None


class MisattributedAnswer(aiohttp.ClientError):
    """The answer on a call's connection belongs to another call, or may do so."""


class CallPath:
    """The network path of one call.

    ``connection`` is None until the call has one, and ``relay`` the node that it passes
    through, None for a direct one. A path that is lost affects direct connections only.
    ``is_end_passed_on`` is True if the relay closes the connection regularly only where
    the server does. ``unsent`` counts the bytes of the body.
    """

    def __init__(self) -> None:
        self.unsent = UnsentBytes()
        self.connection: SolicitedResponseHandler | None = None
        self.relay: Member | None = None
        self.is_end_passed_on = False

    @property
    def is_direct(self) -> bool:
        """Whether the call has a connection that passes through no other node."""
        return self.connection is not None and self.relay is None


class Call:
    """What the library passes to the connector and the traces of one call.

    ``attempt`` is the attempt that the call names, None if it names none. ``decides``
    is whether anything depends on which call its answer belongs to.
    """

    def __init__(
        self,
        attempt: NamedAttempt | None,
        on_headers_sent: Callable[[], None],
        path: CallPath,
        decides: bool = True,
    ) -> None:
        self.attempt = attempt
        self.decides = decides
        self.on_headers_sent = on_headers_sent
        self.path = path

    def check_answer(self, named: NamedAttempt | None) -> bool:
        """Return whether an answer that names the attempt ``named`` is the call's own.

        Raises :class:`MisattributedAnswer` if it may not be and the call depends on it.
        The connection is aborted then, because the answers behind it are out of step,
        too.
        """
        connection = self.path.connection
        is_first = connection.calls == 1
        if named is None and not self.decides:
            return is_first
        if named is None and is_first:
            connection.retire()
            return True
        if named is not None and named == self.attempt:
            return True
        connection.abort()
        raise MisattributedAnswer(
            f"the answer to call {connection.calls} on a connection names attempt "
            f"{named!r}; the call is of {self.attempt!r}"
        )


class CallConnector(Connector):
    """A pool of connections to one server, which tells each call its connection."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Get a connection; see :meth:`.Connector.connect` for what it raises."""
        connection = await self._admit(req, traces, timeout)
        for call in _calls_of(traces):
            self._assign(connection.protocol, call)
        return connection

    async def _admit(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Get a connection on which the call may be sent."""
        return await super().connect(req, traces, timeout)

    def _assign(self, handler: SolicitedResponseHandler, call: Call) -> None:
        call.path.connection = handler
        handler.unsent = call.path.unsent


def _calls_of(traces: list[aiohttp.tracing.Trace]) -> list[Call]:
    # The library has no public way from a connection to its request.
    contexts = (trace._trace_config_ctx.trace_request_ctx for trace in traces)
    return [call for call in contexts if call is not None]
