"""Entries and answers that cannot be read, and what they mean for the others."""

import json
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest

import eelgrass_coordination
import eelgrass_ctl
import eelgrass_node
from eelgrass_coordination import JsonDecoder, decode_json
from eelgrass_coordination.datagrams import Datagrams
from eelgrass_coordination.ids import BackendId
from eelgrass_node.exceptions import (
    BatchAnswerMalformed,
    ConfigurationMalformed,
    ServerEntryMalformed,
)
from eelgrass_node.platform import requests, stage_calls
from eelgrass_node.platform.configuration import decode_deployment
from eelgrass_node.platform.servers import decode_server
from eelgrass_node.platform.store import RowStore
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_table import Crash, CrashTable
from eelgrass_node.process.quarantine import Quarantine
from eelgrass_node.process.store_tables import StoredRow
from eelgrass_node.process.stream_origins import messages, origin_rows
from eelgrass_standins.ports import free_addresses
from eelgrass_standins.row_store import RowStoreStandIn
from support.entry import COMPLETE_STREAM, EntryDeployment, configuration, until
from support.raw_engine import RawEngine
from support.serving import served
from support.store_rows import changes, row, table_replica

DEPTH = 5000
NESTED = {
    "array": b'{"Notes":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "object": b'{"Notes":' + b'{"a":' * DEPTH + b"1" + b"}" * DEPTH + b"}",
    "array without an end": b'{"Service":"desk","Notes":' + b"[" * DEPTH,
    "object without an end": b'{"Notes":' + b'{"a":' * DEPTH,
    "only an array": b"[" * DEPTH,
}
SERVER = {
    "Service": "desk",
    "Address": "127.0.0.1:9",
    "Zone": "a",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "Sequence": 1,
    "WarmupLeftMs": 0,
    "born": 1,
}


def entry_with(field, text):
    """Return a server's entry whose field has a value that is given as JSON."""
    fields = {name: json.dumps(value) for name, value in SERVER.items()}
    fields[field] = text
    members = ",".join(f'"{name}":{value}' for name, value in fields.items())
    return b"{%s}" % members.encode()


HUGE = "9" * 400
ODD = {
    **NESTED,
    "not UTF-8": entry_with("Service", '"x"').replace(b'"x"', b'"\xff\xfe"'),
    "empty": b"",
    "huge slots": entry_with("Slots", HUGE),
    "huge start": entry_with("born", HUGE),
    "huge sequence": entry_with("Sequence", HUGE),
    "huge warm-up": entry_with("WarmupLeftMs", HUGE),
    "port out of range": entry_with("Address", '"127.0.0.1:99999"'),
    "port with many digits": entry_with("Address", f'"127.0.0.1:{HUGE}"'),
    "address without brackets": entry_with("Address", '"::1:8000"'),
}


class TestDecoding:
    # Guards against errors of the decoder that no reader expects.
    @pytest.mark.parametrize("name", NESTED)
    def test_each_reader_raises_its_own_error(self, name):
        value = NESTED[name]
        for decode in (JsonDecoder(dict).decode, decode_json, messages.decode):
            with pytest.raises(msgspec.MsgspecError):
                decode(value)
        with pytest.raises(ServerEntryMalformed):
            decode_server({}, "s", value)
        with pytest.raises(ConfigurationMalformed):
            decode_deployment(value)
        with pytest.raises(BatchAnswerMalformed):
            stage_calls.decode_outcomes(value, 1)
        assert requests.decode_start(value) is None
        assert origin_rows.merged([StoredRow("k", 1, value)]) is None

    @pytest.mark.parametrize("name", ODD.keys() - {"huge sequence"})
    def test_an_odd_server_entry_is_malformed(self, name):
        with pytest.raises(ServerEntryMalformed):
            decode_server({}, "s", ODD[name])

    # Guards against a reader that decodes with the library's errors.
    def test_all_values_are_decoded_in_one_place(self):
        found = [
            file.name
            for package in (eelgrass_coordination, eelgrass_ctl, eelgrass_node)
            for file in Path(package.__file__).parent.rglob("*.py")
            if "json.decode(" in file.read_text() or "json.Decod" in file.read_text()
        ]
        assert found == ["json_decoding.py"]

    # Guards against a datagram of anybody that ends the membership's reader.
    @pytest.mark.parametrize("name", ODD)
    def test_a_datagram_is_dropped(self, name):
        Datagrams(pytest.fail).datagram_received(ODD[name], ("127.0.0.1", 9))


class TestTables:
    """A row that cannot be applied does not affect those beside and behind it."""

    @staticmethod
    def replica(applied):
        def apply(rows, source):
            for each in rows:
                if each.key.startswith("odd"):
                    raise OverflowError(each.key)
                applied.add((each.key, each.version))

        return table_replica(None, "t", on_rows=apply)

    # Guards against rows of an answer that are never applied, as the replica counts
    # them as read.
    @pytest.mark.parametrize("odd", [{0}, {3}, {6}, {2, 3}, set(range(7))])
    @pytest.mark.parametrize("is_peer", [True, False])
    async def test_all_other_rows_are_applied(self, odd, is_peer):
        applied = set()
        table = self.replica(applied)
        rows = [row(f"{'odd' if n in odd else 'k'}{n}", n + 1) for n in range(7)]
        if is_peer:
            table.apply_peer_rows(tuple(rows), "node-2")
        else:
            table._apply(changes(7, *rows))
        assert applied == {(f"k{n}", n + 1) for n in range(7) if n not in odd}

    # Guards against a table that cannot be read because of one row.
    async def test_a_value_that_is_no_base64(self):
        store = RowStoreStandIn()
        store.put("servers", "a", {})
        store.put("servers", "b", {})
        handle = store._rows_response

        def spoilt(rows):
            return handle([{**r, "Value": "*"} if r["Key"] == "a" else r for r in rows])

        store._rows_response = spoilt
        async with served(store.add_routes) as address:
            client = RowStore(address)
            table = await client.read_table("servers")
            await client.close()
        assert {r.key: r.value for r in table.rows} == {"a": b"", "b": b"{}"}

    # Guards against a crash row whose time cannot be computed with.
    async def test_an_odd_crash_row(self):
        quarantine = Quarantine(lambda: 0.0)
        table = CrashTable(quarantine, None, lambda: 1000)
        crash = Crash("request", ServerIncarnation(BackendId("server"), 2), at_ms=1)
        sound = msgspec.json.encode(crash)
        values = [
            *ODD.values(),
            sound.replace(b":1}", b":%s}" % HUGE.encode()),
            sound,
        ]
        rows = [StoredRow(f"k{n}", n + 1, v) for n, v in enumerate(values)]
        table.apply_rows(tuple(rows))
        assert list(table._crash_by_key) == [rows[-1].key]


def write_odd_entries(deployment, table):
    """Write all odd entries of a table again, before and behind sound ones."""
    for name, value in ODD.items():
        deployment.store.put_raw(table, f"a-{name}", value)
        deployment.store.put_raw(table, f"z-{name}", value)


class TestHosts:
    # Guards against hosts that know no server, or not all of them, because others
    # write entries that cannot be read.
    async def test_a_host_that_starts_knows_all_servers(self):
        async with EntryDeployment(nodes=1) as deployment:
            known = set(deployment.nodes[0].backends.by_id)
            write_odd_entries(deployment, "servers")
            node = await deployment.add_node()
            await until(lambda: set(node.backends.by_id) >= known, 2.0)
            status, _, _ = await deployment.ask("/safe/x", node=1)
            assert status == 200

    # Guards against changes that are lost with an entry in the same answer.
    async def test_a_host_that_runs_follows_the_list(self):
        async with EntryDeployment(nodes=2) as deployment:
            nodes = deployment.nodes
            first, second = deployment.engines_by_service["desk"]
            for _ in range(3):
                write_odd_entries(deployment, "servers")
                deployment.list_engine("desk", first, state="draining")
                deployment.store.remove("servers", second.server_id)
                write_odd_entries(deployment, "servers")
                await until(
                    lambda: all(second.server_id not in n.backends.by_id for n in nodes)
                )
                write_odd_entries(deployment, "servers")
                deployment.list_engine("desk", second)
                await until(
                    lambda: all(second.server_id in n.backends.by_id for n in nodes)
                )

    # Guards against a configuration or an evacuation that does not come into force.
    async def test_the_operators_table(self):
        async with EntryDeployment(nodes=2) as deployment:
            nodes = deployment.nodes
            for value in NESTED.values():
                deployment.store.put_raw("op", "config", value)
                write_odd_entries(deployment, "op")
                deployment.store.put("op", "evacuate/b", {})
                await until(
                    lambda: all(
                        n.evacuation.evacuations.is_evacuated("b") for n in nodes
                    )
                )
                deployment.store.remove("op", "evacuate/b")
                await until(
                    lambda: (
                        not any(
                            n.evacuation.evacuations.is_evacuated("b") for n in nodes
                        )
                    )
                )
            assert {n.deployments.number for n in nodes} == {1}
            node = await deployment.add_node()
            deployment.store.put("op", "config", configuration(2))
            await until(lambda: all(n.deployments.number == 2 for n in [*nodes, node]))

    async def test_the_crash_table(self):
        async with EntryDeployment(nodes=1) as deployment:
            write_odd_entries(deployment, "crashes")
            node = await deployment.add_node()
            await until(lambda: node.tables.has_crashes)


@asynccontextmanager
async def answering(deployment, service, body):
    """Add a server whose answers have this body to a service."""

    async def send(head, sound_body, reader, writer):
        writer.write(head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        return True

    [address] = free_addresses(1)
    server = RawEngine(f"{service}-odd", address, send)
    await server.start()
    try:
        deployment.list_engine(service, server)
        await until(lambda: server.server_id in deployment.nodes[0].backends.by_id)
        yield server
    finally:
        server.stop()


class TestAnswers:
    # Guards against a queue, or a request, that ends with an answer of one server.
    @pytest.mark.parametrize("name", NESTED)
    async def test_to_stage_calls(self, name):
        async with (
            EntryDeployment(nodes=1) as deployment,
            answering(deployment, "portal", NESTED[name]) as server,
        ):
            headers = {"Eelgrassward_Segments": "2,1,5"}
            for number in range(30):
                status, _, body = await deployment.ask(
                    "/stream/staged/x", **headers, Eelgrassward_Segment_Key=str(number)
                )
                assert (status, body) == (200, COMPLETE_STREAM)
                if server.answered:
                    break
            status, _, _ = await deployment.ask(
                "/stream/staged/x", **headers, Eelgrassward_Segment_Key="last"
            )
            assert status == 200
