"""Runs a relay alone as a process: ``python -m support.relay_process ADDRESS``."""

import asyncio
import sys

from eelgrass_node.connection.relays import RelayServer
from eelgrass_node.process.server_paths import Path
from eelgrass_node.process.stopping import Stopping
from support.host_settings import host_budgets


class _DirectPaths:
    """Paths of a node that reaches all servers itself."""

    def path(self, address: str) -> Path:
        return Path.DIRECT


async def _run(address: str) -> None:
    server = RelayServer(
        _DirectPaths(),
        accepts_work=lambda server: True,
        is_resting=lambda server: False,
        stopping=Stopping(notice_s=0.0, limit_s=1.0),
        budgets=host_budgets(),
        max_descriptors=1024,
        count=lambda name: None,
    )
    await server.start(address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1]))
