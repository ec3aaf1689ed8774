"""The HTTP connections to one backend server.

Redirects are not followed, because following a 307 would send the call a second time.
A call that must not be repeated gets a new connection: on a kept-alive one it could
fail because the server has just closed that connection. So does a call whose answer
names no attempt; see :mod:`.calls`.
"""

import asyncio
import weakref
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from eelgrass_coordination import Member

from ..log import Part, log
from ..process.listening import Listening
from .answer_bounds import BoundedResponseHandler
from .answer_head import AnswerHead, OnAnswer
from .calls import (
    ATTEMPT_HEADER,
    AttemptOf,
    Call,
    CallConnector,
    CallPath,
    MisattributedAnswer,
    NamedAttempt,
    attempt_in_header,
)
from .listen_probe import probe_listening
from .sockets import Connector, new_session

if TYPE_CHECKING:
    from .end_witness import Confirm, WitnessLease
    from .server_connector import ServerLink

__all__ = [
    "READ_BUFFER_BYTES",
    "BackendConnections",
    "RequestWithheld",
    "ServerLimited",
    "ServerResting",
]

CONNECT_S = 1.0
KEEP_ALIVE_S = 15.0
# A peer acknowledges what it receives within some ms, whatever its process does. A path
# on which nothing is acknowledged for this long after a call was sent may be lost.
ACKNOWLEDGE_S = 0.12
# What is buffered of an answer before its connection is not read any more.
READ_BUFFER_BYTES = 1 << 14
SESSION_OPTIONS = {"auto_decompress": False, "read_bufsize": READ_BUFFER_BYTES}
# Headers that the client library would add to a request that is forwarded unchanged.
AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class RequestWithheld(aiohttp.ClientConnectionError):
    """A request is not sent, because its server wants none from this node now."""


class ServerResting(RequestWithheld):
    """The server has asked this node for rest."""


class ServerLimited(RequestWithheld):
    """The server names a request limit, and this node has no permit."""


class BackendConnections:
    """Opens and keeps connections to ``address``, an IP address and port.

    With a ``link``, connections are opened through other nodes if necessary.
    ``on_answer`` is called with the head of each answer that belongs to its call,
    before who made the call sees it. ``attempt_of`` returns the attempt that an answer
    names.
    """

    def __init__(
        self,
        address: str,
        link: "ServerLink | None" = None,
        on_answer: OnAnswer = lambda answer: None,
        attempt_of: AttemptOf = attempt_in_header,
    ) -> None:
        self.address = address
        self._link = link
        self._on_answer = on_answer
        self._attempt_of = attempt_of
        self._session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None
        self._shared_session: aiohttp.ClientSession | None = None
        self._retired: list[aiohttp.ClientSession] = []
        self._calls_in_flight = 0
        self._reuse_from_s = 0.0
        self._path_lost_callbacks: list[Callable[[], None]] = []
        self._closing = False
        self._responses: weakref.WeakSet[aiohttp.ClientResponse] = weakref.WeakSet()

    def post(
        self, path: str, body: bytes, attempt_id: str, connect_s: float, reuse: bool
    ) -> "aiohttp.client._RequestContextManager":
        """Begin a POST.

        Connecting may take up to ``connect_s`` seconds, but no more than ``CONNECT_S``.
        Without ``reuse`` the call gets a connection of its own. It raises
        :class:`.MisattributedAnswer` if the answer may belong to another call.
        """
        session = self._session_for(reuse)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=min(connect_s, CONNECT_S)
        )
        return session.post(
            f"http://{self.address}{path}",
            data=body,
            headers={"Content-Type": "application/json", ATTEMPT_HEADER: attempt_id},
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=Call(NamedAttempt(attempt_id), lambda: None, CallPath()),
        )

    def request(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        connect_s: float,
        attempt: NamedAttempt | None = None,
        reuse: bool = False,
        decides: bool = True,
        on_sent: Callable[[], None] | None = None,
        path: CallPath | None = None,
    ) -> "aiohttp.client._RequestContextManager":
        """Begin a call whose target, headers and body are sent unchanged.

        ``attempt`` is the one that the call and its answer name. Only with it, and with
        ``reuse``, the call may get a connection that has served others, or if its
        answer ``decides`` nothing. ``on_sent`` is called once a connection is open and
        the headers are sent, and ``path`` is set once it is open. Raises
        :class:`.MisattributedAnswer` as :meth:`post` does.
        """

        path = path or CallPath()

        def on_headers_sent() -> None:
            if on_sent is not None:
                on_sent()
            if self._link is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(ACKNOWLEDGE_S, self._check_acknowledged)

        session = self._session_for(reuse and attempt is not None, decides)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s)
        return session.request(
            method,
            URL(f"http://{self.address}{target}", encoded=True),
            data=path.unsent.payload(body),
            headers=headers,
            skip_auto_headers=AUTOMATIC_HEADERS,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=Call(attempt, on_headers_sent, path, decides),
        )

    def replace(self) -> None:
        """Open new connections from now on; calls in flight keep theirs.

        Called after a connection has gone silent. A firewall or NAT on the path that
        dropped its state may have dropped that of the idle connections as well.
        """
        for session in (self._session, self._shared_session):
            if session is not None:
                self._retire(session)
        self._session = self._shared_session = None
        if self._link is not None:
            self._link.close_witnesses(only_idle=True)

    def hold_witness(self, path: CallPath, confirm: "Confirm") -> "WitnessLease | None":
        """Keep an idle connection open beside that of a call, to tell how it ends.

        ``confirm`` tells whether the process of the call listens. None if there can be
        no such connection; the lease must be released.
        """
        if self._link is None or path.connection is None:
            return None
        return self._link.hold_witness(path.connection, path.relay, confirm)

    def hold_open_witness(self, path: CallPath) -> "WitnessLease | None":
        """Do the same when a request is sent, if there is such a connection."""
        if self._link is None or path.connection is None:
            return None
        return self._link.hold_open_witness(path.connection, path.relay)

    async def listening(self) -> Listening:
        """Return whether a process listens at the address now, as far as is known."""
        if self._link is None:
            return await probe_listening(self.address)
        return await self._link.paths.check_anew(self.address)

    async def is_relay_answering(self, relay: Member) -> bool:
        """Return whether a node that connects to the server for this one answers."""
        return await self._link.relays.answers(relay, self.address)

    @property
    def owns_address(self) -> bool:
        """Whether no other server is listed at the address."""
        return self._link is None or self._link.owns_address()

    @property
    def is_used(self) -> bool:
        """Whether calls are in flight."""
        return self._calls_in_flight > 0

    def suspect_path(self) -> None:
        """Check the network path to the server, after a call that it did not answer."""
        if self._link is not None:
            self._link.suspect()

    def notify_path_lost(self) -> int:
        """Tell the calls in flight that the network path is lost; return their number.

        Each decides by itself whether it is given up. Relayed ones are told, too.
        """
        for callback in list(self._path_lost_callbacks):
            callback()
        return len(self._path_lost_callbacks)

    def begin_call(self, on_path_lost: Callable[[], None] | None = None) -> None:
        """Count a call that starts; its connections stay open until it ends.

        ``on_path_lost`` is called if the network path to the server is lost meanwhile.
        """
        self._calls_in_flight += 1
        if on_path_lost is not None:
            self._path_lost_callbacks.append(on_path_lost)

    def end_call(self, on_path_lost: Callable[[], None] | None = None) -> None:
        """Count a call that has ended, and close retired sessions after the last."""
        if on_path_lost is not None:
            self._path_lost_callbacks.remove(on_path_lost)
        self._calls_in_flight -= 1
        if self._calls_in_flight == 0:
            self._close_retired()

    def close_when_idle(self) -> None:
        """Close all connections once the last call in flight has ended."""
        self._closing = True
        if self._calls_in_flight == 0:
            self._close_retired()

    def track(self, response: aiohttp.ClientResponse) -> None:
        """Register a response whose body is being read, so that it can be aborted."""
        self._responses.add(response)

    def abort(self) -> int:
        """Abort all calls, because the server is known to have terminated.

        Returns how many calls were in flight.
        """
        in_flight = self._calls_in_flight
        self._closing = True
        for response in self._responses:
            # Closing the session alone would leave readers of a body waiting.
            if response.connection is not None and response.connection.transport:
                response.connection.transport.abort()
        self._close_retired()
        return in_flight

    async def close(self) -> None:
        """Close all connections immediately."""
        sessions = [*self._open_sessions(), *self._retired]
        self._session = self._single_use_session = self._shared_session = None
        self._retired = []
        if self._link is not None:
            self._link.close_witnesses()
        for session in sessions:
            await session.close()

    def _open_sessions(self) -> list[aiohttp.ClientSession]:
        sessions = (self._session, self._single_use_session, self._shared_session)
        return [session for session in sessions if session is not None]

    def _session_for(self, reuse: bool, decides: bool = True) -> aiohttp.ClientSession:
        """Return the session for a call, which may get a kept connection or not."""
        if not decides:
            if self._shared_session is None:
                self._shared_session = self._open_session(KEEP_ALIVE_S)
            return self._shared_session
        if reuse and asyncio.get_running_loop().time() >= self._reuse_from_s:
            return self._get_session()
        return self._get_single_use_session()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = self._open_session(KEEP_ALIVE_S)
        return self._session

    def _get_single_use_session(self) -> aiohttp.ClientSession:
        if self._single_use_session is None:
            self._single_use_session = self._open_session(None)
        return self._single_use_session

    def _open_session(self, keep_alive_s: float | None) -> aiohttp.ClientSession:
        return new_session(
            keep_alive_s,
            new_connector=self._new_connector,
            trace_configs=[self._new_trace()],
            **SESSION_OPTIONS,
        )

    def _new_connector(self, **options: Any) -> Connector:
        if self._link is None:
            return CallConnector(BoundedResponseHandler, **options)
        return self._link.connector(**options)

    def _new_trace(self) -> aiohttp.TraceConfig:
        """Return callbacks for each request that is sent and each answer."""

        async def sent(session, context, parameters) -> None:
            context.sent_at = asyncio.get_running_loop().time()
            if context.trace_request_ctx is not None:
                context.trace_request_ctx.on_headers_sent()

        async def answered(session, context, parameters) -> None:
            response, call = parameters.response, context.trace_request_ctx
            if call is not None and not self._check_answer(call, response):
                return
            self._on_answer(
                AnswerHead(
                    response.status,
                    response.headers,
                    parameters.url.path,
                    context.sent_at,
                )
            )

        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(sent)
        trace.on_request_end.append(answered)
        return trace

    def _check_answer(self, call: Call, response: aiohttp.ClientResponse) -> bool:
        """Return whether an answer belongs to a call; see :meth:`.Call.check_answer`.

        If it raises, the server's other connections may be out of step as well. None is
        used again until those that are open now have been idle for too long.
        """
        try:
            return call.check_answer(self._attempt_of(response.raw_headers))
        except MisattributedAnswer as error:
            self._reuse_from_s = asyncio.get_running_loop().time() + KEEP_ALIVE_S
            log(
                Part.HOSTS,
                "An answer may belong to another call; it is dropped with its "
                "connection.",
                address=self.address,
                path=response.url.raw_path,
                status=response.status,
                no_reuse_s=KEEP_ALIVE_S,
                error=str(error),
            )
            raise

    def _check_acknowledged(self) -> None:
        for session in self._open_sessions():
            if session.connector is not None and session.connector.is_unacknowledged():
                self._link.suspect()

    def _retire(self, session: aiohttp.ClientSession) -> None:
        self._retired.append(session)
        if self._calls_in_flight == 0:
            self._close_retired()

    def _close_retired(self) -> None:
        if self._closing:
            self._retired += self._open_sessions()
            self._session = self._single_use_session = self._shared_session = None
            if self._link is not None:
                self._link.close_witnesses()
        for session in self._retired:
            _close_in_background(session)
        self._retired = []


_closing_tasks: set[asyncio.Task] = set()


def _close_in_background(session: aiohttp.ClientSession) -> None:
    task = asyncio.create_task(session.close())
    _closing_tasks.add(task)
    task.add_done_callback(_closing_tasks.discard)
