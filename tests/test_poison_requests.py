"""A request that ends each server which runs it is not sent to ever more servers."""

import asyncio

import aiohttp
import pytest

from eelgrass_coordination.ids import BackendId
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_detector import Fingerprint
from support.entry import COMPLETE_STREAM, until
from support.poison import POISON, CrashingServers

# A request under which so many servers have ended is sent to no other one.
MOST_ENDED = 3
# What nodes learn of a crash they know within this time.
KNOWN_S = 0.5


class PoisonedDeployment(CrashingServers):
    """Three nodes before four servers of each service, which end under ``POISON``."""

    def __init__(self, nodes=3, servers=4, **options):
        super().__init__(nodes, servers=servers, **options)

    async def attempt(self, node, target="/stream/single/x"):
        """Send the request once more; return status and headers, 0 if it broke off."""
        try:
            status, headers, _ = await self.ask(target, node, body=POISON)
        except aiohttp.ClientError:
            return 0, {}
        return status, headers

    async def attempts(self, count, target="/stream/single/x"):
        """Send it again and again, to each node in turn."""
        for number in range(count):
            await self.attempt(number % len(self.nodes), target)
            await asyncio.sleep(KNOWN_S)


@pytest.fixture
async def poisoned():
    async with PoisonedDeployment() as deployment:
        yield deployment


class TestRequestThatComesAgain:
    @pytest.mark.parametrize("target", ["/stream/single/x", "/stream/resumed/x"])
    async def test_it_ends_three_servers_at_most_over_all_nodes(self, poisoned, target):
        await poisoned.attempts(12, target)
        assert 0 < len(poisoned.crashed) <= MOST_ENDED

    async def test_what_is_refused_is_refused_at_once_and_has_not_run(self, poisoned):
        """It is told when to come back, whichever node it reaches."""
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

    async def test_the_store_is_enough_for_nodes_that_reach_no_other_node(
        self, poisoned
    ):
        for node in poisoned.nodes:
            node.poison.gossip._announce = lambda marks: None
            node.membership.members.reachable = lambda: []
        await poisoned.attempts(8)
        assert 0 < len(poisoned.crashed) <= MOST_ENDED

    async def test_nodes_are_enough_for_one_another_while_the_store_is_down(
        self, poisoned
    ):
        poisoned.store.down = True
        await poisoned.attempts(8)
        assert 0 < len(poisoned.crashed) <= MOST_ENDED

    async def test_a_node_that_starts_later_knows_it(self, poisoned):
        await poisoned.attempts(6)
        ended = len(poisoned.crashed)
        node = await poisoned.add_node()
        await until(lambda: node.ready)
        await asyncio.sleep(KNOWN_S)
        await poisoned.attempt(3)
        assert len(poisoned.crashed) == ended


class TestStages:
    """A piece of a stage ends the servers that run it, in calls with other pieces."""

    SEGMENTS = {
        "Eelgrassward_Segments": "2,1,5",
        "Eelgrassward_Segment_Key": POISON.decode(),
    }

    async def test_it_ends_three_servers_of_a_stage_at_most(self, poisoned):
        for number in range(8):
            status, _, _ = await poisoned.ask(
                "/stream/staged/x", number % 3, **self.SEGMENTS
            )
            assert status == 503
            await asyncio.sleep(KNOWN_S)
        assert 0 < len(poisoned.crashed) <= MOST_ENDED

    async def test_stages_of_a_request_that_is_held_meanwhile_are_not_begun(
        self, poisoned
    ):
        """Other copies of it end the third server while it is on its way."""
        quarantine = poisoned.nodes[0].poison.quarantine
        quarantine.record_crash(
            Fingerprint("another"), ServerIncarnation(BackendId("ended"))
        )
        answers = iter([False])
        quarantine.is_quarantined = lambda request: next(answers, True)
        status, _, _ = await poisoned.ask("/stream/staged/x", **self.SEGMENTS)
        assert status == 503
        items = [e.batch_items for e in poisoned.engines_by_service["portal"]]
        assert not any(items)


class TestBesideOthers:
    """Copies of the request come together, among proper requests that are resumed."""

    COPIES = 3
    NEIGHBOURS = 24

    async def serve(self, deployment, number):
        """Send a proper request until it is served; return whether it was held."""
        held = False
        for _ in range(20):
            try:
                status, headers, body = await deployment.ask(
                    "/stream/resumed/x", number % 3, body=b"proper %d" % number
                )
            except aiohttp.ClientError:
                # Its attempts were used up within a stream.
                continue
            if status == 200:
                assert body == COMPLETE_STREAM
                return held
            held |= b"servers have ended" in body
            await asyncio.sleep(min(0.5, float(headers.get("Retry-After", 0.1))))
        raise AssertionError(f"request {number} was never served")

    async def poison_for_good(self, deployment, until_s):
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            copies = (deployment.attempt(node) for node in range(self.COPIES))
            await asyncio.gather(*copies)
            await asyncio.sleep(0.2)

    async def test_those_beside_it_are_served_and_few_servers_end(self):
        async with PoisonedDeployment(servers=5, event_s=0.05) as deployment:
            end = asyncio.get_running_loop().time() + 5.0
            harm = asyncio.create_task(self.poison_for_good(deployment, end))
            held = []
            for _ in range(8):
                sent = (self.serve(deployment, n) for n in range(self.NEIGHBOURS))
                held += await asyncio.gather(*sent)
            await harm
            # Copies that were under way with the one that ended the third server.
            assert len(deployment.crashed) <= MOST_ENDED + self.COPIES - 1
            assert not any(held)
            for node in deployment.nodes:
                assert node.poison.quarantine.quarantined_count() == 1
