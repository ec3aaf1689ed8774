"""Compares ways to blame prompt parts for crashes, in simulated time.

Requests with a harmful part crash their servers in a fleet of many servers, among
sound requests with popular and rare parts. For each way it prints how many servers
crash until the part is held, and how many sound parts are held with it. Crashes and
answers are known at once everywhere; gossip takes milliseconds.

Run: ``PYTHONPATH=tests python benchmarks/poison_parts.py``
"""

import heapq
import itertools
import random
import statistics

import msgspec

from eelgrass_coordination.ids import BackendId, SoftwareVersion
from eelgrass_node.process.crash_subjects import PartCrash, PartKey
from eelgrass_node.process.host_entry import ServerIncarnation
from eelgrass_node.process.poison_parts import PartQuarantine, TrialPermits

VERSION = SoftwareVersion("v1")
FATAL = PartKey("fatal")
SEEDS = 20
CONFIRM_ANSWER_S = 0.15


class Load(msgspec.Struct, frozen=True):
    """Servers, requests per second, and the parts that their prompts share."""

    name: str
    servers: int
    sound_per_s: float
    fatal_per_s: float
    first_parts: int
    second_parts: int
    run_s: float = 3.0
    restart_s: float = 5.0
    for_s: float = 30.0


LOADS = (
    Load("9 servers", 9, 15.0, 1.5, 4, 78),
    Load("10 servers, the part in 1 of 6 requests", 10, 20.0, 4.0, 1, 12),
    Load("870 servers", 870, 2200.0, 4.0, 40, 5000),
    Load("870 servers, a burst", 870, 2200.0, 50.0, 40, 5000),
    Load("870 servers, rare", 870, 2200.0, 0.3, 40, 5000, for_s=60.0),
)


class Naive(PartQuarantine):
    """Holds each part with three crashes, whatever else explains them."""

    def _explain_crashes(self, now):
        held = {p for p, servers in self._servers_by_part.items() if len(servers) >= 3}
        return frozenset(held), float("inf")


class Unforgiving(Naive):
    """Holds each part with three crashes, and ignores answers."""

    def exonerate_answered(self, parts, version, began_at):
        """Clear nothing."""
        return []


class Fleet:
    """Plays one load against one quarantine; all hosts share it."""

    def __init__(self, load: Load, kind: type[PartQuarantine], seed: int) -> None:
        self.load = load
        self.now = 0.0
        self.random = random.Random(seed)
        self.quarantine = kind(lambda: self.now, lambda: {VERSION})
        self.permits = TrialPermits(self.quarantine, lambda: self.now)
        self.permits._settled_at = 0.0
        self.up = list(range(load.servers))
        self.running: dict[int, dict[int, frozenset]] = {n: {} for n in self.up}
        self.start_by_server = dict.fromkeys(self.up, 0)
        self.numbers = itertools.count()
        self.events: list[tuple] = []
        self.crashes = self.refused_sound = self.sound = 0
        self.sound_held: set[PartKey] = set()

    def at(self, time, action, *arguments):
        """Schedule a call."""
        heapq.heappush(self.events, (time, next(self.numbers), action, arguments))

    def play(self):
        """Play all events, and return the fleet."""
        self.at(0.0, self.arrive, False)
        self.at(2.0, self.arrive, True)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            if self.now > self.load.for_s:
                break
            action(*arguments)
        return self

    def arrive(self, fatal):
        """Send one request, unless a part of it is held."""
        load = self.load
        rate = load.fatal_per_s if fatal else load.sound_per_s
        self.at(self.now + self.random.expovariate(rate), self.arrive, fatal)
        # The second parts are used unequally: some are rare.
        second = int(load.second_parts * self.random.random() ** 2)
        parts = {f"a{self.random.randrange(load.first_parts)}", f"b{second}"}
        parts = frozenset(map(PartKey, parts | ({FATAL} if fatal else set())))
        self.sound += not fatal
        held = self.quarantine.held_among(parts)
        self.sound_held |= self.quarantine.held_parts() - {FATAL}
        if (held and not self.permits.issue(held).granted) or not self.up:
            self.refused_sound += bool(held) and not fatal
            return
        server, number = self.random.choice(self.up), next(self.numbers)
        self.running[server][number] = parts
        if fatal:
            self.at(self.now + 0.1, self.crash, server, number)
        else:
            began_at = self.now + 0.1
            self.at(began_at + CONFIRM_ANSWER_S, self.answer, server, number, began_at)
            self.at(self.now + load.run_s, self.end, server, number)

    def answer(self, server, number, began_at):
        """Report that an answer has gone on for a while."""
        parts = self.running[server].get(number)
        if parts is not None:
            self.quarantine.exonerate_answered(parts, VERSION, began_at)

    def end(self, server, number):
        """Complete a request."""
        self.running[server].pop(number, None)

    def crash(self, server, number):
        """Crash the server of a fatal request."""
        if number not in self.running[server]:
            return
        self.crashes += 1
        lost = self.running[server]
        self.running[server] = {}
        self.up.remove(server)
        self.start_by_server[server] += 1
        incarnation = ServerIncarnation(
            BackendId(str(server)), self.start_by_server[server]
        )
        parts = frozenset().union(*lost.values())
        self.quarantine.record_crash(PartCrash(incarnation, VERSION, tuple(parts)))
        self.at(self.now + self.load.restart_s, self.up.append, server)


def main() -> None:
    """Print one row for each load and way."""
    print("load | way | crashes, median and most | sound parts held | refused")
    for load in LOADS:
        for kind in (Unforgiving, Naive, PartQuarantine):
            plays = [Fleet(load, kind, seed).play() for seed in range(SEEDS)]
            crashes = [play.crashes for play in plays]
            refused = sum(play.refused_sound for play in plays)
            print(
                load.name,
                kind.__name__,
                f"{statistics.median(crashes):.0f}, {max(crashes)}",
                f"{sum(len(play.sound_held) for play in plays) / SEEDS:.1f}",
                f"{refused / sum(play.sound for play in plays):.4f}",
                sep=" | ",
            )


if __name__ == "__main__":
    main()
