"""``eelgrassctl hosts`` with nodes and a stand-in for the platform's store."""

import pytest
import pytest_asyncio

from eelgrass_ctl.commands import hosts as hosts_command
from eelgrass_ctl.exceptions import AddressesUnreadable, ExitCode, StoreUnreadable
from eelgrass_ctl.host_metrics import (
    EvacuatedDataCentre,
    HostMetrics,
    StoreState,
    read_hosts,
    read_store,
)
from eelgrass_ctl.host_review import group_hosts, review
from eelgrass_node.entry_gauges import entry_gauges
from eelgrass_standins.ports import free_addresses
from support.entry import EntryDeployment, configuration, until


@pytest_asyncio.fixture
async def entry():
    async with EntryDeployment() as deployment:
        yield deployment


async def serve_metrics(node):
    [address] = free_addresses(1)
    await node._listen_metrics(address)
    return address


class TestReading:
    async def test_metrics_of_a_node(self, entry):
        node = entry.nodes[0]
        node.counters.count("refusal.no-route")
        node.counters.count("retry.connect_failed")
        assert list(entry_gauges(node))
        [found] = await read_hosts([await serve_metrics(node)])
        assert found.silent is None
        assert (found.version, found.members, found.store_reachable) == (1, 1, True)
        assert (found.servers_usable, found.servers) == (8, 8)
        assert (found.refusals, found.retries) == (1, 1)

    async def test_a_node_that_does_not_answer_is_silent(self):
        [address] = free_addresses(1)
        [found] = await read_hosts([address])
        assert found.silent is not None

    async def test_state_of_the_store(self, entry):
        entry.store.put("op", "config", configuration(4))
        assert await read_store(entry.store_address) == StoreState(4, 8)

    async def test_an_evacuated_data_centre(self, entry):
        entry.store.put("op", "evacuate/b", {})
        node = entry.nodes[0]
        await until(lambda: node.evacuation.evacuations.is_evacuated("b"))
        [found] = await read_hosts([await serve_metrics(node)])
        [evacuated] = found.evacuated
        assert (evacuated.data_centre, evacuated.in_flight) == ("b", 0)
        assert (await read_store(entry.store_address)).evacuated == ("b",)

    async def test_the_error_for_an_unreachable_store_gives_a_remedy(self):
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

    def test_nodes_that_agree_with_the_store(self, capsys):
        assert hosts_command("a:1", "b:1", store="s:1") == ExitCode.DONE
        assert "Store: version 3, 8 servers listed." in capsys.readouterr().out

    def test_a_node_behind_the_store_sets_the_exit_code(self):
        self.store = StoreState(4, 8)
        assert hosts_command("a:1", store="s:1") == ExitCode.NOT_EVERYWHERE

    def test_a_silent_node_sets_the_exit_code_and_is_listed(self, capsys):
        self.hosts.append(HostMetrics("c:1", "TimeoutError()"))
        assert hosts_command("a:1") == ExitCode.NOT_EVERYWHERE
        assert "c:1" in capsys.readouterr().out

    def test_hundreds_of_equal_nodes_share_one_row(self, capsys):
        self.hosts = [
            HostMetrics(f"10.1.0.{n}:1", version=3, members=194, store_reachable=True)
            for n in range(195)
        ]
        assert hosts_command("a:1", store="s:1") == ExitCode.DONE
        assert len(capsys.readouterr().out.splitlines()) == 3

    def test_each_prints_a_row_for_every_node(self, capsys):
        self.hosts = [HostMetrics(f"10.1.0.{n}:1", version=3) for n in range(195)]
        assert hosts_command("a:1", each=True) == ExitCode.DONE
        assert "10.1.0.194:1" in capsys.readouterr().out

    def test_nodes_that_need_attention_are_listed_with_reasons(self, capsys):
        self.hosts = [
            HostMetrics(f"10.1.0.{n}:1", version=3, members=29, store_reachable=True)
            for n in range(30)
        ]
        self.hosts.append(HostMetrics("10.2.0.1:1", version=2, members=29))
        assert hosts_command("a:1", store="s:1") == ExitCode.NOT_EVERYWHERE
        shown = capsys.readouterr().out
        assert (
            "10.2.0.1:1: version 2 in place of 3; it cannot reach the store." in shown
        )

    # Guards against hiding that some nodes have missed an evacuation.
    def test_an_evacuation_shows_at_how_many_nodes_it_is_in_force(self, capsys):
        evacuated = (EvacuatedDataCentre("north", 12.0, 3),)
        self.hosts = [
            HostMetrics(
                f"10.1.0.{n}:1", version=3, store_reachable=True, evacuated=evacuated
            )
            for n in range(3)
        ]
        behind = HostMetrics("10.1.0.9:1", version=3, store_reachable=True)
        self.hosts.append(behind)
        self.store = StoreState(3, 8, ("north", "south"))
        hosts_command(store="s")
        shown = capsys.readouterr().out
        assert "north at 3 of 4 nodes, for 12 s; 9 requests still run there" in shown
        assert "south at 0 of 4 nodes" in shown
        assert (
            "Look at 10.1.0.9:1: evacuates no data centre, most evacuate north" in shown
        )

    def test_match_filters_by_address(self, capsys):
        self.hosts = [
            HostMetrics("10.1.0.1:1", version=3),
            HostMetrics("10.2.0.1:1", version=2),
        ]
        assert hosts_command("a:1", match="10.1.*") == ExitCode.DONE
        assert "10.2.0.1" not in capsys.readouterr().out

    def test_addresses_are_also_read_from_a_file(self, tmp_path, monkeypatch):
        asked = []

        async def read(addresses):
            asked.extend(addresses)
            return self.hosts

        monkeypatch.setitem(hosts_command.__globals__, "read_hosts", read)
        file = tmp_path / "addresses"
        file.write_text("b:1\nc:1\n")
        assert hosts_command("a:1", file=str(file)) == ExitCode.DONE
        assert asked == ["a:1", "b:1", "c:1"]

    def test_the_error_for_an_unreadable_file_gives_a_remedy(self, tmp_path):
        with pytest.raises(AddressesUnreadable, match="one IP address"):
            hosts_command(file=str(tmp_path / "none"))

    def test_json_output(self, capsys):
        assert hosts_command("a:1", json=True) == ExitCode.DONE
        assert '"version": 3' in capsys.readouterr().out


class TestReview:
    def host(self, address, **fields):
        """Return a node that needs no attention unless ``fields`` say so."""
        healthy = {"version": 3, "members": 4, "store_reachable": True, "servers": 8}
        return HostMetrics(address, **(healthy | fields))

    def test_silent_nodes_come_first_then_those_with_most_reasons(self):
        found = review(
            [
                self.host("a:1"),
                self.host("b:1", members=1),
                self.host("c:1", members=1, store_reachable=False),
                self.host("d:1", silent="TimeoutError()"),
                self.host("e:1"),
            ],
            newest=3,
        )
        assert [reviewed.host.address for reviewed in found] == [
            "d:1",
            "c:1",
            "b:1",
            "a:1",
            "e:1",
        ]

    def test_without_the_store_nodes_are_compared_with_the_majority(self):
        hosts = [self.host(f"{n}:1") for n in "abc"]
        [first, *others] = review([*hosts, self.host("d:1", version=2)], None)
        assert first.reasons == ("version 2 in place of 3",)
        assert not any(reviewed.reasons for reviewed in others)

    def test_groups_sum_up_waiting_items_and_refusals(self):
        hosts = [self.host(f"{n}:1", pieces_waiting=2, refusals=5) for n in "abc"]
        [group] = group_hosts(review(hosts, 3))
        assert (group.hosts, group.pieces_waiting, group.refusals) == (3, 6, 15)
