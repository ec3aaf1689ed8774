"""The addresses at which a process listens, closed together at its end."""

from typing import Any

from aiohttp import web

__all__ = ["Listeners"]

# How long a listener that is closed waits for its handlers; whoever had to be
# waited for has been served by then.
CLOSE_S = 0.1
BACKLOG = 512


class Listeners:
    """What listens at some addresses, each an IP address and port."""

    def __init__(self) -> None:
        self._runners: list[web.ServerRunner | web.AppRunner] = []

    async def serve(self, server: web.Server, address: str) -> None:
        """Listen for a low-level server; raises :class:`OSError`."""
        await self._start(web.ServerRunner(server, shutdown_timeout=CLOSE_S), address)

    async def serve_app(
        self, app: web.Application, address: str, **options: Any
    ) -> None:
        """Listen for a web application; raises :class:`OSError`.

        ``options`` go to the runner.
        """
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=CLOSE_S, **options
        )
        await self._start(runner, address)

    async def close(self) -> None:
        """Close all, in the order in which they were opened."""
        for runner in self._runners:
            await runner.cleanup()

    async def _start(
        self, runner: web.ServerRunner | web.AppRunner, address: str
    ) -> None:
        host, _, port = address.rpartition(":")
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
