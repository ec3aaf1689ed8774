"""Probes of queue owners that stalled."""

import asyncio

from eelgrass_coordination.ids import DataCentre, NodeId
from eelgrass_node.process.owner_checks import PROBE_INTERVAL_S, OwnerChecks
from eelgrass_node.process.queue_owners import BACKOFF_S, QueueOwners
from eelgrass_node.process.reachability import DataCentreReachability
from support.members import member
from support.simulated_time import run_in_simulated_time

OWNER = member("n1", "a")


class Host:
    """A node that hands items to one owner, which stalls for a while."""

    def __init__(self, stalls_for_s):
        loop = asyncio.get_running_loop()
        self._recovers_at = loop.time() + stalls_for_s
        reachability = DataCentreReachability(DataCentre("a"), loop.time)
        self.owners = QueueOwners(
            NodeId("n0"), DataCentre("a"), 0.0, lambda: [OWNER], reachability, loop.time
        )
        self.checks = OwnerChecks(self.owners, self._probe)
        self.probes = 0

    def _probe(self, to):
        loop = asyncio.get_running_loop()
        self.probes += 1
        loop.call_at(max(loop.time(), self._recovers_at), self.checks.on_ack, to)

    async def used_again_after_s(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.owners.on_failure(OWNER)
        self.checks.check(OWNER)
        while self.owners.is_backed_off(OWNER):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return loop.time() - began


class TestOwnerChecks:
    # Guards against owners that are skipped for seconds after they stalled for part of
    # a second.
    def test_an_owner_that_recovers_is_used_at_once(self):
        async def play():
            return await Host(stalls_for_s=0.6).used_again_after_s()

        assert run_in_simulated_time(play()) < 0.6 + PROBE_INTERVAL_S

    def test_an_owner_that_stays_silent_is_retried_after_the_backoff(self):
        async def play():
            host = Host(stalls_for_s=60.0)
            return await host.used_again_after_s(), host.probes

        took_s, probes = run_in_simulated_time(play())
        assert BACKOFF_S <= took_s < BACKOFF_S + 0.1
        assert probes <= BACKOFF_S / PROBE_INTERVAL_S + 1
