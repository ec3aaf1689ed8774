"""Runs an entry node whose connections come from its own loopback address.

The address is the ``BindIp`` of its settings file, so that servers can tell nodes on
one machine apart.
"""

import asyncio
import os
import runpy
from asyncio.selector_events import BaseSelectorEventLoop
from pathlib import Path

import yaml

SETTINGS = yaml.safe_load(Path(os.environ["EELGRASSWARD_CONFIG"]).read_text())
connect = BaseSelectorEventLoop.sock_connect


async def connect_from_own_address(self, sock, address):
    """Bind the socket to the node's address, then connect it."""
    if sock.getsockname()[1] == 0:
        sock.bind((SETTINGS["BindIp"], 0))
    await connect(self, sock, address)


if __name__ == "__main__":
    assert issubclass(asyncio.SelectorEventLoop, BaseSelectorEventLoop)
    BaseSelectorEventLoop.sock_connect = connect_from_own_address
    runpy.run_module("eelgrass_node.platform", run_name="__main__", alter_sys=True)
