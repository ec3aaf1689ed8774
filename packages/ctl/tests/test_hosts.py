"""``eelgrassctl hosts`` before nodes and a store of the users' platform."""

import pytest
import pytest_asyncio

from eelgrass_ctl.commands import hosts as hosts_command
from eelgrass_ctl.exceptions import ExitCode, StoreUnreadable
from eelgrass_ctl.host_metrics import (
    HostMetrics,
    StoreState,
    read_hosts,
    read_store,
)
from eelgrass_node.entry_gauges import entry_gauges
from eelgrass_standins.ports import free_addresses
from support.entry import EntryDeployment, configuration


@pytest_asyncio.fixture
async def entry():
    async with EntryDeployment() as deployment:
        yield deployment


async def serve_metrics(node):
    [address] = free_addresses(1)
    await node._listen_metrics(address)
    return address


class TestReading:
    async def test_what_nodes_tell_of_themselves(self, entry):
        node = entry.nodes[0]
        node.counters.count("refusal.no-route")
        node.counters.count("retry.connect_failed")
        assert list(entry_gauges(node))
        [found] = await read_hosts([await serve_metrics(node)])
        assert found.silent is None
        assert (found.version, found.members, found.store_reachable) == (1, 1, True)
        assert (found.servers_usable, found.servers) == (8, 8)
        assert (found.refusals, found.retries) == (1, 1)

    async def test_a_node_that_is_gone_is_shown_as_silent(self):
        [address] = free_addresses(1)
        [found] = await read_hosts([address])
        assert found.silent is not None

    async def test_the_store(self, entry):
        entry.store.put("op", "config", configuration(4))
        assert await read_store(entry.store_address) == StoreState(4, 8)

    async def test_a_store_that_is_gone_is_said_with_a_remedy(self):
        [address] = free_addresses(1)
        with pytest.raises(StoreUnreadable, match="leave --store out"):
            await read_store(address)


class TestCommand:
    @pytest.fixture(autouse=True)
    def _found(self, monkeypatch):
        self.hosts = [HostMetrics("a:1", version=3), HostMetrics("b:1", version=3)]
        self.store = StoreState(3, 8)
        module = hosts_command.__globals__
        monkeypatch.setitem(module, "read_hosts", self.found_hosts)
        monkeypatch.setitem(module, "read_store", self.found_store)

    async def found_hosts(self, addresses):
        return self.hosts

    async def found_store(self, address):
        return self.store

    def test_all_agree(self, capsys):
        assert hosts_command("a:1", "b:1", store="s:1") == ExitCode.DONE
        assert "Store: version 3, 8 servers listed." in capsys.readouterr().out

    def test_a_node_behind_the_store_is_told_by_the_exit_code(self):
        self.store = StoreState(4, 8)
        assert hosts_command("a:1", store="s:1") == ExitCode.NOT_EVERYWHERE

    def test_a_silent_node_is_told_too(self, capsys):
        self.hosts.append(HostMetrics("c:1", "TimeoutError()"))
        assert hosts_command("a:1") == ExitCode.NOT_EVERYWHERE
        assert "c:1" in capsys.readouterr().out

    def test_json_for_scripts(self, capsys):
        assert hosts_command("a:1", json=True) == ExitCode.DONE
        assert '"version": 3' in capsys.readouterr().out
