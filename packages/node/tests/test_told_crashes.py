"""Tests for the crashes that a node tells one that has just started."""

from eelgrass_coordination.ids import BackendId, SoftwareVersion
from eelgrass_node.process.backends import Backends, ServerIncarnation
from eelgrass_node.process.crash_subjects import Fingerprint, PartCrash, PartKey
from eelgrass_node.process.poison_parts import part_quarantine
from eelgrass_node.process.poison_requests import MAX_TOLD, PoisonRequests
from support.clock import Clock

FATAL = Fingerprint("fatal")
PART = PartKey("fatal part")
# Between two crashes, so that they do not count as one.
APART_S = 1.0


def poison_requests(clock):
    """Return the records of a node that has heard of no crash."""
    return PoisonRequests(
        Backends(),
        None,
        lambda items: None,
        clock,
        lambda: int(clock.now * 1000),
        None,
        None,
    )


def crash(number):
    """Return the incarnation of one more server that has crashed."""
    return ServerIncarnation(BackendId(f"e{number}"), number)


class TestToldCrashes:
    def told(self, clock, teller):
        """Return the records of a node that starts and hears from another one."""
        started = poison_requests(clock)
        started.apply_peer_crashes(teller.crashes(), teller.part_crashes())
        return started

    # Guards against a node that starts and knows nothing of crashes that the store did
    # not accept, and of which all others have heard.
    def test_what_one_node_holds_in_quarantine_the_other_does_too(self):
        clock = Clock(1000.0)
        teller = poison_requests(clock)
        for number in range(3):
            teller.quarantine.record_crash(FATAL, crash(number))
            parts = PartCrash(crash(number), SoftwareVersion("v1"), (PART,))
            teller.parts.quarantine.record_crash(parts)
            clock.now += APART_S
        clock.now += part_quarantine.CONFIRM_S
        started = self.told(clock, teller)
        assert started.quarantine.is_quarantined(FATAL)
        assert started.parts.held_parts() == {PART}

    def test_a_crash_that_is_forgotten_there_is_so_here(self):
        clock = Clock(1000.0)
        teller = poison_requests(clock)
        teller.quarantine.record_crash(FATAL, crash(1))
        clock.now += 3000.0
        started = self.told(clock, teller)
        assert started.quarantine.is_suspect(FATAL)
        clock.now += 600.0
        assert not started.quarantine.is_suspect(FATAL)

    def test_the_last_crashes_are_told_if_there_are_very_many(self):
        clock = Clock(1000.0)
        teller = poison_requests(clock)
        for number in range(MAX_TOLD + 1):
            teller.quarantine.record_crash(Fingerprint(f"r{number}"), crash(number))
            clock.now += 0.1
        told = {known.request for known in teller.crashes()}
        assert len(told) == MAX_TOLD
        assert "r0" not in told
