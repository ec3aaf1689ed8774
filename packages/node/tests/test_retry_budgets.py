"""Tests for the retry budgets of one node and of all nodes together."""

import os
import random

import pytest

from eelgrass_node.process.budget_shares import count_sharing_nodes
from eelgrass_node.process.joined import SETTLE_S
from eelgrass_node.process.retry_budget import SAVED_SLACK_FRACTION, RetryBudgets
from support.clock import Clock
from support.host_settings import host_settings
from support.members import member
from support.retry_fleet import RetryFleet

HOSTS = 8
WINDOW_S = 10.0
SEEDS = range(int(os.environ.get("EELGRASS_RETRY_SEEDS", "30")))


class TestOneProcess:
    def budgets(self, nodes=HOSTS, requests=100):
        """Return the budgets of a process that has served requests for one window."""
        clock = Clock()
        budgets = RetryBudgets(0.2, 56, WINDOW_S, clock, draw=lambda: 0.5)
        budgets.sharing_nodes = nodes
        for number in range(1, requests + 1):
            clock.now = WINDOW_S * number / requests
            budgets.record_requests("s")
        return budgets, clock

    def spend_all(self, budgets):
        spent = 0
        while budgets.try_spend("s", "a request"):
            spent += 1
        return spent

    def test_all_nodes_together_keep_the_limit(self):
        total = sum(self.spend_all(self.budgets()[0]) for _ in range(HOSTS))
        assert 0 < total <= 0.2 * HOSTS * 100 + 56

    def test_only_part_of_a_window_can_be_saved_up(self):
        budgets, clock = self.budgets()
        budgets.record_requests("s", 1000)
        clock.now += 2 * WINDOW_S
        assert self.spend_all(budgets) <= SAVED_SLACK_FRACTION * 56 / HOSTS

    def test_tokens_accrue_with_requests(self):
        budgets, _ = self.budgets()
        self.spend_all(budgets)
        budgets.record_requests("s", 20)
        assert budgets.try_spend("s", "a request")

    def test_tokens_accrue_with_time(self):
        budgets, clock = self.budgets()
        self.spend_all(budgets)
        clock.now += WINDOW_S
        assert budgets.try_spend("s", "a request")

    def test_a_new_process_has_nothing_saved(self):
        budgets = RetryBudgets(0.2, 56, WINDOW_S, Clock())
        budgets.sharing_nodes = 1
        assert not budgets.try_spend("s", "a request")

    # Guards against a node that uses all of the slack before it knows the others.
    def test_there_is_no_slack_while_the_number_of_nodes_is_unknown(self):
        budgets, clock = self.budgets(nodes=None, requests=1)
        clock.now += WINDOW_S
        assert not budgets.try_spend("s", "a request")


class TestFleet:
    """All processes retry whenever their budget allows, for as long as servers fail."""

    def fleet(self, hosts=HOSTS, requests_per_s=40.0, **options):
        fleet = RetryFleet(hosts, requests_per_s, **options)
        fleet.run(2 * WINDOW_S, failing=False)
        return fleet

    # Guards against a new process that spends the budget of its predecessor once more.
    @pytest.mark.parametrize("requests_per_s", [4.0, 40.0, 400.0])
    def test_hosts_restarted_at_once_while_servers_fail(self, requests_per_s):
        fleet = self.fleet(requests_per_s=requests_per_s)
        fleet.run(1.0, failing=True)
        for _ in range(3):
            for host in range(HOSTS):
                fleet.restart(host)
            fleet.run(2.0, failing=True)
        fleet.run(2 * WINDOW_S, failing=True)
        assert fleet.excess() <= 0

    # Guards against a budget that is spent a second time by the nodes that take over
    # the requests.
    @pytest.mark.parametrize("requests_per_s", [4.0, 40.0, 400.0])
    def test_requests_that_move_from_host_to_host(self, requests_per_s):
        fleet = self.fleet(requests_per_s=requests_per_s)
        for host in range(HOSTS):
            fleet.run(1.0, failing=True, only=host)
        assert fleet.excess() <= 0

    # Guards against both, with restarts and failures at any time.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_any_restarts_while_servers_fail_at_any_time(self, seed):
        draw = random.Random(seed)
        hosts = draw.choice([1, 3, HOSTS, 60])
        fleet = self.fleet(
            hosts=hosts,
            requests_per_s=hosts * draw.choice([0.3, 2.0, 7.0]),
            slack=draw.choice([10.0, 56.0, 170.0]),
        )
        for _ in range(60):
            for host in range(hosts):
                if draw.random() < 0.1:
                    fleet.restart(host, down_s=draw.choice([0.0, 1.0, 4.0]))
            fleet.run(draw.uniform(0.1, 1.5), failing=draw.random() < 0.4)
        assert fleet.excess() <= 0

    # Guards against a node that gets all requests and may use its own part of the
    # slack only.
    def test_a_node_with_all_requests_borrows_from_the_others(self):
        used = []
        for lending in (False, True):
            fleet = RetryFleet(HOSTS, 4.0, lending=lending)
            fleet.run(2 * WINDOW_S, failing=False, only=0)
            fleet.run(2 * WINDOW_S, failing=True, only=0, others_retry=False)
            assert fleet.excess() <= 0
            used.append(fleet.retries)
        alone, with_loans = used
        assert with_loans >= 2 * alone

    # Guards against loans by which the nodes together exceed the budget.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_loans_do_not_exceed_the_budget(self, seed):
        draw = random.Random(seed)
        hosts = draw.choice([3, HOSTS, 60])
        fleet = self.fleet(
            hosts=hosts, requests_per_s=hosts * draw.choice([0.3, 2.0]), lending=True
        )
        for _ in range(60):
            if draw.random() < 0.2:
                fleet.restart(draw.randrange(hosts), down_s=draw.choice([0.0, 1.0]))
            busy = draw.randrange(hosts) if draw.random() < 0.7 else None
            fleet.run(
                draw.uniform(0.1, 2.0),
                failing=draw.random() < 0.5,
                only=busy,
                others_retry=draw.random() < 0.5,
            )
        assert fleet.excess() <= 0

    def test_without_restarts_most_of_the_budget_is_used(self):
        fleet = self.fleet()
        fleet.run(2 * WINDOW_S, failing=True)
        allowed = 0.2 * 40.0 * WINDOW_S + 56.0
        assert -0.25 * allowed <= fleet.excess() <= 0

    # Guards against a large deployment in which no node may ever retry a request.
    @pytest.mark.parametrize("hosts", [60, 195, 400])
    def test_nodes_whose_share_is_less_than_one_retry(self, hosts):
        """Each node gets one request for the service in ten seconds."""
        fleet = self.fleet(hosts=hosts, requests_per_s=hosts / 10)
        fleet.run(WINDOW_S, failing=True)
        allowed = 0.2 * hosts + 56.0
        assert fleet.excess() <= 0
        assert fleet.retries >= 0.4 * allowed


class JoiningFleet(RetryFleet):
    """Processes that know two nodes at their start, and more each 0.2 s."""

    def _new_process(self):
        process = super()._new_process()
        process.began = self.clock.now
        return process

    def _retry(self, only):
        settings = host_settings(seeds=("seed:1",), data_centres="a")
        records = [member(f"n{number}") for number in range(1, self._hosts)]
        for process in self._process_by_host.values():
            age_s = self.clock.now - process.began
            known = min(self._hosts, round(2 * 2 ** (age_s / 0.2))) - 1
            process.sharing_nodes = count_sharing_nodes(
                settings, member("n0"), records[:known], age_s >= SETTLE_S
            )
        super()._retry(only)


class TestStarts:
    # Guards against nodes that start together and each divide the slack by the few
    # others that they know by then.
    @pytest.mark.parametrize("hosts", [HOSTS, 60, 400])
    def test_all_hosts_restart_together_while_servers_fail(self, hosts):
        fleet = JoiningFleet(hosts, hosts / 10)
        fleet.run(2 * WINDOW_S, failing=False)
        for _ in range(3):
            for host in range(hosts):
                fleet.restart(host)
            fleet.run(3.0, failing=True)
        fleet.run(WINDOW_S / 2, failing=True)
        assert fleet.excess() <= 0

    # Guards against slack that is lost for good, where nodes restart now and then.
    def test_slack_accrues_while_the_number_of_nodes_is_unknown(self):
        used = []
        for unknown_s in (0.0, SETTLE_S):
            clock = Clock()
            budgets = RetryBudgets(0.0, 56.0, WINDOW_S, clock)
            budgets.try_spend("s", "a request")
            clock.now += unknown_s
            budgets.try_spend("s", "a request")
            budgets.sharing_nodes = HOSTS
            clock.now = WINDOW_S / 2
            used.append(budgets.try_spend("s", "a request"))
            used.append(budgets._bucket_by_service["s"].tokens)
        assert used[:2] == used[2:]
