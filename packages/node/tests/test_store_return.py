"""A change is in force in time although the store turns the relay away.

What was seen: a configuration that had been confirmed was unknown at five of eight
nodes for 3.8 s after their calls to the store had failed once; routes that it had
added were refused, and keys, too. 2 s are promised.

How it came about: the store had turned away the nodes that read it for their data
centres, so the others read it themselves. Then the store fell silent for a moment, as
it does before it forgets its history, and the configuration changed meanwhile.

The cause: a node whose relay has lost the store left the store alone for 3 s after a
call that failed, to spare calls in an outage, and one table's failure held up the
other. Those 3 s came on top of the 1.6 s in which a silent call is noticed and of the
pause between two tries; each had been chosen by itself, and nothing compared their sum
with what is promised. What proved it: the log line of each try that is not made, on a
day on which the store did the same (the store "is not asked for another 2.85 s"), and
this test.
"""

import asyncio
import random

import pytest

from support.simulated_time import run_in_simulated_time
from support.store_simulation import Outage, StoreSimulation

# What is promised, after the later of the confirmation and the store's return.
IN_FORCE_S = 2.0
# Some 4 s of the machine's time in all.
SEEDS = 100


class TestTurnedAwayRelay:
    async def incident(self):
        relay = StoreSimulation.relay()
        silent = Outage(10.3, 12.1)
        day = StoreSimulation([Outage(4.0, 20.0, frozenset({relay})), silent])
        day.change()
        running = asyncio.create_task(day.run(until=19.0))
        await asyncio.sleep(11.0)
        day.change()
        await asyncio.sleep(0.1)
        newest = day.change()
        await running
        return {
            node.id: day.applied_at.get((node.id, newest), 99.0) - silent.end
            for node in day.members
            if node.id != relay
        }

    def test_the_others_have_the_change_in_time(self):
        random.seed(0)
        late_s = run_in_simulated_time(self.incident())
        assert max(late_s.values()) <= IN_FORCE_S


class TestAnyOutage:
    """Outages of some or all, silent or refusing, in any phase of the calls."""

    async def changes(self, seed, count=3, most_hit=2):
        random.seed(seed)
        randomness = random.Random(seed)
        nodes = [f"n{number}" for number in range(count)]
        outages = []
        for _ in range(randomness.randint(1, 4)):
            begin = randomness.uniform(3.0, 14.0)
            some = frozenset(randomness.sample(nodes, randomness.randint(1, most_hit)))
            outages.append(
                Outage(
                    begin,
                    begin + randomness.uniform(0.2, 6.0),
                    randomness.choice([some, some, None]),
                    randomness.random() < 0.3,
                )
            )
        day = StoreSimulation(outages, nodes=count)
        number = day.change()
        day.list_server("i1")
        running = asyncio.create_task(day.run(until=30.0))
        changed_at = {number: 0.0}
        while asyncio.get_running_loop().time() < 20.0:
            await asyncio.sleep(randomness.uniform(0.1, 3.0))
            if randomness.random() < 0.2:
                day.store.drop_history()
            changed_at[day.change()] = asyncio.get_running_loop().time()
        day.remove_server("i1")
        removed_at = asyncio.get_running_loop().time()
        await running
        return [
            *(
                (node, number, self.late_s(outages, node, at, taken))
                for node in nodes
                for number, at in changed_at.items()
                for taken in [day.applied_at.get((node, number), 99.0)]
            ),
            *(
                (node, "i1", self.late_s(outages, node, removed_at, taken))
                for node in nodes
                for taken in [day.removed_at.get((node, "i1"), 99.0)]
            ),
        ]

    @staticmethod
    def late_s(outages, node, changed_at, applied_at):
        """Return how late a change was, from when the store answers the node."""
        last = changed_at
        for outage in sorted(outages, key=lambda outage: outage.begin):
            # An outage that begins before the promise has run out holds it up.
            if outage.affects(node, changed_at, last + IN_FORCE_S):
                last = max(last, outage.end)
        return applied_at - last

    def test_a_change_is_in_force_in_time(self):
        late = [
            (seed, *entry)
            for seed in range(SEEDS)
            for entry in run_in_simulated_time(self.changes(seed))
            if entry[-1] > IN_FORCE_S
        ]
        assert late == []

    def test_a_change_is_in_force_in_time_where_several_relays_are_hit(self):
        """Six nodes, of which three are asked in turn by the others."""
        late = [
            (seed, *entry)
            for seed in range(SEEDS)
            for entry in run_in_simulated_time(self.changes(seed, count=6, most_hit=4))
            if entry[-1] > IN_FORCE_S
        ]
        assert late == []


class TestCalls:
    """Each call is paid for: in an outage 82 nodes once made 4,000 in 8 s."""

    async def calls_per_node(self, deadline_s, refuses):
        day = StoreSimulation([Outage(5.0, 13.0, None, refuses)], deadline_s=deadline_s)
        day.change()
        day.list_server("i1")
        calls = await day.calls_between(5.0, 13.0, until=14.0)
        return calls / len(day.members)

    @pytest.mark.parametrize(
        ("deadline_s", "refuses", "most"),
        [(2.0, True, 27), (2.0, False, 15), (3.0, True, 17), (3.0, False, 12)],
    )
    def test_an_outage_of_all_costs_few(self, deadline_s, refuses, most):
        random.seed(0)
        assert run_in_simulated_time(self.calls_per_node(deadline_s, refuses)) <= most
