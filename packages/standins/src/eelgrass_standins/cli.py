"""The command line of the stand-ins, run as ``python -m eelgrass_standins``."""

import asyncio
import signal
from pathlib import Path

import defopt
import msgspec
import yaml

from .demo import run_demo
from .deployment import DeploymentSpec, StandIns

__all__ = ["run"]


def demo() -> None:
    """Run a node and all stand-ins in one process and show what they do."""
    asyncio.run(run_demo())


def serve(deployment: Path, *, only: list[str] = []) -> None:  # noqa: B006
    """Run stand-ins until told to stop.

    :param deployment: the YAML file with the deployment
    :param only: run only these, ``platform`` or ids of backend servers
    """
    spec = msgspec.convert(yaml.safe_load(deployment.read_text()), DeploymentSpec)
    asyncio.run(_serve(StandIns(spec, frozenset(only))))


async def _serve(stand_ins: StandIns) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stand_ins.start()
    await stopped.wait()
    await stand_ins.leave()
    await stand_ins.close()


def run() -> None:
    """Parse the command line and run the command."""
    defopt.run([demo, serve], cli_options="kwonly")
