"""The command line of the node's process."""

import asyncio
import signal
from pathlib import Path

import defopt

from .exceptions import SettingsError
from .log import log_to_stderr
from .process.node import Node
from .settings import Settings, load_settings

__all__ = ["run"]

EXIT_CLEAN = 0
EXIT_CUT_OFF = 1
EXIT_SETTINGS = 2


def serve(settings: Path, *, check: bool = False) -> int:
    """Run a node until SIGTERM or SIGINT stops it.

    :param settings: the YAML file with the settings of this node
    :param check: check the settings and exit
    """
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        print(error)
        return EXIT_SETTINGS
    if check:
        print(f"{settings}: the settings are valid.")
        return EXIT_CLEAN
    log_to_stderr()
    return asyncio.run(_serve(loaded))


async def _serve(settings: Settings) -> int:
    node = Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stopping.request)
    await node.start()
    clean = await node.run_until_stopped()
    return EXIT_CLEAN if clean else EXIT_CUT_OFF


def run(arguments: list[str] | None = None) -> int:
    """Parse the command line and run; return the exit code."""
    return defopt.run(serve, argv=arguments, cli_options="kwonly")
