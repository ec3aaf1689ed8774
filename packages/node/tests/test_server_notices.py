"""Tests of what servers say of themselves in their answers."""

import asyncio

import msgspec
import pytest
from multidict import CIMultiDict

from eelgrass_coordination.ids import BackendId, DataCentre
from eelgrass_node.connection.backend import BackendConnections, ServerResting
from eelgrass_node.connection.server_connector import ServerLink
from eelgrass_node.exceptions import ServersResting
from eelgrass_node.platform.notices import decode_notice
from eelgrass_node.process.backends import Backends, HostEntry, ServerIncarnation
from eelgrass_node.process.batch_items import ItemFailure, ItemOutcome
from eelgrass_node.process.local_queues import LocalQueues
from eelgrass_node.process.queue_load import QueueLoad, QueueLoads
from eelgrass_node.process.reachability import DataCentreReachability
from eelgrass_node.process.server_choice import ServerChoice, ServerCriteria
from eelgrass_node.process.server_notices import ServerNotice, ServerNotices
from eelgrass_node.process.server_paths import Path
from support.batching import items
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


class TestBrittleServers:
    # Guards against reports of servers, which do not state the limit, that make hosts
    # forget it.
    def test_an_answer_without_the_limit_does_not_clear_it(self):
        node = Node()
        node.notices.receive(SERVER, ServerNotice(refusal_limit=4))
        node.notices.receive(SERVER, ServerNotice())
        assert node.backends.by_id[SERVER.id].refusal_limit == 4


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
            on_answer=lambda answer: seen.append(
                (answer.status, answer.headers["server-leaving"])
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


class TestRest:
    # Guards against requests to a server that has asked this node for rest, and against
    # servers that get none after it.
    async def test_it_gets_requests_again_when_it_ends(self):
        node = Node(entry(), entry("s2"))
        node.notices.receive(SERVER, ServerNotice(rest_s=0.1))
        node.notices.receive(SERVER, ServerNotice(rest_s=0.02))
        node.backends.update([entry(), entry("s2")])
        assert node.usable() == ["s2"]
        assert node.counted == ["notice.rest"]
        assert node.announced == []
        await asyncio.sleep(0.06)
        assert node.usable() == ["s2"]
        await asyncio.sleep(0.06)
        assert node.usable() == ["s1", "s2"]

    @pytest.mark.parametrize(
        ("before", "after"),
        [
            (entry(), entry(started=6)),
            (entry(started=0, version="1"), entry(started=0, version="2")),
        ],
    )
    async def test_another_incarnation_gets_requests_at_once(self, before, after):
        node = Node(before)
        node.notices.receive(before.incarnation, ServerNotice(rest_s=9.0))
        node.backends.update([after])
        assert node.usable() == ["s1"]

    async def test_an_absurd_time_is_limited(self):
        node = Node()
        node.notices.receive(SERVER, ServerNotice(rest_s=1e9))
        assert 599 < node.backends.rests.left_s(SERVER) <= 600

    # Guards against requests that were chosen a server before it asked for rest, and
    # reach it in that time.
    async def test_a_request_that_waits_for_its_connection_is_not_sent(self):
        async def serve(reader, writer):
            arrived.append(await reader.read(100))

        arrived, is_resting = [], asyncio.Event()
        server, address = await listen(serve)
        paths = FreePaths(is_resting.set)
        link = ServerLink(paths, None, address, "a", is_resting.is_set)
        connections = BackendConnections(address, link)
        with pytest.raises(ServerResting):
            await connections.request("GET", "/", CIMultiDict(), b"", 1.0, True)
        await connections.close()
        server.close()
        assert not any(arrived)


class FreePaths:
    """Direct paths; ``connected`` is called with each new connection."""

    def __init__(self, connected):
        self.on_connected = lambda address: connected()

    def path(self, address):
        return Path.DIRECT

    def is_doubted(self, address):
        return False


class OpenServers:
    """No server is brittle."""

    def accepts(self, server):
        return True


class TestRefusals:
    """Who has only resting servers is told at once when the first has rested."""

    def choice(self, node):
        now = asyncio.get_running_loop().time
        reachability = DataCentreReachability(DataCentre("a"), now)
        return ServerChoice(
            node.backends, DataCentre("a"), reachability, lambda: None, OpenServers()
        )

    def refused(self, node, **criteria):
        wanted = ServerCriteria("desk", **criteria)
        choice = self.choice(node)
        assert (choice.choose(wanted) is None) == bool(choice.unavailable(wanted))
        return choice.unavailable(wanted)

    async def test_only_servers_that_may_be_used_count(self):
        node = Node(
            entry(version="1"), entry("s2", version="1"), entry("s3", version="2")
        )
        for name, rest_s in (("s1", 5.0), ("s2", 3.0)):
            server = ServerIncarnation(BackendId(name), 5)
            node.notices.receive(server, ServerNotice(rest_s=rest_s))
        assert self.refused(node) is None
        refusal = self.refused(node, version="1")
        assert isinstance(refusal, ServersResting)
        assert refusal.retry_after_s == pytest.approx(3.0, abs=0.1)
        node.backends.by_id["s2"].is_unreachable = True
        left_s = self.refused(node, version="1").retry_after_s
        assert left_s == pytest.approx(5.0, abs=0.1)
        assert not isinstance(self.refused(node, version="3"), ServersResting)


class UnlimitedRetries:
    """A retry budget that is never exhausted."""

    def record_requests(self, service, count=1):
        pass


class TestBatchQueues:
    def queues(self, node):
        self.run, self.freed = [], []

        async def run(server, items, timeout_s):
            self.run.append(server.entry.id)
            await asyncio.sleep(0.05)
            node.notices.receive(SERVER, ServerNotice(rest_s=0.2))
            return [ItemOutcome(failure=ItemFailure.RESTING)] * len(items)

        async def free(server, handles):
            self.freed += handles
            return True

        now = asyncio.get_running_loop().time
        return LocalQueues(
            node.backends,
            lambda: None,
            UnlimitedRetries(),
            DataCentreReachability(DataCentre("a"), now),
            run,
            free,
            lambda handle: handle.partition("/")[0],
            lambda service, wait_s: None,
            None,
            lambda server: False,
            OpenServers(),
        )

    # Guards against items that wait for their deadline where all servers rest.
    async def test_items_that_wait_fail_when_the_last_server_rests(self):
        node = Node()
        queues = self.queues(node)
        node.backends.on_change = queues.servers_changed
        first, second = (
            asyncio.create_task(queues.run("desk", items(name))) for name in ("a", "b")
        )
        for outcomes in await asyncio.wait_for(asyncio.gather(first, second), 0.2):
            assert outcomes[0].is_resting
            assert outcomes[0].retry_after_s == pytest.approx(0.2, abs=0.1)
        assert self.run == ["s1"]
        [refused] = await queues.run("desk", items("c"))
        assert refused.is_resting

    # Guards against calls that free results reaching a server that rests.
    async def test_results_are_freed_after_the_rest(self):
        node = Node(entry(), entry("s2"))
        queues = self.queues(node)
        for name, rest_s in (("s1", 0.05), ("s2", 9.0)):
            server = ServerIncarnation(BackendId(name), 5)
            node.notices.receive(server, ServerNotice(rest_s=rest_s))
        queues.free("desk", ["s1:1/a", "s2:1/b"])
        await asyncio.sleep(0.02)
        assert self.freed == []
        await asyncio.sleep(0.08)
        assert self.freed == ["s1:1/a"]

    # Guards against stages whose results are wasted, as a later stage has no server
    # that wants calls.
    async def test_other_nodes_know_that_all_servers_rest(self):
        node = Node(entry(), entry("s2"))
        queues = self.queues(node)
        node.notices.receive(SERVER, ServerNotice(rest_s=0.4))
        assert queues.load("desk").rest_s == 0
        second = ServerIncarnation(BackendId("s2"), 5)
        node.notices.receive(second, ServerNotice(rest_s=3.0))
        sent = msgspec.json.encode(queues.load("desk"))
        received = msgspec.json.decode(sent, type=QueueLoad)
        at = 0.0
        loads = QueueLoads(lambda: at)
        loads.receive("desk", received)
        assert loads.rest_left_s(["pool", "desk"]) == pytest.approx(0.4, abs=0.05)
        at = 0.3
        assert loads.rest_left_s(["desk"]) == pytest.approx(0.1, abs=0.05)
        assert loads.rest_left_s(["pool"]) == 0
        at = 0.6
        assert loads.rest_left_s(["desk"]) == 0
