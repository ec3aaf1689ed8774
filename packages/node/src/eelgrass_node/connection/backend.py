"""The connections to one backend server.

Calls go out without redirects, since a followed 307 would send a call a second
time. A call that may not be repeated gets a connection of its own, so that it
cannot meet a kept-alive one that the other side has just closed.
"""

import asyncio
import weakref
from collections.abc import Callable

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from .sockets import Connector, new_session

__all__ = ["BackendConnections"]

CONNECT_S = 1.0
KEEP_ALIVE_S = 15.0
MAX_LINE = 1 << 20
SESSION_OPTIONS = {"auto_decompress": False, "read_bufsize": MAX_LINE}
# What the client library would add to a request that must go out unchanged.
LIBRARY_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class BackendConnections:
    """Kept-alive connections to ``address``, an IP address and port."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None
        self._retired: list[aiohttp.ClientSession] = []
        self._in_use = 0
        self._closing = False
        self._responses: weakref.WeakSet[aiohttp.ClientResponse] = weakref.WeakSet()
        self.aborted = False

    def post(
        self, path: str, body: bytes, attempt_id: str, connect_s: float, reuse: bool
    ) -> "aiohttp.client._RequestContextManager":
        """Begin a POST; ``connect_s`` bounds the time to connect, in seconds."""
        session = self._reusing() if reuse else self._fresh()
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=min(connect_s, CONNECT_S)
        )
        return session.post(
            f"http://{self.address}{path}",
            data=body,
            headers={"Content-Type": "application/json", "Attempt-Id": attempt_id},
            timeout=timeout,
            allow_redirects=False,
        )

    def request(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        connect_s: float,
        reuse: bool,
        on_sent: Callable[[], None] | None = None,
    ) -> "aiohttp.client._RequestContextManager":
        """Begin a call whose target, headers and body go out unchanged.

        ``on_sent`` is told when there is a connection and the request goes out.
        """
        session = self._reusing() if reuse else self._fresh()
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s)
        return session.request(
            method,
            URL(f"http://{self.address}{target}", encoded=True),
            data=body or None,
            headers=headers,
            skip_auto_headers=LIBRARY_HEADERS,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=on_sent,
        )

    def replace(self) -> None:
        """Use new connections from now on; those in use go on to their end.

        Called when one connection went silent: its idle neighbours may have
        been forgotten by whatever lies between in the same way.
        """
        if self._session is not None:
            self._retire(self._session)
            self._session = None

    def begin_call(self) -> None:
        """Note the start of a call."""
        self._in_use += 1

    def end_call(self) -> None:
        """Note the end of a call."""
        self._in_use -= 1
        if self._in_use == 0:
            self._close_retired()

    def close_when_idle(self) -> None:
        """Close once the last call has ended."""
        self._closing = True
        if self._in_use == 0:
            self._close_retired()

    def track(self, response: aiohttp.ClientResponse) -> None:
        """Note an answer whose body is being read, for :meth:`abort`."""
        self._responses.add(response)

    def abort(self) -> None:
        """Break off all calls, because the server is known to have ended.

        A body without a length then ends as if it were whole; ``aborted`` tells
        its reader that it is not.
        """
        self.aborted = True
        self._closing = True
        for response in self._responses:
            # Closing the session alone leaves readers of a body waiting.
            if response.connection is not None and response.connection.transport:
                response.connection.transport.abort()
        self._close_retired()

    async def close(self) -> None:
        """Close everything now."""
        sessions = [self._session, self._single_use, *self._retired]
        self._session = self._single_use = None
        self._retired = []
        for session in sessions:
            if session is not None:
                await session.close()

    def _reusing(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = new_session(
                KEEP_ALIVE_S, trace_configs=[_tells_when_sent()], **SESSION_OPTIONS
            )
            # The library would repeat a GET by itself on a dropped connection.
            # Repeats are decided and counted in one place only, and it has no
            # public option for this.
            self._session._retry_connection = False
        return self._session

    def _fresh(self) -> aiohttp.ClientSession:
        if self._single_use is None:
            self._single_use = aiohttp.ClientSession(
                connector=Connector(force_close=True),
                cookie_jar=aiohttp.DummyCookieJar(),
                trace_configs=[_tells_when_sent()],
                **SESSION_OPTIONS,
            )
        return self._single_use

    def _retire(self, session: aiohttp.ClientSession) -> None:
        self._retired.append(session)
        if self._in_use == 0:
            self._close_retired()

    def _close_retired(self) -> None:
        if self._closing:
            self._retired += [s for s in (self._session, self._single_use) if s]
            self._session = self._single_use = None
        for session in self._retired:
            _close_soon(session)
        self._retired = []


def _tells_when_sent() -> aiohttp.TraceConfig:
    """Return a trace that calls the ``on_sent`` of each request."""

    async def sent(session, context, parameters) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx()

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(sent)
    return trace


_closing_tasks: set[asyncio.Task] = set()


def _close_soon(session: aiohttp.ClientSession) -> None:
    task = asyncio.create_task(session.close())
    _closing_tasks.add(task)
    task.add_done_callback(_closing_tasks.discard)
