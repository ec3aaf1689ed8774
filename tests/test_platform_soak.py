"""Runs entry nodes of the users' platform under external faults drawn from a seed.

``make soak`` runs more seeds: ``EELGRASS_SOAK_SEEDS`` sets how many, and
``EELGRASS_SOAK_FIRST`` the first one. Seeds that failed once are kept in ``FAILED``.
"""

import os

import pytest

from support.platform_soak import FaultProfile, Soak
from support.soak_checks import violations
from support.soak_deployment import SoakDeployment

FIRST = int(os.environ.get("EELGRASS_SOAK_FIRST", "3"))
COUNT = int(os.environ.get("EELGRASS_SOAK_SEEDS", "2"))
# Seed and cause of each run that once violated a guarantee.
FAILED = {
    1: "SIGHUP ended a process that was still loading its libraries",
    10: "a cancellation was lost in a timeout, so a stop never completed",
}
SEEDS = sorted({*FAILED, *range(FIRST, FIRST + COUNT)})
RUN_S = 8.0
# Long enough for several versions; each is checked 3 s after it was stored.
NEWS_S = 20.0
PLANNED_EVERY = 4


def least_served(planned):
    """Return the minimum share of accepted calls that are answered completely.

    The minimum ensures that a run tests something; the outcome of each call is checked
    separately. Nodes that are stopping refuse new calls (503), and all three may stop
    at once.
    """
    return 0.9 if planned else 0.5


async def broken_in(folder, seed, harm, run_s, troubles):
    """Run a seed, assert no violation; return the soak and the share answered."""
    async with SoakDeployment(folder, seed) as deployment:
        soak = Soak(deployment, seed, harm)
        await soak.run(run_s, troubles)
        broken = violations(soak, deployment) + await soak.unrecovered()
    accepted = [call for call in soak.calls if call.accepted]
    whole = sum(call.status == 200 for call in accepted)
    print(
        f"seed {seed}: {whole} of {len(accepted)} accepted calls answered completely, "
        f"{len(soak.probes)} checks of the version in force"
    )
    assert broken == [], "\n".join([f"seed {seed}", *broken, *soak.log])
    return soak, whole / len(accepted)


@pytest.mark.processes
class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_promise_is_broken(self, seed, tmp_path):
        planned = seed % PLANNED_EVERY == 0
        harm = FaultProfile.PLANNED if planned else FaultProfile.ALL
        _, served = await broken_in(tmp_path, seed, harm, RUN_S, 3)
        assert served >= least_served(planned)

    @pytest.mark.parametrize("seed", range(FIRST, FIRST + COUNT))
    async def test_news_come_in_time(self, seed, tmp_path):
        """Only the store gets faults, so nodes run undisturbed long enough to check.

        A configuration was once in force 4 s late because the store had rejected the
        relay, the node that reads it for the others.
        """
        soak, served = await broken_in(
            tmp_path, seed, FaultProfile.DELAYED_UPDATES, NEWS_S, 1
        )
        assert served >= least_served(planned=True)
        assert soak.probes
