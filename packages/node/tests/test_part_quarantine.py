"""Quarantine of prompt parts, in simulated time and without network."""

import pytest

from eelgrass_coordination.ids import BackendId, SoftwareVersion
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_subjects import PartCrash, PartKey
from eelgrass_node.process.joined import SETTLE_S
from eelgrass_node.process.poison_parts import (
    PartGossip,
    PartQuarantine,
    TrialAdmission,
    TrialPermits,
    part_quarantine as module,
)
from support.clock import Clock
from support.members import member

FATAL, SHARED, OTHER = PartKey("fatal"), PartKey("shared"), PartKey("other")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
# Between two crashes, so that they do not count as one moment.
APART_S = 0.5


class Node:
    """One node's quarantine and permits, with a clock that the test sets."""

    def __init__(self):
        self.clock = Clock()
        self.served = {V1}
        self.quarantine = PartQuarantine(self.clock, lambda: self.served)
        self.permits = TrialPermits(self.quarantine, self.clock)
        self.clock.now += 100.0
        self._servers = 0

    def crash(self, *parts, version=V1, wait_s=APART_S):
        """Record a crash of one more server under parts, then wait."""
        self._servers += 1
        server = ServerIncarnation(BackendId(f"e{self._servers}"), self._servers)
        self.quarantine.record_crash(PartCrash(server, version, parts))
        self.clock.now += wait_s

    def answer(self, *parts, version=V1):
        """Record an answer that begins now."""
        self.quarantine.exonerate_answered(frozenset(parts), version, self.clock.now)

    def settle(self):
        """Wait until answers that begin now would be known; return the held parts."""
        self.clock.now += module.CONFIRM_S
        return self.quarantine.held_parts()


@pytest.fixture
def node():
    return Node()


class TestBlame:
    def test_three_crashes_without_an_answer_between_hold_a_part(self, node):
        for _ in range(2):
            node.crash(FATAL)
        assert not node.settle()
        node.crash(FATAL)
        assert node.settle() == {FATAL}

    # Guards against a part of all prompts that is held for what another part does.
    def test_parts_that_are_answered_between_the_crashes_are_not_held(self, node):
        for neighbour in "abc":
            node.crash(SHARED, FATAL, PartKey(neighbour))
            node.answer(SHARED)
        assert node.settle() == {FATAL}

    # Guards against a rare part that lost its server each time, and was not asked for
    # again before the next crash.
    def test_crashes_that_a_held_part_explains_do_not_count_against_others(self, node):
        for _ in range(3):
            node.crash(FATAL, OTHER)
        node.crash(FATAL)
        assert node.settle() == {FATAL}

    def test_two_harmful_parts_are_both_found(self, node):
        for _ in range(3):
            node.crash(FATAL, SHARED, wait_s=0.4)
            node.crash(OTHER, SHARED, wait_s=0.4)
            node.answer(SHARED)
        assert node.settle() == {FATAL, OTHER}

    # Guards against a part of all prompts that is held when servers crash together.
    def test_simultaneous_crashes_count_once(self, node):
        for _ in range(10):
            node.crash(SHARED, wait_s=0.01)
        assert not node.settle()
        node.answer(SHARED)
        for _ in range(10):
            node.crash(SHARED, wait_s=0.01)
        assert not node.settle()

    def test_an_answer_that_began_before_a_crash_says_nothing(self, node):
        began_at = node.clock.now
        node.clock.now += 0.1
        for _ in range(3):
            node.crash(FATAL)
        node.quarantine.exonerate_answered(frozenset((FATAL,)), V1, began_at)
        assert node.settle() == {FATAL}

    def test_crashes_are_forgotten_after_the_retention_time(self, node):
        for _ in range(3):
            node.crash(FATAL)
        assert node.settle() == {FATAL}
        node.clock.now += module.RETENTION_S
        assert not node.quarantine.held_parts()
        assert len(node.quarantine) == 0

    # Guards against a harmful part that is pushed out by crashes under ever new parts.
    def test_ever_new_parts_do_not_evict_a_held_one(self, node):
        for _ in range(3):
            node.crash(FATAL)
        assert node.settle() == {FATAL}
        for number in range(2 * module.MAX_CRASHES):
            node.crash(PartKey(f"new-{number}"))
        assert node.quarantine.held_parts() == {FATAL}
        assert len(node.quarantine) <= module.MAX_CRASHES


class TestVersions:
    # Guards against a part that one version answers and another one crashes under:
    # during a release its crashes would be cleared again and again.
    def test_an_answer_of_another_version_clears_nothing_while_both_serve(self, node):
        node.served = {V1, V2}
        for _ in range(3):
            node.crash(FATAL, version=V1)
            node.answer(FATAL, version=V2)
        assert node.settle() == {FATAL}

    def test_an_answer_of_a_new_version_clears_it_once_the_old_one_is_gone(self, node):
        for _ in range(3):
            node.crash(FATAL, version=V1)
        node.served = {V2}
        assert node.settle() == {FATAL}
        assert node.permits.issue(frozenset((FATAL,))).granted
        node.answer(FATAL, version=V2)
        assert not node.quarantine.held_parts()


class TestTrials:
    def hold(self, node, *parts, crashes=3):
        for _ in range(crashes):
            node.crash(*parts)
        assert node.settle() == set(parts)
        return frozenset(parts)

    def test_one_request_at_a_time_is_tried(self, node):
        held = self.hold(node, FATAL)
        assert node.permits.issue(held).granted
        assert not node.permits.issue(held).granted

    # Guards against sound requests that are refused because all harmful ones have the
    # same other parts.
    def test_parts_that_always_come_together_are_told_apart_by_a_trial(self, node):
        self.hold(node, FATAL, SHARED, crashes=6)
        assert not node.permits.issue(frozenset((FATAL, SHARED))).granted
        assert node.permits.issue(frozenset((SHARED,))).granted
        node.answer(SHARED)
        assert node.settle() == {FATAL}

    # Guards against trials that by themselves crash more servers than are allowed.
    def test_a_harmful_part_gets_few_trials_in_an_hour(self, node):
        held = self.hold(node, FATAL, crashes=5)
        granted = 0
        for _ in range(3500):
            node.clock.now += 1.0
            if node.permits.issue(held).granted:
                granted += 1
                node.crash(FATAL, wait_s=0.0)
        assert granted <= 2

    def test_trials_without_a_result_become_rare_too(self, node):
        held = self.hold(node, FATAL)
        granted = 0
        for _ in range(600):
            node.clock.now += 1.0
            granted += node.permits.issue(held).granted
        assert granted <= 4

    def test_a_node_that_has_just_started_issues_none(self, node):
        held = self.hold(node, FATAL)
        fresh = TrialPermits(node.quarantine, node.clock)
        assert not fresh.issue(held).granted


class TestTrialsAfterAStart:
    """Nodes that have just started know one other each, which is seldom the owner."""

    NODES = 9

    def admission(self, node, name, known):
        """Return the admission of a node that starts now and knows some others."""
        self.permits[name] = TrialPermits(node.quarantine, node.clock)

        async def ask_owner(owner, parts):
            return self.permits[owner.id].issue(parts)

        return TrialAdmission(
            self.permits[name],
            lambda: member(name),
            lambda: [member(other) for other in known if other != name],
            ask_owner,
            node.clock,
        )

    def deployment(self, node):
        """Return the admissions of all nodes, and the parts that they hold."""
        self.permits = {}
        names = [f"n{number}" for number in range(self.NODES)]
        admissions = {name: self.admission(node, name, names) for name in names}
        node.clock.now += SETTLE_S
        for _ in range(3):
            node.crash(FATAL)
        return admissions, frozenset(node.settle())

    # Guards against trials beside that of the owner, from nodes that others take for
    # the owner.
    async def test_they_ask_for_no_trial(self, node):
        admissions, held = self.deployment(node)
        started = [self.admission(node, f"started {n}", [n]) for n in admissions]
        assert (await admissions["n0"].admit(held)).granted
        assert not any([(await admission.admit(held)).granted for admission in started])

    async def test_they_ask_once_they_have_settled(self, node):
        admissions, held = self.deployment(node)
        started = self.admission(node, "started", admissions)
        node.clock.now += SETTLE_S
        assert (await started.admit(held)).granted


class TestGossip:
    """Nodes that exchange gossip items in any order agree on the held parts."""

    def nodes(self, count):
        nodes = [Node() for _ in range(count)]
        items = []
        gossip = [
            PartGossip(n.quarantine, items.extend, n.clock, lambda: 1000) for n in nodes
        ]
        return nodes, gossip, items

    def test_nodes_that_see_one_crash_each_agree(self):
        nodes, gossip, items = self.nodes(4)
        for number, seen_by in enumerate((0, 1, 2)):
            server = ServerIncarnation(BackendId(f"e{number}"), number)
            crash = PartCrash(server, V1, (FATAL, SHARED))
            nodes[seen_by].quarantine.record_crash(crash)
            gossip[seen_by].announce_crash(crash)
            for receiver in gossip:
                for item in items:
                    receiver.receive(item)
            items.clear()
            for node in nodes:
                node.clock.now += APART_S
            cleared = nodes[3].quarantine.exonerate_answered(
                frozenset((SHARED,)), V1, nodes[3].clock.now
            )
            gossip[3].announce_exonerations(cleared)
        for receiver in gossip:
            for item in reversed(items):
                receiver.receive(item)
        assert [node.settle() for node in nodes] == [{FATAL}] * 4

    def test_an_exoneration_may_arrive_before_the_crash(self):
        [node], [gossip], items = self.nodes(1)
        server = ServerIncarnation(BackendId("e1"), 1)
        gossip.announce_exonerations([(SHARED, server)])
        gossip.receive(items[0])
        assert not node.quarantine.record_crash(PartCrash(server, V1, (SHARED,)))
        assert len(node.quarantine) == 0

    def test_invalid_items_are_ignored(self):
        [node], [gossip], items = self.nodes(1)
        gossip.announce_exonerations([(SHARED, ServerIncarnation(BackendId("e1")))])
        for name in ("", "x", "[]", "{}", '["a"]', '["a", 1]', '[["e", 0], "v"]'):
            for kind in ("crash-under-parts", "part-exonerated"):
                gossip.receive(type(items[0])(kind, name, 1))
        assert len(node.quarantine) == 0
