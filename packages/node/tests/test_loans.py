"""Tests for whom a node asks for retries, in simulated time and without network."""

import asyncio

from eelgrass_node.process.retry_budget import RetryBudgets
from eelgrass_node.process.retry_loans import RetryLoans
from support.members import member
from support.simulated_time import run_in_simulated_time

SERVICE = "desk"
LENT = 3.0
# A node that starts knows others within this time.
JOINED_S = 0.3


class TestLoansAfterAStart:
    # Guards against a node that knows no other yet, and takes that for a refusal to
    # lend: it would not ask those that it gets to know for seconds.
    def test_a_node_that_knew_no_other_asks_those_it_gets_to_know(self):
        assert run_in_simulated_time(self.borrowed_after_start()) == LENT

    async def borrowed_after_start(self):
        clock = asyncio.get_running_loop().time
        budgets = RetryBudgets(0.2, 56.0, 10.0, clock)
        known = []

        async def ask_lender(lender, service, requested):
            return LENT

        RetryLoans(budgets, lambda: known, ask_lender, clock)
        budgets.try_spend(SERVICE, "a request")
        await asyncio.sleep(JOINED_S)
        known.append(member("other"))
        budgets.try_spend(SERVICE, "another request")
        await asyncio.sleep(0.01)
        return budgets._bucket_by_service[SERVICE].borrowed
