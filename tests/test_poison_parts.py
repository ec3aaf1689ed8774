"""Requests with one part in their prompts that crashes servers reach only a few.

No two of the requests are alike, and sound requests share their other parts.
"""

import asyncio
import itertools

import pytest

from support.entry import until
from support.poison_parts import (
    ALLOWED_LATE_REQUESTS,
    FATAL_PART,
    PartTraffic,
    PoisonPartDeployment,
)

SOUND_S = 2.0
ATTACK_S = 9.5
# Sound requests must be served from this time after the first crash.
RECOVERED_S = 3.0
HALF = 0.5
# Crashes that identify the part, and those of requests that are on their way by then.
FEW_CRASHES = 9


def random_neighbour(*before):
    """Return a function that puts the fatal part behind a varying one."""
    numbers = iter(range(1, 1000))
    return lambda: (*before, f"b{next(numbers) * 5 % 12}", FATAL_PART)


class TestFatalPart:
    """One part crashes each server that begins to answer a request with it."""

    # Guards against requests that differ in all but one part of their prompts, each of
    # which begins with no crashes and so crashes a server.
    @pytest.mark.parametrize(
        ("parts", "per_s"),
        [
            (lambda: ("a0", FATAL_PART, "b1"), 4.0),
            (random_neighbour("a0"), 2.5),
            (lambda: (FATAL_PART, "b3"), 2.5),
        ],
        ids=["same-neighbours", "last-shared-part", "first-part"],
    )
    async def test_different_requests_with_it_stop_at_a_few_servers(self, parts, per_s):
        async with PoisonPartDeployment() as deployment:
            traffic = PartTraffic(deployment)
            began = asyncio.get_running_loop().time()
            await traffic.run(SOUND_S)
            await traffic.run(ATTACK_S, fatal_per_s=per_s, fatal_parts=parts)
            await traffic.finish()
            assert 0 < len(deployment.crashed) <= FEW_CRASHES
            assert traffic.fatal_requests_after_crashes() <= ALLOWED_LATE_REQUESTS
            before = traffic.served_share(began, began + SOUND_S)
            after = traffic.served_share(deployment.crashed_at[0] + RECOVERED_S)
            assert after >= HALF * before > HALF * HALF

    # Guards against an answer that is taken for sound because its head came early: the
    # server crashes once it has written the first event.
    async def test_it_is_found_if_servers_write_an_event_before_they_crash(self):
        deployment = PoisonPartDeployment()
        deployment.writes_before_crash = 0.25
        async with deployment:
            traffic = PartTraffic(deployment)
            await traffic.run(6.0, fatal_per_s=2.5)
            await traffic.finish()
            assert deployment.held_parts()
            assert 0 < len(deployment.crashed) <= FEW_CRASHES

    # Guards against two harmful parts of which one hides the other.
    async def test_two_fatal_parts_are_both_kept_from_servers(self):
        async with PoisonPartDeployment() as deployment:
            deployment.fatal_parts |= {"dea2"}
            turns = itertools.cycle((FATAL_PART, "dea2"))
            traffic = PartTraffic(deployment)
            await traffic.run(
                7.0, fatal_per_s=4.0, fatal_parts=lambda: ("a0", next(turns), "b1")
            )
            await traffic.finish()
            assert len(deployment.held_parts()) == 2
            assert len(deployment.crashed) <= 2 * FEW_CRASHES


class TestSources:
    """Hosts learn of a fatal part from each other, or from the store."""

    async def attack(self, deployment, for_s=3.0):
        traffic = PartTraffic(deployment)
        await traffic.run(for_s, fatal_per_s=4.0)
        await traffic.finish()

    async def refusals(self, deployment):
        """Send one fatal request to each node; return the statuses."""
        traffic = PartTraffic(deployment)
        sent = (
            traffic.send(("a0", FATAL_PART), fatal=True, node=node)
            for node in range(len(deployment.nodes))
        )
        return [attempt.status for attempt in await asyncio.gather(*sent)]

    # Guards against evidence that is lost with the hosts that gathered it.
    async def test_hosts_that_are_all_replaced_at_once_still_hold_it(self):
        async with PoisonPartDeployment() as deployment:
            await self.attack(deployment)
            await until(lambda: deployment.store.keys("crashes"))
            await asyncio.sleep(0.3)
            for node in deployment.nodes:
                await node.close()
            deployment.nodes.clear()
            for _ in range(3):
                await deployment.add_node()
            await until(lambda: all(n.ready for n in deployment.nodes))
            await until(lambda: all(held_by(n) for n in deployment.nodes))
            crashed = len(deployment.crashed)
            assert await self.refusals(deployment) == [503] * 3
            assert len(deployment.crashed) == crashed

    async def test_hosts_hold_it_while_the_store_does_not_answer(self):
        async with PoisonPartDeployment() as deployment:
            deployment.store.down = True
            await self.attack(deployment)
            assert all(held_by(node) for node in deployment.nodes)

    async def test_hosts_that_reach_no_other_host_learn_of_it_from_the_store(self):
        async with PoisonPartDeployment(nodes=3) as deployment:
            for node in deployment.nodes:
                node.poison_requests.parts.gossip._announce = lambda items: None
            await self.attack(deployment, for_s=5.0)
            await until(lambda: all(held_by(n) for n in deployment.nodes))
            assert len(deployment.crashed) <= 2 * FEW_CRASHES


class TestOtherCauses:
    """Servers crash for other causes, under a part that all prompts share."""

    # Guards against a part of all prompts that is held, so that nothing is served.
    @pytest.mark.parametrize(
        ("servers", "gap_s"), [(6, 0.0), (6, 0.35)], ids=["at-once", "in-turn"]
    )
    async def test_no_part_is_held(self, servers, gap_s):
        async with PoisonPartDeployment() as deployment:
            traffic = PartTraffic(deployment)
            running = asyncio.create_task(traffic.run(7.0))
            for _ in range(2):
                await asyncio.sleep(1.0)
                up = deployment.running_servers()[:servers]
                for engine in up:
                    engine.crash()
                    await asyncio.sleep(gap_s)
                assert not deployment.held_parts()
            await running
            await traffic.finish()
            assert not deployment.held_parts()
            for node in deployment.nodes:
                assert not node.counters.totals["refusal.quarantined"]


def held_by(node):
    """Return whether a node holds any part."""
    return bool(node.poison_requests.parts.held_parts())
