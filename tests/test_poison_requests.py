"""A request that crashes every server that runs it reaches only a few servers."""

import asyncio

import aiohttp
import pytest

from eelgrass_coordination.ids import BackendId
from eelgrass_node.platform.names import CRASHES_TABLE
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_detector import Fingerprint
from eelgrass_node.process.table_relay import STORE_READ_MAX_AGE_S
from support.entry import COMPLETE_STREAM, until
from support.poison import POISON, CrashingServers

# A request that has crashed this many servers is sent to no other server.
MAX_CRASHES = 3
# Nodes learn of a crash within this time.
PROPAGATION_S = 0.5
# A node that starts has got from another one what it cannot read within this time.
CATCH_UP_S = 1.0


class PoisonedDeployment(CrashingServers):
    """Three nodes and four servers of each service; ``POISON`` crashes a server."""

    def __init__(self, nodes=3, servers=4, **options):
        super().__init__(nodes, servers=servers, **options)

    async def attempt(self, node, target="/stream/single/x"):
        """Send the request; return status and headers, 0 if the answer broke off."""
        try:
            status, headers, _ = await self.ask(target, node, body=POISON)
        except aiohttp.ClientError:
            return 0, {}
        return status, headers

    async def attempts(self, count, target="/stream/single/x"):
        """Send the request ``count`` times, to each node in turn."""
        for number in range(count):
            await self.attempt(number % len(self.nodes), target)
            await asyncio.sleep(PROPAGATION_S)


@pytest.fixture
async def poisoned():
    async with PoisonedDeployment() as deployment:
        yield deployment


class TestRepeatedRequest:
    @pytest.mark.parametrize("target", ["/stream/single/x", "/stream/resumed/x"])
    async def test_it_crashes_at_most_three_servers_over_all_nodes(
        self, poisoned, target
    ):
        await poisoned.attempts(12, target)
        assert 0 < len(poisoned.crashed) <= MAX_CRASHES

    async def test_it_is_refused_at_once_and_does_not_run(self, poisoned):
        """Each node refuses it with a Retry-After header."""
        await poisoned.attempts(6)
        runs = len(poisoned.runs("readers"))
        for node in range(3):
            began = asyncio.get_running_loop().time()
            status, headers = await poisoned.attempt(node)
            took_s = asyncio.get_running_loop().time() - began
            assert (status, took_s < 0.2) == (503, True)
            assert float(headers["Retry-After"]) > 0
        assert len(poisoned.runs("readers")) == runs

    async def test_other_requests_of_its_account_and_route_are_served(self, poisoned):
        await poisoned.attempts(8)
        for node in range(3):
            status, _, body = await poisoned.ask("/stream/single/x", node)
            assert (status, body) == (200, COMPLETE_STREAM)
        for node in range(3):
            status, _, body = await poisoned.ask("/stream/single/y", node)
            assert (status, body) == (200, COMPLETE_STREAM)

    async def test_nodes_without_peers_learn_of_crashes_from_the_store(self, poisoned):
        for node in poisoned.nodes:
            node.poison_requests.gossip._announce = lambda marks: None
            node.membership.members.reachable = lambda: []
        await poisoned.attempts(8)
        assert 0 < len(poisoned.crashed) <= MAX_CRASHES

    async def test_nodes_learn_of_crashes_from_peers_if_the_store_is_down(
        self, poisoned
    ):
        poisoned.store.down = True
        await poisoned.attempts(8)
        assert 0 < len(poisoned.crashed) <= MAX_CRASHES

    async def test_a_node_that_starts_later_refuses_it(self, poisoned):
        await poisoned.attempts(6)
        ended = len(poisoned.crashed)
        node = await poisoned.add_node()
        await until(lambda: node.ready)
        await asyncio.sleep(PROPAGATION_S)
        await poisoned.attempt(3)
        assert len(poisoned.crashed) == ended

    # Guards against a node that serves before it has read of the crashes, and would
    # not ask another one for them.
    async def test_a_node_that_cannot_read_the_crashes_gets_them_from_others(
        self, poisoned
    ):
        await poisoned.attempts(6)
        poisoned.store.down_tables.add(CRASHES_TABLE)
        await asyncio.sleep(STORE_READ_MAX_AGE_S)
        await self.attempt_at_a_new_node(poisoned)

    # Guards against crashes that cannot be written: nodes tell each other of them once.
    async def test_a_node_that_starts_while_the_store_is_down_refuses_it(
        self, poisoned
    ):
        poisoned.store.down = True
        await poisoned.attempts(6)
        await self.attempt_at_a_new_node(poisoned)

    async def attempt_at_a_new_node(self, poisoned):
        """Start a node, and assert that no more servers crash once it has caught up."""
        ended = len(poisoned.crashed)
        assert ended
        node = await poisoned.add_node()
        await until(lambda: node.ready)
        await asyncio.sleep(CATCH_UP_S)
        for _ in range(3):
            await poisoned.attempt(3)
            await asyncio.sleep(PROPAGATION_S)
        assert len(poisoned.crashed) == ended


class TestStages:
    """A batch item crashes the servers that run it, in calls with other items."""

    SEGMENTS = {
        "Eelgrassward_Segments": "2,1,5",
        "Eelgrassward_Segment_Key": POISON.decode(),
    }

    async def test_it_crashes_at_most_three_servers_of_a_stage(self, poisoned):
        for number in range(8):
            status, _, _ = await poisoned.ask(
                "/stream/staged/x", number % 3, **self.SEGMENTS
            )
            assert status == 503
            await asyncio.sleep(PROPAGATION_S)
        assert 0 < len(poisoned.crashed) <= MAX_CRASHES

    async def test_no_stage_starts_once_its_request_is_quarantined(self, poisoned):
        """Other copies of it crash the third server while this copy is in flight."""
        quarantine = poisoned.nodes[0].poison_requests.quarantine
        quarantine.record_crash(
            Fingerprint("another"), ServerIncarnation(BackendId("ended"))
        )
        answers = iter([False])
        quarantine.is_quarantined = lambda request: next(answers, True)
        status, _, _ = await poisoned.ask("/stream/staged/x", **self.SEGMENTS)
        assert status == 503
        items = [e.batch_items for e in poisoned.engines_by_service["portal"]]
        assert not any(items)


class TestConcurrentRequests:
    """Copies of the request arrive together, among normal requests that are resumed."""

    COPIES = 3
    NORMAL_REQUESTS = 24

    async def serve(self, deployment, number):
        """Retry a normal request until served; return whether it was quarantined."""
        quarantined = False
        for _ in range(20):
            try:
                status, headers, body = await deployment.ask(
                    "/stream/resumed/x", number % 3, body=b"proper %d" % number
                )
            except aiohttp.ClientError:
                # All its attempts were used up during a stream.
                continue
            if status == 200:
                assert body == COMPLETE_STREAM
                return quarantined
            quarantined |= b"servers crashed" in body
            await asyncio.sleep(min(0.5, float(headers.get("Retry-After", 0.1))))
        raise AssertionError(f"request {number} not served after 20 attempts")

    async def send_copies_repeatedly(self, deployment, until_s):
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            copies = (deployment.attempt(node) for node in range(self.COPIES))
            await asyncio.gather(*copies)
            await asyncio.sleep(0.2)

    async def test_normal_requests_are_served_and_few_servers_crash(self):
        async with PoisonedDeployment(servers=5, event_s=0.05) as deployment:
            end = asyncio.get_running_loop().time() + 5.0
            poisoning = asyncio.create_task(
                self.send_copies_repeatedly(deployment, end)
            )
            quarantined = []
            for _ in range(8):
                sent = (self.serve(deployment, n) for n in range(self.NORMAL_REQUESTS))
                quarantined += await asyncio.gather(*sent)
            await poisoning
            # Copies in flight as the third server crashes may each crash one more.
            assert len(deployment.crashed) <= MAX_CRASHES + self.COPIES - 1
            assert not any(quarantined)
            for node in deployment.nodes:
                assert node.poison_requests.quarantine.quarantined_count() == 1
