"""Serves aiohttp applications on loopback, in the test's event loop."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from eelgrass_standins.ports import free_addresses

__all__ = ["abort_serving", "served", "start_serving"]

# Handlers that still run at the end of a test are cancelled after this time.
SHUTDOWN_S = 0.1


async def start_serving(
    app: web.Application, address: str, **options: bool
) -> web.AppRunner:
    """Serve an application at an address until the runner is cleaned up.

    ``options`` are those of the runner, such as ``handler_cancellation``.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S, **options)
    await runner.setup()
    host, _, port = address.rpartition(":")
    try:
        await web.TCPSite(runner, host, int(port)).start()
    except BaseException:
        await runner.cleanup()
        raise
    return runner


def abort_serving(runner: web.AppRunner) -> None:
    """Refuse new connections and reset open ones, as when a process crashes."""
    for site in runner.sites:
        site._server.close()
    for connection in runner.server.connections:
        connection.transport.abort()


@asynccontextmanager
async def served(
    add_routes: Callable[[web.Application], object],
    address: str | None = None,
    **options: bool,
) -> AsyncIterator[str]:
    """Serve the routes that ``add_routes`` adds; yield the address, free by default."""
    if address is None:
        [address] = free_addresses(1)
    app = web.Application()
    add_routes(app)
    runner = await start_serving(app, address, **options)
    try:
        yield address
    finally:
        await runner.cleanup()
