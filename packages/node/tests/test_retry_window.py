"""Budgets of repeats: what one node takes, and what all of them take together."""

from eelgrass_node.process.retry_window import OWNER_SHARE, USED_FRACTION, RetryWindows
from support.clock import Clock


class TestRetryWindows:
    def budget(self, nodes=8):
        clock = Clock()
        budget = RetryWindows(0.2, 56, 10.0, clock)
        budget.sharing_nodes = nodes
        return budget, clock

    def spend_all(self, budget, **options):
        spent = 0
        while budget.try_spend("s", "a request", **options):
            spent += 1
        return spent

    def test_all_nodes_together_keep_the_limit(self):
        total = 0
        for _ in range(8):
            budget, _ = self.budget()
            for _ in range(100):
                budget.note_request("s")
            total += self.spend_all(budget)
        assert 0 < total <= 0.2 * 800 + 56

    def test_three_owners_together_keep_the_slack(self):
        budget, _ = self.budget()
        assert 3 * self.spend_all(budget, owner=True) <= 56
        assert self.spend_all(self.budget()[0], owner=True) == int(
            56 * OWNER_SHARE * USED_FRACTION
        )

    def test_it_comes_back_as_the_window_slides(self):
        budget, clock = self.budget()
        self.spend_all(budget)
        clock.now = 10.1
        assert budget.try_spend("s", "a request")
