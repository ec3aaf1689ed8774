"""Owners of queues that stood still, asked by probes whether they are back."""

import asyncio

from eelgrass_coordination.ids import DataCentre, NodeId
from eelgrass_node.process.owner_checks import PROBE_AGAIN_S, OwnerChecks
from eelgrass_node.process.queue_owners import BACKOFF_S, QueueOwners
from eelgrass_node.process.reachability import DataCentreReachability
from support.members import member
from support.simulated_time import run_in_simulated_time

OWNER = member("n1", "a")


class Host:
    """A node that hands pieces to one owner, which stands still for a while."""

    def __init__(self, still_for_s):
        loop = asyncio.get_running_loop()
        self._awake_at = loop.time() + still_for_s
        reach = DataCentreReachability(DataCentre("a"), loop.time)
        self.owners = QueueOwners(
            NodeId("n0"), DataCentre("a"), 0.0, lambda: [OWNER], reach, loop.time
        )
        self.checks = OwnerChecks(self.owners, self._probe)
        self.probes = 0

    def _probe(self, to):
        loop = asyncio.get_running_loop()
        self.probes += 1
        loop.call_at(max(loop.time(), self._awake_at), self.checks.on_ack, to)

    async def trusts_after_s(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.owners.on_failure(OWNER)
        self.checks.check(OWNER)
        while self.owners.is_backed_off(OWNER):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return loop.time() - began


class TestOwnerChecks:
    # Hosts that stood still for part of a second were passed over for seconds.
    def test_one_that_goes_on_is_trusted_at_once(self):
        async def play():
            return await Host(still_for_s=0.6).trusts_after_s()

        assert run_in_simulated_time(play()) < 0.6 + PROBE_AGAIN_S

    def test_one_that_stays_away_is_tried_again_after_the_usual_time(self):
        async def play():
            host = Host(still_for_s=60.0)
            return await host.trusts_after_s(), host.probes

        took_s, probes = run_in_simulated_time(play())
        assert BACKOFF_S <= took_s < BACKOFF_S + 0.1
        assert probes <= BACKOFF_S / PROBE_AGAIN_S + 1
