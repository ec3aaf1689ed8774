"""A request that crashes servers, with faults of nodes, network paths and the store.

``EELGRASS_SOAK_SEEDS`` and ``EELGRASS_SOAK_FIRST`` select the seeds, as in
``test_platform_soak.py``.
"""

import asyncio
import os
import random

import pytest

from support.platform_soak import FaultProfile, Soak
from support.poison import POISON, CrashingServers
from support.soak_checks import violations
from support.soak_deployment import SoakDeployment

FIRST = int(os.environ.get("EELGRASS_SOAK_FIRST", "3"))
COUNT = int(os.environ.get("EELGRASS_SOAK_SEEDS", "1"))
RUN_S = 16.0
KINDS = ("stream/single", "stream/resumed")
MOST_COPIES = 3
# Once ENDED servers have crashed, nodes that had no fault for CALM_S send the request
# to at most MOST_SENT more servers.
ENDED = 3
CALM_S = 3.0
MOST_SENT = 3


class PoisonedSoak(CrashingServers, SoakDeployment):
    """Nodes as processes, with five servers of each service."""

    def __init__(self, folder, seed):
        super().__init__(folder, seed, servers=5)


class Attempts:
    """Sends copies of the request; times, copies and nodes are drawn from a seed."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._random = random.Random(f"poison of {seed}")
        self._kind = self._random.choice(KINDS)
        self._tasks = []
        # Attempts at nodes that had no fault from CALM_S before the attempt to its end.
        self.calm_ids = set()

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
            for _ in range(self._random.randint(1, MOST_COPIES)):
                self._tasks.append(asyncio.create_task(self._send()))
        await asyncio.gather(*self._tasks)

    async def _send(self):
        number = self._random.randrange(len(self._deployment.soak_nodes))
        node = self._deployment.soak_nodes[number]
        since = asyncio.get_running_loop().time() - CALM_S
        calm = node.undisturbed_since(since)
        call = await self._deployment.call(number, self._kind, body=POISON)
        if calm and node.undisturbed_since(since):
            self.calm_ids.add(call.request_id)

    def sent_late(self):
        """Return the ids of calm attempts that reached a server after the bound."""
        ended_at = sorted(self._deployment.crashed_at)
        if len(ended_at) < ENDED:
            return []
        late = ended_at[ENDED - 1] + CALM_S
        return [
            run.request_id
            for run in self._deployment.runs("readers")
            if run.at > late and run.request_id in self.calm_ids
        ]


@pytest.mark.processes
class TestPoisonSoak:
    @pytest.mark.parametrize("seed", range(FIRST, FIRST + COUNT))
    @pytest.mark.parametrize("harm", [FaultProfile.DELAYED_UPDATES, FaultProfile.ALL])
    async def test_it_reaches_few_servers_and_breaks_no_promise(
        self, seed, harm, tmp_path
    ):
        async with PoisonedSoak(tmp_path, seed) as deployment:
            soak = Soak(deployment, seed, harm)
            attempts = Attempts(deployment, seed)
            await asyncio.gather(soak.run(RUN_S, 1), attempts.run(RUN_S))
            late = attempts.sent_late()
            broken = violations(soak, deployment)
        print(
            f"seed {seed} {harm.value}: {len(deployment.crashed)} servers crashed, "
            f"{len(late)} sent late of {len(attempts.calm_ids)} calm attempts"
        )
        assert len(late) <= MOST_SENT, "\n".join([f"seed {seed}", *late, *soak.log])
        assert broken == [], "\n".join([f"seed {seed}", *broken, *soak.log])
