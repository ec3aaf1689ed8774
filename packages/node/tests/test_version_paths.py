"""The path of versions from the store over relays and other nodes, searched for faults.

What it explores: the real decisions of one to five nodes in up to three data centres
(following, pace, relays, catching up, the configuration in force) in simulated time,
before a store that is silent, refuses, turns some away, answers late, shows old states
and forgets its history; with nodes that freeze or restart, ways that are cut, and news
of versions that is lost, or comes twice and out of order. What is promised stands in
``support/version_promises.py``.

Its bound (``support/version_plans.py``): 5 nodes, 8 changes beside 3 at the start, 6
harms of up to 5 s, 2 forgotten histories, all begun within 8 s, days of up to 18 s; so
many examples as ``EELGRASS_PATH_EXAMPLES`` says. A run that finds nothing says nothing
about what is outside of it, and not much about what needs three harms in one order.

What it found on earlier code, on which a node whose relay had lost the store left the
store alone for 3 s: a configuration that was late, on the 23rd example. It shrinks to a
store that is silent for a second (``SILENT_STORE``). With it both followers were late
with 86 and 82 of 100 seeds, and with none once those 3 s were taken out. On the way it
met a removed row that another node brought back (``REMOVAL_FORGOTTEN``).

The two faults at the end lay within the bound, too, but the search did not come upon
them: they were worked out from the waits, and played.
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

# Some 40 ms each; in thousands by hand.
EXAMPLES = int(os.environ.get("EELGRASS_PATH_EXAMPLES", "240"))
RELAY_EXAMPLES = EXAMPLES // 6
# A day that was found is played with this many seeds: other pauses, other news.
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


def broken_with_any_seed(plan, judge=guarantee_violations):
    return [
        (seed, broken)
        for seed in range(SEEDS)
        for broken in judge(played(msgspec.structs.replace(plan, seed=seed)))
    ]


class TestAnyDay:
    @searched(EXAMPLES)
    @hypothesis.given(plans())
    def test_no_promise_is_broken(self, plan):
        assert guarantee_violations(played(plan)) == []

    @searched(RELAY_EXAMPLES)
    @hypothesis.given(plans())
    def test_a_relay_passes_on_which_servers_there_are(self, plan):
        assert list(late_through_first_relay(played(plan))) == []


# The relay of the operator's table is turned away; then the store is silent for all.
TURNED_AWAY = Plan(
    "aaa",
    (*LISTED, Change(11.0), Change(11.1)),
    (Outage(4.0, 17.0, frozenset({"n2"})), Outage(10.3, 12.1)),
)
SILENT_STORE = Plan("aaa", (*LISTED, Change(2.0)), (Outage(2.0, 3.0),))
# History and a removal at the same time; then others tell of a configuration.
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


class TestDaysFoundBefore:
    """The smallest days on which the search found something, then or on a trial."""

    @pytest.mark.parametrize(
        "plan", [TURNED_AWAY, SILENT_STORE, REMOVAL_FORGOTTEN, OLD_STATES, REFUSED]
    )
    def test_no_promise_is_broken(self, plan):
        assert broken_with_any_seed(plan) == []


class TestChecker:
    """It tells of each kind of break where what prevents it is taken out."""

    def kinds(self, plan):
        return {broken.partition(":")[0] for _, broken in broken_with_any_seed(plan)}

    def test_a_store_that_is_left_alone_makes_changes_late(self, monkeypatch):
        ask_store = RelayedReader._feed_from_store
        failed_at = {}

        async def ask_seldom(reader, table, after, wait_s):
            now = reader._clock()
            if reader._relays(table) and now < failed_at.get(reader, -9.0) + 3.0:
                raise StoreUnavailable(table, "not asked")
            try:
                return await ask_store(reader, table, after, wait_s)
            except StoreUnavailable:
                failed_at[reader] = reader._clock()
                raise

        monkeypatch.setattr(RelayedReader, "_feed_from_store", ask_seldom)
        assert "late" in self.kinds(TURNED_AWAY)

    def test_a_version_goes_back_where_every_state_is_believed(self, monkeypatch):
        def take_any(deployments, raw, source):
            deployments.current = deployments._decode(raw)
            deployments._on_advance(deployments.number)

        async def believe_any(table):
            if table._is_complete:
                table._apply(
                    await table._reader.feed(table._table, table._version, 0.5)
                )
            else:
                table._apply_snapshot(await table._reader.read_table(table._table))
            return table._is_complete

        monkeypatch.setattr(DeploymentInForce, "apply", take_any)
        monkeypatch.setattr(TableReplica, "_step", believe_any)
        monkeypatch.setattr(TableReplica, "_apply_if_newer", lambda table, row: True)
        old = StaleReads(3.0, 3.3, 1.5)
        assert "back" in self.kinds(Plan("a", (Change(2.0),), (old,), (3.0,)))

    def test_another_node_brings_a_removed_row_back(self, monkeypatch):
        def take_all(table, rows, node):
            news = tuple(row for row in rows if table._apply_if_newer(row))
            table._on_rows(news, node)

        monkeypatch.setattr(TableReplica, "apply_peer_rows", take_all)
        assert "row back" in self.kinds(REMOVAL_FORGOTTEN)

    def test_tries_without_a_pause_are_needless_calls(self, monkeypatch):
        monkeypatch.setattr(StoreBackoff, "next_delay_s", lambda pace: 0.02)
        assert "calls" in self.kinds(REFUSED)


class TestFrozenRelayBesideOneTurnedAway:
    """The store answers a node, which waits for two relays in turn all the same.

    The first relay notices after 1.6 s that the store has turned it away, and tells;
    the second does not answer, which showed after 1.1 s. That is more than 2 s: seen
    was 2.67 s. A relay that was not the source before is asked without a wait.
    """

    def test_a_node_that_the_store_answers_has_a_change_in_time(self):
        turned_away = Outage(2.54, 6.54, frozenset({"n2"}))
        frozen = Freeze(4.11, 7.11, "n0")
        plan = Plan("aaa", (Change(2.55),), (turned_away, frozen))
        assert broken_with_any_seed(plan) == []


class TestRelayThatWasFrozen:
    """A relay that is well again was passed over for 3 s by one without the store.

    The store turns the follower away, and no other node tells it of servers: a removal
    came 3.34 s after the relay had it. Where the store does not answer either, a relay
    that failed is asked for what it has.
    """

    def test_it_is_asked_again_in_time(self):
        turned_away = Outage(2.0, 9.0, frozenset({"n0"}))
        frozen = Freeze(2.91, 3.39, "n1")
        changes = (Change(0.0, "i1"), Change(4.01, "i1", True))
        plan = Plan("aa", changes, (turned_away, frozen))
        assert broken_with_any_seed(plan, late_through_first_relay) == []


class TestSilentRelayBesideOneThatIsWell:
    """The store turns a node away while its first relay is silent for 5 s.

    The second one was not asked: the first was asked again in each turn, and after a
    silent one no other is. A removal came 4.5 to 5.7 s late.
    """

    def test_the_next_relay_tells_it_in_time(self):
        turned_away = Outage(2.0, 9.0, frozenset({"n0"}))
        frozen = Freeze(2.5, 7.5, "n1")
        changes = (Change(0.0, "i1"), Change(3.0, "i1", True))
        plan = Plan("aaa", changes, (turned_away, frozen))
        assert broken_with_any_seed(plan, late_through_any_relay) == []
