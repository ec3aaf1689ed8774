"""Looks for members that are gone, most of which start again soon.

A member that starts again may find no other by itself: its seeds may be out of date or
may have restarted together with it, or it may be the only seed. The other members then
have to find it. All of them together probe each member that is gone some ten times a
second at first, however many they are, and later only now and then.

A seed that ends at once and starts again soon is not known to be gone, and may know
nobody. So all of them together also probe each seed a few times an interval.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from .members import Member, MemberState, MemberTable
from .suspicion import Suspicions

__all__ = ["AbsentMembers"]

# Rounds of probes in an interval, and the probes in each that all members together send
# to a member that has just gone.
ROUNDS_PER_INTERVAL = 5
PROBES_PER_ROUND = 2
# Limits the messages of one member after many others have ended at once.
MAX_PROBES_PER_ROUND = 1
# Periods for which a member counts as just gone. A planned stop and the start that
# follows it take some ten seconds.
RECENT_PERIODS = 60
# Periods between probes of any member that is gone, and of the seeds that are missing.
# They heal a partition within seconds.
REGULAR_PROBE_PERIODS = 5
# Probes in a period that all members together send to the only live seed, at random
# times.
SEED_PROBES_PER_PERIOD = 4

# Sends a probe to an address, with the record of the member that should be there.
SendProbe = Callable[[str, Member | None], None]


class AbsentMembers:
    """Probes the members that are suspected or gone, and seeds that are not known."""

    def __init__(
        self,
        members: MemberTable,
        suspicions: Suspicions,
        seeds: Iterable[str],
        send_probe: SendProbe,
        interval_s: float,
        randomness: random.Random,
    ) -> None:
        self._members = members
        self._suspicions = suspicions
        self._seeds = list(seeds)
        self._send_probe = send_probe
        self._interval_s = interval_s
        self._random = randomness
        self._period = 0
        self._timer: asyncio.TimerHandle | None = None

    def missing_seeds(self) -> list[str]:
        """Return the addresses of the seeds that are not known to be alive."""
        known_addresses = {member.gossip for member in self._members.reachable()}
        return [seed for seed in self._seeds if seed not in known_addresses]

    def probe_missing_seeds(self) -> None:
        """Probe the seeds that are not known to be alive."""
        for seed in self.missing_seeds():
            self._send_probe(seed, None)

    def begin_period(self, period: int) -> None:
        """Probe an only seed; every few periods one member that is gone, too."""
        self._period = period
        self._probe_only_seed()
        if period % REGULAR_PROBE_PERIODS:
            return
        for member in self._sample(self._members.absent(), 1):
            self._send_probe(member.gossip, member)
        self.probe_missing_seeds()

    def on_change(self) -> None:
        """Begin to probe a member that may just have gone."""
        if self._timer is None and self._recent():
            delay_s = self._interval_s / ROUNDS_PER_INTERVAL
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._round)

    def stop(self) -> None:
        """Stop probing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _probe_only_seed(self) -> None:
        """Probe the live seed if there is one alone, at a random time of the period.

        It may start again before anyone takes it for gone, and no other seed can tell
        it of the members.
        """
        reachable = self._members.reachable()
        known_addresses = {member.gossip for member in reachable}
        live_seeds = [seed for seed in self._seeds if seed in known_addresses]
        if len(live_seeds) != 1:
            return
        if self._random.random() * len(reachable) < SEED_PROBES_PER_PERIOD:
            later = asyncio.get_running_loop().call_later
            delay_s = self._random.random() * self._interval_s
            later(delay_s, self._send_probe, live_seeds[0], None)

    def _round(self) -> None:
        self._timer = None
        senders = max(1, len(self._members.reachable()) + 1)
        chance = PROBES_PER_ROUND / senders
        chosen = [m for m in self._recent() if self._random.random() < chance]
        for member in self._sample(chosen, MAX_PROBES_PER_ROUND):
            self._send_probe(member.gossip, member)
        self.on_change()

    def _recent(self) -> list[Member]:
        gone = self._suspicions.recent(self._period - RECENT_PERIODS)
        members = (self._members.by_id.get(node) for node in gone)
        return [m for m in members if m and m.state is not MemberState.ALIVE]

    def _sample(self, members: list[Member], most: int) -> list[Member]:
        return self._random.sample(members, min(most, len(members)))
