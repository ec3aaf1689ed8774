"""All nodes together keep the retry budget, also when nodes leave or restart."""

from collections import Counter

from support.retry_budget import FailingServersDeployment

NODES = 6
REQUESTS = 40


class TestRetriesOfAllNodes:
    # Guards against a node's share of the budget that grows as other nodes leave.
    async def test_they_keep_the_budget_while_nodes_leave_in_turn(self):
        async with FailingServersDeployment(NODES) as deployment:
            for number in range(NODES):
                await deployment.send(number, REQUESTS)
                await deployment.nodes[number].membership.leave()
            assert deployment.excess() <= 0

    # Guards against a restarted process that spends the budget its predecessor spent.
    async def test_they_keep_the_budget_while_nodes_are_restarted(self):
        async with FailingServersDeployment(NODES) as deployment:
            for _ in range(2):
                for number in range(NODES):
                    await deployment.send(number, REQUESTS // 2)
                    await deployment.restart(number)
            assert deployment.excess() <= 0


class TestBatchItems:
    # Guards against retries counted per batch item while requests count per item set.
    async def test_each_batch_item_of_a_stage_counts_as_a_request(self, entry):
        counts_by_service = Counter()
        for node in entry.nodes:
            node.retry_budgets.record_requests = lambda service, count=1: (
                counts_by_service.update({service: count})
            )
        segments = {"Eelgrassward_Segments": "2,1,5", "Eelgrassward_Segment_Key": "k"}
        await entry.ask("/stream/staged/x", **segments)
        assert counts_by_service == {"portal": 3, "clerks": 5, "readers": 1}
