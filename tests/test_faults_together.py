"""Runs concurrent calls under combined and repeated faults and checks their history.

``make soak`` runs more seeds: ``EELGRASS_SOAK_SEEDS`` sets how many.
"""

import asyncio
import os
import random

import pytest

from eelgrass_standins.faults import Fault, FaultAction as Action
from support.history import History, violations
from support.local import LocalDeployment
from support.network_partition import NetworkPartition

SEEDS = range(1, 1 + int(os.environ.get("EELGRASS_SOAK_SEEDS", "3")))
COMMIT = "/v1/transactions"
RUN = "/v1/run"
GENERATE = "/v1/generate"
RUN_S = 3.0
CALLS = 150
PLATFORM_FAULTS = [
    [Fault(Action.REFUSE)],
    [Fault(Action.DROP_ANSWER, COMMIT, times=5)],
    [Fault(Action.LATE_EFFECT, COMMIT, delay_s=0.8, times=5)],
    [Fault(Action.DELAY, COMMIT, delay_s=0.3)],
    [Fault(Action.SILENT, COMMIT, times=2), Fault(Action.DROP_CALL, "/v1/read")],
    [],
]
SERVICE_FAULTS = [
    [Fault(Action.DROP_ANSWER, RUN, times=2), Fault(Action.REFUSE, RUN, times=2)],
    [Fault(Action.WRONG_ID, RUN, times=1), Fault(Action.DROP_CALL, RUN, times=1)],
    [Fault(Action.SILENT, RUN, times=2)],
    [Fault(Action.DELAY, RUN, delay_s=0.4, times=5)],
    [Fault(Action.CUT_STREAM, GENERATE, times=3, after=4)],
    [Fault(Action.SILENT_STREAM, GENERATE, times=2, after=2)],
    [Fault(Action.SHUFFLE_STREAM, GENERATE, times=3, after=3)],
    [],
]
SERVICES = ("encoders", "retrievers", "register-desk", "model-readers")


class Run:
    """One run, whose calls and faults are drawn from a seed."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._random = random.Random(seed)
        self._cuts = [NetworkPartition(node) for node in deployment.nodes]
        self.history = History()

    async def call_all(self):
        """Make all calls; keyed calls are retried at other nodes."""
        await asyncio.gather(*(self._call(number) for number in range(CALLS)))

    async def disturb(self):
        """Change the faults several times a second; several are active at once."""
        while True:
            self._deployment.fault("platform", *self._random.choice(PLATFORM_FAULTS))
            for service in self._random.sample(SERVICES, 2):
                self._deployment.fault(service, *self._random.choice(SERVICE_FAULTS))
            self._cut_some_link()
            await asyncio.sleep(self._random.uniform(0.1, 0.4))

    def heal(self):
        """End all faults."""
        for name in ("platform", *SERVICES):
            self._deployment.fault(name)
        for cuts in self._cuts:
            cuts.block(())

    def _cut_some_link(self):
        for cuts in self._cuts:
            cuts.block(())
        if self._random.random() < 0.5:
            a, b = self._random.sample(range(len(self._cuts)), 2)
            self._cuts[a].block([self._deployment.internal(b)])
            platform = self._deployment.stand_ins.spec.platform.address
            self._cuts[b].block([self._deployment.internal(a), platform])

    async def _call(self, number):
        await asyncio.sleep(self._random.random() * RUN_S)
        token = f"call-{number}"
        node = number % len(self._cuts)
        pipeline = ("transmittal", "revision-check", "transmittal")[number % 3]
        keyed = pipeline == "transmittal"
        options = {"deadline_ms": 1000}
        if keyed:
            options["key"] = token
        else:
            options["stream"] = number % 2 == 0
        for repeat in range(3 if keyed else 1):
            reply = await self.history.call(
                self._deployment,
                (node + repeat) % len(self._cuts),
                pipeline,
                token,
                **options,
            )
            if reply is not None and reply.status == 200:
                return


class TestFaultsTogether:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_promise_is_broken(self, seed):
        print(f"seed {seed}")
        async with LocalDeployment(nodes=3) as deployment:
            run = Run(deployment, seed)
            disturbing = asyncio.create_task(run.disturb())
            await run.call_all()
            disturbing.cancel()
            run.heal()
            await asyncio.sleep(1.5)
            found = violations(run.history.calls, deployment.journal())
        assert found == []
        answered = sum(
            call.reply is not None and call.reply.status == 200
            for call in run.history.calls
        )
        print(f"{answered} of {len(run.history.calls)} calls answered completely")
        assert answered > CALLS / 3
