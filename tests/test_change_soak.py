"""Counts every answer of hosts beside planned work and silent servers, from a seed.

``make soak`` runs more seeds: ``EELGRASS_SOAK_SEEDS`` sets how many, and
``EELGRASS_SOAK_FIRST`` the first one. Seeds that failed once are kept in ``FAILED``.
"""

import os
from collections import Counter

import pytest

from support.change_soak import DEADLINE_S, ChangeDeployment, ChangeSoak, Outcome
from support.soak_checks import violations

FIRST = int(os.environ.get("EELGRASS_SOAK_FIRST", "1"))
COUNT = int(os.environ.get("EELGRASS_SOAK_SEEDS", "2"))
# Seed and cause of each run that once lost an answer or violated a guarantee.
FAILED: dict[int, str] = {}
SEEDS = sorted({*FAILED, *range(FIRST, FIRST + COUNT)})
RUN_S = 10.0
# Ensures that a run tests something; the outcome of each request is checked separately.
LEAST_WHOLE = 0.5
# Together with the tolerance of the checks, callers wait 2 s past their deadline.
ANSWERED_S = DEADLINE_S + 1.0


@pytest.mark.processes
class TestChangeSoak:
    # Guards against answers that are lost beside changes of the configuration, SIGHUP,
    # planned stops and servers that are silent for a moment.
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_answer_is_lost(self, seed, tmp_path):
        async with ChangeDeployment(tmp_path, seed) as deployment:
            soak = ChangeSoak(deployment, seed)
            await soak.run(RUN_S)
            broken = soak.lost() + violations(soak, deployment, ANSWERED_S)
        counts = Counter(soak.outcome(call) for call in soak.calls)
        print(f"seed {seed}:", {kind.value: counts[kind] for kind in Outcome})
        assert broken == [], "\n".join([f"seed {seed}", *broken, *soak.log])
        assert counts[Outcome.WHOLE] >= LEAST_WHOLE * len(soak.calls)
