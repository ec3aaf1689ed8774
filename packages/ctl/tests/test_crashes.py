"""``eelgrassctl crashes`` before nodes and a store of the users' platform."""

import asyncio
import importlib

import pytest

from eelgrass_coordination.ids import BackendId
from eelgrass_ctl.crash_rows import RequestEnds, clear_request, read_ends
from eelgrass_ctl.exceptions import ExitCode, StoreUnreadable
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_detector import Fingerprint
from eelgrass_standins.ports import free_addresses
from support.entry import EntryDeployment, until

crashes_command = importlib.import_module("eelgrass_ctl.commands.crashes")
HELD, SUSPECT = Fingerprint("held"), Fingerprint("suspect")


def end_under(node, request, *servers):
    for server in servers:
        life = ServerIncarnation(BackendId(server))
        node.poison_requests._on_crash(life, [request])


@pytest.fixture
async def entry():
    async with EntryDeployment() as deployment:
        end_under(deployment.nodes[0], HELD, "e1", "e2")
        end_under(deployment.nodes[1], HELD, "e3")
        end_under(deployment.nodes[1], SUSPECT, "e3")
        await until(lambda: len(deployment.store.keys("crashes")) == 4)
        deployment.store.put_raw("crashes", "odd", b"?")
        yield deployment


class TestCrashes:
    async def test_requests_with_most_ends_come_first(self, entry):
        found = await read_ends(entry.store_address)
        assert [(e.request, len(e.servers), e.is_held) for e in found] == [
            (HELD, 3, True),
            (SUSPECT, 1, False),
        ]

    async def test_a_request_that_is_cleared_is_let_in_at_all_nodes(self, entry):
        assert all(
            node.poison_requests.quarantine.is_quarantined(HELD) for node in entry.nodes
        )
        assert await clear_request(entry.store_address, HELD) == 3
        await until(
            lambda: (
                not any(
                    n.poison_requests.quarantine.is_suspect(HELD) for n in entry.nodes
                )
            )
        )
        assert all(
            node.poison_requests.quarantine.is_suspect(SUSPECT) for node in entry.nodes
        )
        assert await clear_request(entry.store_address, HELD) == 0

    async def test_a_store_that_is_gone_is_said_with_a_remedy(self):
        [address] = free_addresses(1)
        with pytest.raises(StoreUnreadable):
            await read_ends(address)


class TestCommand:
    def test_it_shows_what_is_held_and_what_was_cleared(self, monkeypatch, capsys):
        ends = RequestEnds("a1", (BackendId("e1"), BackendId("e2")), 1_700_000_000_000)

        async def read(address):
            return [ends]

        async def clear(address, request):
            return 2

        monkeypatch.setattr(crashes_command, "read_ends", read)
        monkeypatch.setattr(crashes_command, "clear_request", clear)
        run = crashes_command.crashes
        assert run("s:1") == run("s:1", json=True) == ExitCode.DONE
        assert run("s:1", clear="a1") == ExitCode.DONE
        shown = capsys.readouterr().out
        assert "e1 e2" in shown and "2023-11-14" in shown and "2 ends" in shown

    def test_calls_may_overlap(self):
        """The command makes a loop of its own, and leaves none behind."""
        with pytest.raises(StoreUnreadable):
            crashes_command.crashes("127.0.0.1:1")
        assert asyncio.run(asyncio.sleep(0, "free")) == "free"
