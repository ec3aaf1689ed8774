"""The HTTP listeners of a process, which are closed together when it stops."""

from typing import Any

from aiohttp import web

__all__ = ["Listeners"]

# How long closing a listener waits for its handlers. A planned stop has already waited
# for the requests in flight by then.
CLOSE_S = 0.1
BACKLOG = 512


class Listeners:
    """Listens at addresses that are each given as IP address and port."""

    def __init__(self) -> None:
        self._runners: list[web.ServerRunner | web.AppRunner] = []

    async def serve(self, server: web.Server, address: str) -> None:
        """Serve a low-level server at an address; raises :class:`OSError`."""
        await self._start(web.ServerRunner(server, shutdown_timeout=CLOSE_S), address)

    async def serve_app(
        self, app: web.Application, address: str, **options: Any
    ) -> None:
        """Serve a web application at an address; raises :class:`OSError`.

        ``options`` are passed to the runner.
        """
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=CLOSE_S, **options
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
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
