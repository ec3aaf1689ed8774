"""Compares the quarantine with a simple model of it, over any order of events.

The examples are the same in each run; ``EELGRASS_FRESH_DRAWS=1`` draws others by hand.
Failures that those find are added as tests here.
"""

import os

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eelgrass_coordination.ids import BackendId
from eelgrass_node.process.backends import ServerIncarnation
from eelgrass_node.process.crash_detector import Fingerprint
from eelgrass_node.process.quarantine import (
    MAX_CRASHES,
    MIN_NEIGHBOURS,
    RETENTION_S,
    SAME_CAUSE_S,
    TIE_RETRY_S,
    Quarantine,
)
from support.clock import Clock

REQUESTS = [Fingerprint(name) for name in "abc"]
LIVES = [ServerIncarnation(BackendId(f"e{number}")) for number in range(6)]
requests = st.sampled_from(REQUESTS)
lives = st.sampled_from(LIVES)
PAUSES_S = [0.1, SAME_CAUSE_S, 0.5, TIE_RETRY_S, 60.0, RETENTION_S / 2]
FRESH_DRAWS = "EELGRASS_FRESH_DRAWS" in os.environ


class QuarantineMachine(RuleBasedStateMachine):
    """Keeps the time of each end by request and server, and judges from these alone."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.quarantine = Quarantine(self.clock)
        self.ended_at = {}

    @rule(running=st.sets(requests, min_size=1), life=lives)
    def end(self, running, life):
        """End a server under all requests that it runs."""
        for request in sorted(running):
            self.quarantine.record_crash(request, life)
            self.ended_at.setdefault((request, life), self.clock.now)

    @rule(request=requests, life=lives)
    def drop(self, request, life):
        self.quarantine.remove_crash(request, life)
        self.ended_at.pop((request, life), None)
        self.forget_old()

    @rule(request=requests)
    def succeed(self, request):
        self.quarantine.clear(request)
        for life in LIVES:
            self.ended_at.pop((request, life), None)

    @rule(
        passed_s=st.sampled_from(
            [0.1, SAME_CAUSE_S, 0.5, TIE_RETRY_S, 60.0, RETENTION_S / 2]
        )
    )
    def wait(self, passed_s):
        self.clock.now += passed_s
        self.forget_old()

    def forget_old(self):
        for request in REQUESTS:
            if self.last_at(request) <= self.clock.now - RETENTION_S:
                self.succeed(request)

    @invariant()
    def agrees(self):
        for request in REQUESTS:
            ended = self.lives_of(request)
            assert set(self.quarantine.crashed_servers(request)) == ended
            assert self.quarantine.is_suspect(request) == bool(ended)
            assert self.quarantine.is_quarantined(request) == self.is_held(request)
        known = {request for request, _ in self.ended_at}
        assert len(self.quarantine) == len(known)

    @invariant()
    def keeps_nothing_of_what_is_forgotten(self):
        kept = self.quarantine._requests_by_life
        pairs = {(request, life) for life, group in kept.items() for request in group}
        assert pairs == self.ended_at.keys()

    def lives_of(self, request):
        return {life for known, life in self.ended_at if known == request}

    def last_at(self, request):
        times = (at for (known, _), at in self.ended_at.items() if known == request)
        return max(times, default=self.clock.now)

    def moments_of(self, request):
        """Count ends; those at one moment once where others ran on each server."""
        ended = self.lives_of(request)
        others = [r for r in REQUESTS if r != request]
        speaking = [r for r in others if not ended <= self.lives_of(r)]
        shared = {
            life
            for life in ended
            if sum((r, life) in self.ended_at for r in speaking) >= MIN_NEIGHBOURS
        }
        left = sorted(ended, key=lambda life: self.ended_at[request, life])
        count = 0
        while left:
            first_at = self.ended_at[request, left[0]]
            moment = [
                life
                for life in left
                if self.ended_at[request, life] - first_at <= SAME_CAUSE_S
            ]
            together = shared.issuperset(moment) and self.others_ended(ended, first_at)
            count += 1 if together else len(moment)
            left = left[len(moment) :]
        return count

    def others_ended(self, lives, at):
        """Say whether a server ended at a moment that is not one of some."""
        return any(
            abs(ended_at - at) <= SAME_CAUSE_S
            for (_, life), ended_at in self.ended_at.items()
            if life not in lives
        )

    def is_held(self, request):
        ended = self.lives_of(request)
        if len(ended) < MAX_CRASHES:
            return False
        moments = self.moments_of(request)
        if len(ended) > MAX_CRASHES:
            return moments > 1
        if moments < MAX_CRASHES:
            return False
        others = [self.lives_of(r) for r in REQUESTS if r != request]
        rivals = [lives for lives in others if lives >= ended]
        if any(len(lives) > MAX_CRASHES for lives in rivals):
            return False
        return not rivals or self.clock.now - self.last_at(request) >= TIE_RETRY_S


TestQuarantineModel = QuarantineMachine.TestCase
TestQuarantineModel.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=not FRESH_DRAWS,
    database=None,
)


class TestRemovedCrashes:
    # Guards against a request that is kept by a crash as old as the forgotten ones.
    def test_the_age_of_a_request_is_that_of_its_last_remaining_crash(self):
        machine = QuarantineMachine()
        request, (older, newer) = REQUESTS[0], LIVES[:2]
        machine.end({request}, older)
        machine.wait(RETENTION_S / 2)
        machine.end({request}, newer)
        machine.wait(RETENTION_S / 2)
        machine.drop(request, newer)
        machine.agrees()
        assert not machine.quarantine.is_suspect(request)
