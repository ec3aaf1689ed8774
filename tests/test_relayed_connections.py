"""Connections to servers through other nodes: what passes, ends and is refused."""

import asyncio
import socket
import struct

import pytest

from support.connections import connect, listen
from support.entry import COMPLETE_STREAM, EntryDeployment, until
from support.host_links import LinkedDeployment, cut_off


def relayed_connections(deployment):
    return sum(node.server_links.server.connections for node in deployment.nodes)


class TestRelayedRequests:
    async def test_request_and_answer_are_unchanged(self):
        async with LinkedDeployment(nodes=2) as deployment:
            await cut_off(deployment)
            target = "/safe/a%2fb/../c?q=%20x&y="
            status, headers, body = await deployment.ask(target, body=b"\x00\xff")
            assert (status, body) == (200, b"answer of \x00\xff")
            assert headers["Eelgrassward-Engine-Signature"].startswith("signed-by")
            [run] = deployment.runs("desk")
            assert (run.target, run.body) == (target, b"\x00\xff")
            assert run.headers["Eelgrassward-Tenant"] == "account-1"
            assert int(run.headers["Eelgrassward-Deadline-Ms"]) <= 3000

    # Guards against servers that work on for callers who have left.
    async def test_a_caller_that_leaves_ends_the_call_at_the_server(self):
        async with LinkedDeployment(nodes=2, event_s=0.1) as deployment:
            await cut_off(deployment)
            asking = asyncio.create_task(deployment.ask("/stream/single/x"))
            await until(lambda: deployment.runs("readers"))
            asking.cancel()
            engines = deployment.engines_by_service["readers"]
            await until(lambda: sum(e.cancelled for e in engines) == 1, within_s=0.5)

    # Guards against a planned stop of a relay that cuts off streams of other nodes.
    async def test_a_planned_stop_of_the_relay_cuts_no_stream_off(self):
        async with LinkedDeployment(nodes=2, event_s=0.1) as deployment:
            await cut_off(deployment)
            asking = asyncio.create_task(deployment.ask("/stream/single/x"))
            await until(lambda: deployment.runs("readers"))
            relay = deployment.nodes[1]
            stop = asyncio.create_task(relay.run_until_stopped())
            relay.stopping.request()
            status, _, body = await asking
            assert (status, body) == (200, COMPLETE_STREAM)
            assert await stop

    async def test_a_stopping_relay_gets_no_new_connections(self):
        async with LinkedDeployment(nodes=3) as deployment:
            await cut_off(deployment)
            deployment.nodes[1].stopping.request()
            for _ in range(4):
                status, _, _ = await deployment.ask("/once/x")
                assert status == 200
            assert deployment.nodes[1].server_links.server.connections == 0


class TestRefusals:
    async def answer(self, deployment, request):
        reader, writer = await connect(deployment.nodes[0].settings.gossip)
        writer.write(request)
        async with asyncio.timeout(5):
            answer = await reader.read(1024)
        writer.close()
        return answer

    @pytest.mark.parametrize(
        "request_line",
        [b"CONNECT 127.0.0.1:1 HTTP/1.1", b"GET / HTTP/1.1", b"CONNECT x HTTP/1.1"],
    )
    async def test_only_listed_servers_are_connected_to(self, entry, request_line):
        answer = await self.answer(entry, request_line + b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503 ")

    # Guards against loops of relays.
    async def test_a_node_without_a_path_of_its_own_relays_nothing(self):
        async with LinkedDeployment(nodes=2) as deployment:
            await cut_off(deployment)
            [address, *_] = [e.address for e in deployment.engines_by_service["desk"]]
            request = f"CONNECT {address} HTTP/1.1\r\n\r\n".encode()
            answer = await self.answer(deployment, request)
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert relayed_connections(deployment) == 0

    # Guards against waits for hosts of a release without relays.
    async def test_a_relay_that_does_not_listen_is_passed_over(self):
        async with LinkedDeployment(nodes=3) as deployment:
            await deployment.nodes[1].server_links.server.close()
            await cut_off(deployment)
            for _ in range(4):
                status, _, _ = await deployment.ask("/once/x")
                assert status == 200


class TestCutAnswers:
    # Guards against a truncated answer that looks complete: without a length, only a
    # reset tells that it is not.
    async def test_a_reset_of_the_server_is_passed_on_as_a_reset(self):
        async with EntryDeployment(nodes=1) as deployment:
            held = []

            async def accept(reader, writer):
                held.append(writer)
                await reader.read()

            server, address = await listen(accept)
            engine = deployment.engines_by_service["desk"][0]
            deployment.list_engine("desk", engine, address=address)
            backends = deployment.nodes[0].backends
            await until(lambda: backends.at_address(address) is not None)
            reader, writer = await connect(deployment.nodes[0].settings.gossip)
            writer.write(f"CONNECT {address} HTTP/1.1\r\n\r\n".encode())
            await reader.readuntil(b"\r\n\r\n")
            await until(lambda: held)
            held[0].write(b"part of an answer")
            assert await reader.readexactly(17)
            _reset(held[0])
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()
            server.close()


def _reset(writer):
    """Close a connection with a reset instead of a regular end."""
    opened = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
