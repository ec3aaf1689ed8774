"""Property-based tests of how versions propagate from the store to the nodes.

They run the real code of one to five nodes in up to three data centres (table replicas,
backoff, relays, catch-up, the configuration in force) in simulated time. The simulated
store is silent, refuses calls, rejects some nodes, delays answers, returns old states
and drops its history. Nodes freeze or restart, networks are partitioned, and gossip is
lost, duplicated and reordered. ``support/version_guarantees.py`` has the guarantees.

The bounds (``support/version_plans.py``) are 5 nodes, 8 changes besides 3 at the start,
6 faults of up to 5 s and 2 lost histories, all beginning within 8 s, in simulations of
up to 18 s. ``EELGRASS_PATH_EXAMPLES`` sets the number of examples. A run without
findings shows nothing about cases outside the bounds, and little about cases that need
three faults in one order.

Earlier code did not call the store for 3 s after a node's relay had lost the store. The
search found a late configuration in it on the 23rd example, which shrinks to
``SILENT_STORE``, a store that is silent for a second. With that plan both followers
were late with 86 and 82 of 100 seeds, and with none without those 3 s. The search also
found a removed row that another node brought back (``REMOVAL_FORGOTTEN``).

The faults in the last classes are within the bounds as well, but the search does not
find them; their plans are derived from the timeouts.
"""

import os

import hypothesis
import msgspec
import pytest

from eelgrass_node.exceptions import StoreUnavailable
from eelgrass_node.process.deployments import DeploymentInForce
from eelgrass_node.process.store_backoff import StoreBackoff
from eelgrass_node.process.store_tables import TableReplica
from eelgrass_node.process.table_relay import RelayedReader
from support.simulated_time import run_in_simulated_time
from support.store_simulation import Outage
from support.version_guarantees import (
    guarantee_violations,
    late_through_any_relay,
    late_through_first_relay,
)
from support.version_plan import Change, Freeze, Plan, StaleReads
from support.version_plans import plans
from support.version_simulation import VersionSimulation

# Each example takes about 40 ms; use thousands for a manual search.
EXAMPLES = int(os.environ.get("EELGRASS_PATH_EXAMPLES", "240"))
RELAY_EXAMPLES = EXAMPLES // 6
# Each known plan runs with this many seeds, which vary the backoff and the gossip.
SEEDS = 8

LISTED = (Change(0.0, "i1"), Change(0.0, "i2"))


def searched(examples):
    return hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=[hypothesis.Phase.generate, hypothesis.Phase.shrink],
    )


def played(plan):
    return run_in_simulated_time(VersionSimulation(plan).run())


def violations_with_any_seed(plan, check=guarantee_violations):
    return [
        (seed, violation)
        for seed in range(SEEDS)
        for violation in check(played(msgspec.structs.replace(plan, seed=seed)))
    ]


class TestAnyPlan:
    @searched(EXAMPLES)
    @hypothesis.given(plans())
    def test_no_promise_is_broken(self, plan):
        assert guarantee_violations(played(plan)) == []

    @searched(RELAY_EXAMPLES)
    @hypothesis.given(plans())
    def test_a_relay_passes_on_which_servers_there_are(self, plan):
        assert list(late_through_first_relay(played(plan))) == []


# The relay of the operator's table is rejected; then the store is silent for all.
REJECTED_RELAY = Plan(
    "aaa",
    (*LISTED, Change(11.0), Change(11.1)),
    (Outage(4.0, 17.0, frozenset({"n2"})), Outage(10.3, 12.1)),
)
SILENT_STORE = Plan("aaa", (*LISTED, Change(2.0)), (Outage(2.0, 3.0),))
# History loss and a removal at the same time; then nodes announce a configuration.
REMOVAL_FORGOTTEN = Plan(
    "aaa",
    (*LISTED, Change(2.0), Change(2.0, "i1", True)),
    (Outage(2.0, 2.05), Outage(2.0, 4.49)),
    (2.0,),
)
OLD_STATES = Plan(
    "aaa",
    (*LISTED, Change(2.0)),
    (Outage(2.0, 2.05), StaleReads(2.57, 2.92, 2.58)),
    (2.0,),
)
REFUSED = Plan("a", (*LISTED, Change(4.0)), (Outage(2.0, 2.45, None, True),))


class TestKnownPlans:
    """The smallest plans with which the search has found violations."""

    @pytest.mark.parametrize(
        "plan", [REJECTED_RELAY, SILENT_STORE, REMOVAL_FORGOTTEN, OLD_STATES, REFUSED]
    )
    def test_no_guarantee_is_violated(self, plan):
        assert violations_with_any_seed(plan) == []


class TestChecks:
    """Each check finds its violation once the code that prevents it is disabled."""

    def kinds(self, plan):
        return {text.partition(":")[0] for _, text in violations_with_any_seed(plan)}

    def test_changes_are_late_if_the_store_is_not_called_after_a_failure(
        self, monkeypatch
    ):
        ask_store = RelayedReader._feed_from_store
        failed_at = {}

        async def ask_rarely(reader, table, after, wait_s):
            now = reader._clock()
            if reader._relays(table) and now < failed_at.get(reader, -9.0) + 3.0:
                raise StoreUnavailable(table, "not asked")
            try:
                return await ask_store(reader, table, after, wait_s)
            except StoreUnavailable:
                failed_at[reader] = reader._clock()
                raise

        monkeypatch.setattr(RelayedReader, "_feed_from_store", ask_rarely)
        assert "late" in self.kinds(REJECTED_RELAY)

    def test_a_version_goes_back_if_any_state_is_applied(self, monkeypatch):
        def apply_any(deployments, raw, source):
            deployments.current = deployments._decode(raw)
            deployments._on_advance(deployments.number)

        async def step_without_checks(table):
            if table._is_complete:
                table._apply(
                    await table._reader.feed(table._table, table._version, 0.5)
                )
            else:
                table._apply_snapshot(await table._reader.read_table(table._table))
            return table._is_complete

        monkeypatch.setattr(DeploymentInForce, "apply", apply_any)
        monkeypatch.setattr(TableReplica, "_step", step_without_checks)
        monkeypatch.setattr(TableReplica, "_apply_if_newer", lambda table, row: True)
        old = StaleReads(3.0, 3.3, 1.5)
        assert "back" in self.kinds(Plan("a", (Change(2.0),), (old,), (3.0,)))

    def test_a_removed_row_comes_back_if_peer_rows_are_not_checked(self, monkeypatch):
        def apply_all(table, rows, node):
            applied = tuple(row for row in rows if table._apply_if_newer(row))
            table._on_rows(applied, node)

        monkeypatch.setattr(TableReplica, "apply_peer_rows", apply_all)
        assert "row back" in self.kinds(REMOVAL_FORGOTTEN)

    def test_calls_without_a_backoff_exceed_the_limit(self, monkeypatch):
        monkeypatch.setattr(StoreBackoff, "next_delay_s", lambda backoff: 0.02)
        assert "calls" in self.kinds(REFUSED)


class TestFrozenRelayAfterRejectedOne:
    """A node must not wait for two failing relays in turn while the store answers it.

    The first relay detects after 1.6 s that the store rejects it, and reports that. The
    second relay is frozen, which takes another 1.1 s to detect with a full wait. The
    change was in force after 2.67 s, and the deadline is 2 s. So a relay that was not
    the last source is asked without a wait.
    """

    def test_a_node_that_the_store_answers_has_a_change_in_time(self):
        rejected = Outage(2.54, 6.54, frozenset({"n2"}))
        frozen = Freeze(4.11, 7.11, "n0")
        plan = Plan("aaa", (Change(2.55),), (rejected, frozen))
        assert violations_with_any_seed(plan) == []


class TestRelayThatWasFrozen:
    """A recovered relay must not stay backed off for 3 s if the store rejects a node.

    The node has no other source for the server table, so a removal was applied 3.34 s
    after the relay had it. If the store does not answer either, a relay that failed is
    asked without a wait.
    """

    def test_it_is_asked_again_in_time(self):
        rejected = Outage(2.0, 9.0, frozenset({"n0"}))
        frozen = Freeze(2.91, 3.39, "n1")
        changes = (Change(0.0, "i1"), Change(4.01, "i1", True))
        plan = Plan("aa", changes, (rejected, frozen))
        assert violations_with_any_seed(plan, late_through_first_relay) == []


class TestSilentRelayBesideHealthyOne:
    """A silent relay must not keep a node that the store rejects from the next relay.

    The first relay is silent for 5 s. It was asked again in each turn, and no other
    relay is asked after a silent one. A removal was applied 4.5 to 5.7 s late.
    """

    def test_the_next_relay_delivers_the_change_in_time(self):
        rejected = Outage(2.0, 9.0, frozenset({"n0"}))
        frozen = Freeze(2.5, 7.5, "n1")
        changes = (Change(0.0, "i1"), Change(3.0, "i1", True))
        plan = Plan("aaa", changes, (rejected, frozen))
        assert violations_with_any_seed(plan, late_through_any_relay) == []
