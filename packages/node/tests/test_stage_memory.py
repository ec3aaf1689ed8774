"""A burst of requests whose stages share little memory for results.

The pattern: each request makes 8 results of 60 kB at one service, which 16 pieces of
the next one fetch. The first has memory for 0.8 s of results at full speed, and the
burst asks for a sixth more than both can make. Times and sizes are those of the users'
sheet.
"""

import asyncio
import random

import pytest

from eelgrass_node.process.fetched_inputs import FETCHED_S
from eelgrass_node.process.pieces import PieceOutcome, PieceTrouble
from eelgrass_node.version.deployment import PieceLimits
from support.instant_loop import run_instantly
from support.pieces import Service, now, pieces, server

CLERKS = PieceLimits(1, 2, 56, 0.15, 0.00225, 10_266_700.0, 4.0)
ARCHIVE = PieceLimits(1, 2, 91, 0.15, 0.00137, 1_611_460.0, 4.0)
CLERKS_SERVERS, ARCHIVE_SERVERS = 8, 10
SETS_PER_S = 225
BURST_S = 5.6
# From a node to the owner of a queue and back, both busy.
HOP_S = 0.05
# What is left of the aim of 2.7 s after the stage before, and of the time after which
# stages are given up.
DUE_S, DEADLINE_S = 1.9, 3.4


class Burst:
    """Requests that pass through both stages; counts those that are in time."""

    def __init__(self, tells_fetched):
        self.tells_fetched = tells_fetched
        self.clerks = self._service(CLERKS, CLERKS_SERVERS)
        self.archive = self._service(ARCHIVE, ARCHIVE_SERVERS)
        self.in_time = 0
        self.refused = 0

    @staticmethod
    def _service(limits, count):
        servers = [server(f"{limits.batch}-{n}") for n in range(count)]
        return Service(*servers, limits=limits)

    async def play(self):
        draw = random.Random(1)
        requests = []
        for number in range(int(SETS_PER_S * BURST_S)):
            requests.append(asyncio.create_task(self.request(f"r{number}")))
            await asyncio.sleep(draw.expovariate(SETS_PER_S))
        await asyncio.gather(*requests)
        return self

    async def request(self, name):
        arrived = now()
        first = pieces(name, 8, DUE_S - 0.4, 60_000, deadline_s=DEADLINE_S - 0.4)
        made = await self.clerks.queue.run(first)
        if any(outcome.handle is None for outcome in made):
            self.refused += 1
            return
        await asyncio.sleep(2 * HOP_S)
        handles = tuple(outcome.handle for outcome in made)
        makers = [(outcome.maker, outcome.handle) for outcome in made]
        freed = []

        def free():
            if not freed:
                freed.append(True)
                for life, handle in makers:
                    self.clerks.queue.free(life, [handle])

        left_s = arrived - now()
        second = pieces(
            name,
            16,
            DUE_S + left_s,
            6_000,
            deadline_s=DEADLINE_S + left_s,
            inputs=handles,
        )
        on_fetched = free if self.tells_fetched else None
        done = await self.archive.queue.run(second, on_fetched)
        await asyncio.sleep(2 * HOP_S)
        free()
        self.archive.queue.free(done[0].maker, [o.handle for o in done if o.handle])
        if any(outcome.handle is None for outcome in done):
            self.refused += 1
        elif now() - arrived <= DUE_S:
            self.in_time += 1

    def pieces_per_s(self):
        """Return the pieces that the first stage made a second while it was full."""
        made = [len(batch) for _, batch in self.clerks.calls]
        return sum(made) / now()


def play(tells_fetched):
    async def main():
        burst = await Burst(tells_fetched).play()
        calls = [len(batch) for _, batch in burst.clerks.calls[40:-40]]
        return burst, sum(calls) / len(calls) / CLERKS.batch

    return run_instantly(main())


class TestBurst:
    # Guards against places in calls that stay empty for want of memory.
    def test_calls_of_the_narrow_stage_are_full(self):
        _, filled = play(tells_fetched=True)
        assert filled > 0.95

    def test_more_requests_are_in_time_than_with_inputs_kept_longer(self):
        kept, _ = play(tells_fetched=False)
        freed, _ = play(tells_fetched=True)
        assert freed.in_time > kept.in_time

    # Guards against refusals in a burst that the servers can make good in time.
    def test_none_need_be_refused(self):
        burst, _ = play(tells_fetched=True)
        assert burst.refused == 0
        assert burst.in_time >= 0.98 * int(SETS_PER_S * BURST_S)


class TestFreedInputs:
    async def run(self, trouble, after_s, count=2):
        """Run pieces whose first call ends in trouble after a time."""
        told = []

        async def behave(backend, batch):
            if len(service.calls) > 1:
                return None
            await asyncio.sleep(after_s)
            return [PieceOutcome(trouble=trouble)] * len(batch)

        service = Service(server("a"), behave=behave)
        given = pieces("r", count, inputs=("x@a",))
        outcomes = await service.queue.run(given, lambda: told.append(now()))
        return service, outcomes, told

    # Guards against a repeat that asks for inputs which are gone.
    async def test_pieces_without_inputs_are_not_run_again(self):
        service, outcomes, told = await self.run(PieceTrouble.FAILED, FETCHED_S * 1.5)
        assert len(told) == 1
        assert {o.trouble for o in outcomes} == {PieceTrouble.INPUT_GONE}
        assert len(service.calls) == 1

    async def test_pieces_that_fail_at_once_are_run_again(self):
        service, outcomes, told = await self.run(PieceTrouble.FAILED, 0.01)
        assert all(outcome.handle for outcome in outcomes)
        assert len(service.calls) == 2

    # Guards against inputs that are freed while a part of the set still needs them.
    async def test_all_of_a_set_must_have_been_fetched(self):
        service = Service(server("a"))
        told = []
        given = pieces("r", 9, inputs=("x@a",))
        running = asyncio.create_task(
            service.queue.run(given, lambda: told.append(len(service.calls)))
        )
        await running
        assert told in ([], [3])

    @pytest.mark.parametrize("inputs", [(), ("x@a",)])
    async def test_nothing_is_told_of_what_has_no_inputs(self, inputs):
        service = Service(server("a"), behave=None)
        told = []
        given = pieces("r", 1, inputs=inputs)
        service._limits = PieceLimits(1, 2, 4, 0.3, 0.0, 21e6, 4.0)
        await service.queue.run(given, lambda: told.append(True))
        assert told == ([True] if inputs else [])
