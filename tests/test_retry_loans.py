"""Nodes lend retries to one that gets most of the requests."""

import asyncio

import pytest

from support.entry import EntryDeployment, until

SERVICE = "desk"
REQUESTS = 20


def spend_all(node):
    """Spend all retries of a node; return their number."""
    spent = 0
    while node.retry_budgets.try_spend(SERVICE, "a request"):
        spent += 1
    return spent


@pytest.fixture
async def entry():
    async with EntryDeployment(nodes=3) as deployment:
        yield deployment


class TestLoans:
    # Guards against a node that gets all requests, and may use no more of the budget's
    # fixed part than those that get none.
    async def test_a_busy_node_borrows_from_idle_ones(self, entry):
        busy, *idle = entry.nodes
        busy.retry_budgets.record_requests(SERVICE, REQUESTS)
        spend_all(busy)
        bucket = busy.retry_budgets._bucket_by_service[SERVICE]
        await until(lambda: bucket.borrowed >= 1)
        lent = bucket.borrowed
        left = [n.retry_budgets._bucket_by_service[SERVICE].tokens for n in idle]
        assert sum(left) >= lent * 0.9
        assert spend_all(busy) == int(lent)

    async def test_a_node_with_as_many_requests_lends_nothing(self, entry):
        for node in entry.nodes:
            node.retry_budgets.record_requests(SERVICE, REQUESTS)
        spend_all(entry.nodes[0])
        await asyncio.sleep(0.4)
        assert spend_all(entry.nodes[0]) == 0
