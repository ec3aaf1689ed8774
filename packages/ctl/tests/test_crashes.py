"""``eelgrassctl crashes`` with nodes and a stand-in for the platform's store."""

import asyncio
import importlib

import pytest

from eelgrass_coordination.ids import BackendId, SoftwareVersion
from eelgrass_ctl.crash_rows import RequestCrashes, clear_request, read_crashes
from eelgrass_ctl.exceptions import ExitCode, StoreUnreadable
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_subjects import Fingerprint, PartCrash, PartKey
from eelgrass_standins.ports import free_addresses
from support.entry import EntryDeployment, until

crashes_command = importlib.import_module("eelgrass_ctl.commands.crashes")
HELD, SUSPECT = Fingerprint("held"), Fingerprint("suspect")


def record_crashes(node, request, *servers):
    for server in servers:
        incarnation = ServerIncarnation(BackendId(server))
        node.poison_requests._on_crash(incarnation, [request])


@pytest.fixture
async def entry():
    async with EntryDeployment() as deployment:
        record_crashes(deployment.nodes[0], HELD, "e1", "e2")
        record_crashes(deployment.nodes[1], HELD, "e3")
        record_crashes(deployment.nodes[1], SUSPECT, "e3")
        await until(lambda: len(deployment.store.keys("crashes")) == 4)
        deployment.store.put_raw("crashes", "odd", b"?")
        yield deployment


class TestParts:
    """Parts of prompts under which servers crashed are listed and cleared alike."""

    async def test_a_cleared_part_is_no_suspect_at_any_node(self, entry):
        part = PartKey("0a")
        for number in range(3):
            server = ServerIncarnation(BackendId(f"p{number}"))
            crash = PartCrash(server, SoftwareVersion("v1"), (part,))
            entry.nodes[0].poison_requests.parts.record_crash(crash)
        await until(lambda: len(entry.store.keys("crashes")) == 8)
        found = await read_crashes(entry.store_address)
        assert (part, 3) in [(e.request, len(e.servers)) for e in found]
        assert await clear_request(entry.store_address, part) == 3
        await until(
            lambda: (
                not any(len(n.poison_requests.parts.quarantine) for n in entry.nodes)
            )
        )


class TestCrashes:
    async def test_requests_with_most_crashes_come_first(self, entry):
        found = await read_crashes(entry.store_address)
        assert [(e.request, len(e.servers), e.is_quarantined) for e in found] == [
            (HELD, 3, True),
            (SUSPECT, 1, False),
        ]

    async def test_all_nodes_accept_a_cleared_request_again(self, entry):
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

    async def test_an_unreachable_store_is_an_error(self):
        [address] = free_addresses(1)
        with pytest.raises(StoreUnreadable):
            await read_crashes(address)


class TestCommand:
    def test_it_prints_held_requests_and_the_number_of_cleared_rows(
        self, monkeypatch, capsys
    ):
        crashes = RequestCrashes(
            "a1", (BackendId("e1"), BackendId("e2")), 1_700_000_000_000
        )

        async def read(address):
            return [crashes]

        async def clear(address, request):
            return 2

        monkeypatch.setattr(crashes_command, "read_crashes", read)
        monkeypatch.setattr(crashes_command, "clear_request", clear)
        run = crashes_command.crashes
        assert run("s:1") == run("s:1", json=True) == ExitCode.DONE
        assert run("s:1", clear="a1") == ExitCode.DONE
        shown = capsys.readouterr().out
        assert "e1 e2" in shown and "2023-11-14" in shown and "2 crashes" in shown

    def test_the_command_closes_its_event_loop(self):
        """A new event loop can run after the command, even if the command failed."""
        with pytest.raises(StoreUnreadable):
            crashes_command.crashes("127.0.0.1:1")
        assert asyncio.run(asyncio.sleep(0, "free")) == "free"
