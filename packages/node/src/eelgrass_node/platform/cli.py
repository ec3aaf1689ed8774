"""Runs the process of a node on the platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from ..boot_clock import BootClockLoop
from ..entry_node import EntryNode
from ..exceptions import SettingsError
from ..log import log_to_stdout
from ..process.host_settings import HostSettings
from .names import SETTINGS_VARIABLE
from .settings import load_host_settings

__all__ = ["run"]

EXIT_CLEAN = 0
EXIT_CUT_OFF = 1
EXIT_SETTINGS = 2
DEFAULT_SETTINGS_FILE = "/etc/eelgrassward/local.yaml"


def run() -> int:
    """Run a node until SIGTERM; return the exit code."""
    file = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE))
    try:
        settings = load_host_settings(file)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    log_to_stdout()
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        code = runner.run(_serve(settings))
    # Closing the loop has restored the default action of SIGHUP, which would terminate
    # the process before it returns its exit code.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return code


async def _serve(settings: HostSettings) -> int:
    node = EntryNode(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stopping.request)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    clean = await node.run_until_stopped()
    await node.close()
    return EXIT_CLEAN if clean else EXIT_CUT_OFF
