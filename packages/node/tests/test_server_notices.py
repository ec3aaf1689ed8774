"""Tests of what servers say of themselves in their answers."""

import pytest
from multidict import CIMultiDict

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.connection.backend import BackendConnections
from eelgrass_node.platform.notices import decode_notice
from eelgrass_node.process.backends import Backends, HostEntry, ServerIncarnation
from eelgrass_node.process.server_notices import ServerNotice, ServerNotices
from support.connections import listen

SERVER = ServerIncarnation(BackendId("s1"), 5)


def entry(name="s1", started=5, **fields):
    return HostEntry(
        BackendId(name), "desk", f"{name}:1", DataCentre("a"), started=started, **fields
    )


class Node:
    """The part of a node that applies notices, with the servers of a list."""

    def __init__(self, *entries):
        self.counted, self.announced = [], []
        self.backends = Backends()
        self.backends.update(list(entries) or [entry()])
        self.notices = ServerNotices(
            self.backends, self.announced.append, self.counted.append
        )

    def usable(self):
        return [server.entry.id for server in self.backends.usable("desk")]


class TestDecoding:
    @pytest.mark.parametrize(
        ("status", "headers", "notice"),
        [
            (200, {}, ServerNotice()),
            (200, {"server-leaving": "1"}, ServerNotice(is_leaving=True)),
            (500, {"Server-Leaving": "1"}, ServerNotice(is_leaving=True)),
            (200, {"Server-Leaving": "0"}, ServerNotice()),
            (503, {"Retry-After": "0.25"}, ServerNotice(rest_s=0.25)),
            (503, {"Retry-After": "0"}, ServerNotice()),
            (429, {"Retry-After": "3"}, ServerNotice()),
            (
                200,
                {"Eelgrassward-Engine-Id": "s1", "Server-Brittle": "4"},
                ServerNotice(server_id="s1", refusal_limit=4),
            ),
            (421, {"Server-Leaving": "1"}, None),
        ],
    )
    def test_notice_of_an_answer(self, status, headers, notice):
        assert decode_notice(status, CIMultiDict(headers)) == notice

    # Guards against requests that fail, or servers that get none, on a broken header.
    @pytest.mark.parametrize(
        ("name", "value"),
        [("Server-Leaving", "x")]
        + [("Retry-After", v) for v in ("", "-1", "nan", "inf", "Fri, 04 Dec 2026")],
    )
    def test_malformed_values_are_ignored(self, name, value):
        notice = decode_notice(503, CIMultiDict({name: value}))
        assert notice == ServerNotice(malformed=(name,))


class TestHook:
    # Guards against calls whose answers nobody looks at.
    @pytest.mark.parametrize("status", [200, 500, 503])
    @pytest.mark.parametrize("reuse", [True, False])
    async def test_the_head_of_every_answer_is_seen(self, status, reuse):
        async def serve(reader, writer):
            head = b"HTTP/1.1 %d X\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
            while await reader.read(65536):
                writer.write(head % status)

        seen = []
        server, address = await listen(serve)
        connections = BackendConnections(
            address,
            on_answer=lambda status, headers: seen.append(
                (status, headers["server-leaving"])
            ),
        )
        async with connections.request("GET", "/", CIMultiDict(), b"", 1.0, reuse):
            assert seen == [(status, "1")]
        async with connections.post("/", b"", "attempt", 1.0, reuse):
            assert seen == [(status, "1")] * 2
        await connections.close()
        server.close()


class TestRefusalLimit:
    async def test_applies_to_the_server_that_answered(self):
        node = Node()
        server = node.backends.by_id["s1"]
        node.notices.receive(SERVER, ServerNotice(refusal_limit=4))
        assert server.refusal_limit == 4
        other = ServerNotice(server_id="s2", refusal_limit=9)
        node.notices.receive(SERVER, other)
        node.notices.receive(ServerIncarnation("s1", 3), ServerNotice(refusal_limit=9))
        assert server.refusal_limit == 4


class TestLeaving:
    # Guards against requests to a server that has said that it leaves, as a list from
    # before, or the store's after an outage, still names it as live.
    async def test_a_list_does_not_undo_it(self):
        node = Node(entry(), entry("s2"))
        node.notices.receive(SERVER, ServerNotice(is_leaving=True))
        for listed in ([entry(), entry("s2")], [entry("s2")], [entry(), entry("s2")]):
            node.backends.update(listed)
            assert node.usable() == ["s2"]

    async def test_it_ends_with_the_incarnation(self):
        node = Node()
        node.notices.receive(SERVER, ServerNotice(is_leaving=True))
        node.backends.update([entry(started=6)])
        assert node.usable() == ["s1"]

    async def test_an_address_that_has_changed_hands_says_nothing(self):
        node = Node()
        notice = ServerNotice(server_id="s2", is_leaving=True)
        node.notices.receive(SERVER, notice)
        assert node.usable() == ["s1"]

    async def test_other_nodes_are_told_once(self):
        node, other = Node(), Node()
        for _ in range(3):
            node.notices.receive(SERVER, ServerNotice(is_leaving=True))
        assert node.counted == ["notice.leaving"]
        [item] = node.announced
        other.notices.receive_gossip(item)
        assert other.usable() == []
        assert other.announced == []
