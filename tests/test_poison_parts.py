"""Requests with one part in their prompts that crashes servers reach only a few.

No two of the requests are alike, and sound requests share their other parts.
"""

import asyncio

import pytest

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
