"""How entry nodes learn of configurations and servers from the store and from peers."""

import asyncio

from eelgrass_node.process.table_relay import relay_of
from support.entry import (
    COMPLETE_STREAM,
    EntryDeployment,
    configuration,
    route,
    until,
)
from support.store_rows import UnreachableStore


class TestConfiguration:
    async def test_a_newer_one_is_in_force_and_an_older_one_is_ignored(self, entry):
        newer = configuration(
            5, keys=("key-2",), routes=[route("new", "idempotent", "desk")]
        )
        entry.store.put("op", "config", newer)
        await until(lambda: all(n.deployments.number == 5 for n in entry.nodes), 2.0)
        status, _, _ = await entry.ask("/new/x", Authorization="Bearer key-2")
        assert status == 200
        status, _, _ = await entry.ask("/safe/x")
        assert status == 401
        entry.store.put("op", "config", configuration(4))
        entry.store.put_raw("op", "config", b"{nonsense")
        entry.store.put_raw("servers", "desk-9", b"\xff\xfe")
        await asyncio.sleep(0.3)
        assert [node.deployments.number for node in entry.nodes] == [5, 5]

    async def test_it_arrives_after_the_store_has_dropped_its_history(self, entry):
        entry.store.drop_history()
        entry.store.put("op", "config", configuration(3))
        await until(lambda: all(n.deployments.number == 3 for n in entry.nodes), 2.0)

    async def test_it_stays_in_force_while_the_store_is_down(self, entry):
        entry.store.down = True
        await asyncio.sleep(0.2)
        status, _, _ = await entry.ask("/safe/x")
        assert status == 200


class TestLeaving:
    async def test_a_leaving_server_gets_no_new_work(self, entry):
        leaver, stayer = entry.engines_by_service["desk"]
        entry.list_engine("desk", leaver, "draining")
        await until(
            lambda: all(len(n.backends.usable("desk")) == 1 for n in entry.nodes), 2.0
        )
        for number in range(6):
            status, _, _ = await entry.ask("/safe/x", node=number % 2)
            assert status == 200
        assert leaver.runs == [] and len(stayer.runs) == 6

    async def test_a_server_taken_off_the_list_completes_its_requests(self):
        """Some servers leave the list without notice and still serve for seconds."""
        async with EntryDeployment(event_s=0.3) as entry:
            call = asyncio.create_task(entry.ask("/stream/single/x"))
            await until(lambda: entry.runs("readers"))
            node = entry.nodes[0]
            for engine in entry.engines_by_service["readers"]:
                entry.store.remove("servers", engine.server_id)
            await until(lambda: not node.backends.usable("readers"), 2.0)
            status, _, body = await call
            assert (status, body) == (200, COMPLETE_STREAM)

    async def test_a_planned_stop_cuts_off_no_request(self):
        async with EntryDeployment(event_s=0.4) as entry:
            call = asyncio.create_task(entry.ask("/stream/single/x"))
            await until(lambda: entry.runs("readers"))
            node = entry.nodes[0]
            node.stopping.request()
            stop = asyncio.create_task(node.run_until_stopped())
            status, headers, _ = await entry.ask("/safe/x")
            assert (status, headers["Connection"]) == (200, "close")
            status, _, body = await call
            assert (status, body) == (200, COMPLETE_STREAM)
            assert await stop is True


class TestPeers:
    async def test_a_node_that_starts_in_an_outage_reads_from_peers(self, entry):
        entry.store.down = True
        late = await entry.add_node()
        # If the relay can still read only one of the two tables, the new node has no
        # servers for half a second. It is not ready then, and no caller uses it.
        await until(lambda: late.ready, 3.0)
        assert late.deployments.number == 1
        status, _, _ = await entry.ask("/safe/x", node=len(entry.nodes) - 1)
        assert status == 200

    async def test_it_gets_the_servers_if_it_has_only_the_configuration(self, entry):
        """As an outage began, the relay could no longer read one table of the two.

        The new node was ready with a configuration and without servers. It refused all
        requests and asked no other node for as long as the outage lasted.
        """
        entry.store.down_tables.add("servers")
        await until(lambda: not any(n.tables.servers.reachable for n in entry.nodes))
        late = await entry.add_node()
        await until(lambda: late.deployments.number == 1, 3.0)
        await until(lambda: late.backends.by_id, 3.0)
        status, _, _ = await entry.ask("/safe/x", node=len(entry.nodes) - 1)
        assert status == 200

    async def test_a_node_without_servers_is_not_ready(self, entry):
        """Callers use another node until it is ready."""
        late = entry.new_node()
        known = entry.nodes[0].tables
        late.tables.operator.apply_peer_rows(known.operator.rows(), "n0:1")
        assert late.deployments.number == 1
        assert not late.ready
        late.tables.servers.apply_peer_rows(known.servers.rows(), "n0:1")
        assert late.ready

    async def test_a_node_without_the_store_gets_a_newer_version(self, entry):
        first = entry.nodes[0]
        # Only this node cannot reach the store.
        first.tables.operator._reader = UnreachableStore("out of reach")
        entry.store.put("op", "config", configuration(6))
        await until(lambda: first.deployments.number == 6, 4.0)


class TestRelays:
    async def test_one_node_of_a_data_centre_reads_a_table_for_all(self):
        async with EntryDeployment(nodes=4) as entry:
            await asyncio.sleep(1.5)
            before = entry.store.calls_by_table.copy()
            await asyncio.sleep(3.0)
            calls_by_table = entry.store.calls_by_table - before
            assert calls_by_table.keys() == {"op", "servers", "crashes"}
            # One relay per table makes about one call a second. 4 nodes without a relay
            # would make 12 calls for each table.
            assert max(calls_by_table.values()) <= 4
            entry.store.put("op", "config", configuration(9))
            await until(lambda: all(n.deployments.number == 9 for n in entry.nodes), 1)

    async def test_a_relay_that_is_killed_delays_no_version(self):
        async with EntryDeployment(nodes=4) as entry:
            await asyncio.sleep(1.5)
            first = entry.nodes[0]
            relay = relay_of(
                first.membership.own, first.membership.members.reachable(), "op"
            )
            relay_id = first.settings.node if relay is None else relay.id
            [killed] = [n for n in entry.nodes if n.settings.node == relay_id]
            await killed.close()
            entry.store.put("op", "config", configuration(9))
            rest = [node for node in entry.nodes if node is not killed]
            await until(lambda: all(n.deployments.number == 9 for n in rest), 2.0)
