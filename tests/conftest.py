"""Passes over the tests that KNOWN-RED.txt lists, and prints them.

Each line of that file holds a test, the cause and the issue, with ``|`` between.
Besides, the deployment that tests before stand-ins of the users' platform share.
"""

from pathlib import Path

import pytest
import pytest_asyncio

from support.entry import EntryDeployment

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the cause by test, for the tests that are listed."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    entries = (line.partition("|") for line in lines if line.strip())
    return {test.strip(): cause.strip() for test, _, cause in entries}


def pytest_collection_modifyitems(items):
    """Let listed tests run without failing the whole."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print what is listed."""
    for test, cause in known_red().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")


@pytest_asyncio.fixture
async def entry():
    """Give two nodes, two servers of each service and a store."""
    async with EntryDeployment() as deployment:
        yield deployment
