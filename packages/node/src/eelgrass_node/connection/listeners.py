"""The HTTP listeners of a process, which are closed together when it stops."""

import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web

from ..process.memory_budget import ConnectionBudgets
from .bounded_server import BoundedServer
from .sockets import set_buffers

__all__ = ["Listeners"]

# How long closing a listener waits for its handlers. A planned stop has already waited
# for the requests in flight by then.
CLOSE_S = 0.1
BACKLOG = 512
# Connections that the event loop accepts in one turn. Those that there is no room for
# are only closed in the next one.
ACCEPTS_PER_TURN = 32


class Listeners:
    """Listens at addresses that are each given as IP address and port.

    Web applications are served on connections within ``budgets``, and ``count`` counts
    those that are closed for want of room. Closing waits ``close_s`` seconds for
    handlers.
    """

    def __init__(
        self,
        budgets: ConnectionBudgets,
        count: Callable[[str], None],
        close_s: float = CLOSE_S,
    ) -> None:
        self._budgets = budgets
        self._count = count
        self._close_s = close_s
        self._runners: list[web.ServerRunner | web.AppRunner] = []

    async def serve(self, server: web.Server, address: str) -> None:
        """Serve a low-level server at an address; raises :class:`OSError`."""
        await self._start(
            web.ServerRunner(server, shutdown_timeout=self._close_s), address
        )

    async def serve_app(
        self,
        app: web.Application,
        address: str,
        budgets: ConnectionBudgets | None = None,
        **options: Any,
    ) -> None:
        """Serve a web application at an address; raises :class:`OSError`.

        ``budgets`` replaces those of the other listeners, and ``options`` are passed to
        the server.
        """
        runner = _AppRunner(
            app,
            budgets or self._budgets,
            self._count,
            options,
            shutdown_timeout=self._close_s,
        )
        await self._start(runner, address)

    async def close(self) -> None:
        """Close all listeners, in the order in which they were opened."""
        for runner in self._runners:
            await runner.cleanup()

    async def _start(
        self, runner: web.ServerRunner | web.AppRunner, address: str
    ) -> None:
        host, _, port = address.rpartition(":")
        await runner.setup()
        self._runners.append(runner)
        opened = socket.create_server(
            (host.strip("[]"), int(port)),
            family=socket.AF_INET6 if "[" in host else socket.AF_INET,
            backlog=BACKLOG,
        )
        set_buffers(opened)
        await web.SockSite(runner, opened, backlog=ACCEPTS_PER_TURN).start()
        # The event loop listens anew, with the number that it accepts in one turn.
        opened.listen(BACKLOG)


class _AppRunner(web.AppRunner):
    """Serves an application on bounded connections."""

    def __init__(
        self,
        app: web.Application,
        budgets: ConnectionBudgets,
        count: Callable[[str], None],
        server_options: dict[str, Any],
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._server_options = server_options
        self._budgets = budgets
        self._count = count

    async def _make_server(self) -> web.Server:
        served = await super()._make_server()
        return BoundedServer(
            served.request_handler,
            self._budgets,
            self._count,
            served.request_factory,
            **self._server_options,
        )
