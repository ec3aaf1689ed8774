"""A node that the store does not answer gets a newer configuration from others."""

import asyncio

import pytest

from eelgrass_node.exceptions import PeerUnreachable
from eelgrass_node.process.peer_catch_up import PeerCatchUp
from support.members import member
from support.simulated_time import run_in_simulated_time

# Promised of a configuration that was confirmed.
IN_FORCE_S = 2.0
# How long a node that does not answer is waited for.
SILENT_S = 1.0


class Others:
    """Other nodes, some of which do not answer; ``number`` is what is in force here."""

    def __init__(self, silent=()):
        self.number = 1
        self.newest = 1
        self.asked = []
        self._silent = silent

    async def ask(self, address):
        self.asked.append(address)
        if address in self._silent:
            await asyncio.sleep(SILENT_S)
            raise PeerUnreachable(address, "silent")
        self.number = self.newest

    def catch_up(self):
        return PeerCatchUp(self.ask, lambda: self.number, lambda: True, lambda: [])


class TestHearing:
    async def hear_from(self, others, *names, gap_s=0.01, last_s=3.0):
        """Hear of version 2 from nodes in turn; return when it is in force."""
        others.newest = 2
        loop = asyncio.get_running_loop()
        catch_up = others.catch_up()
        for name in names:
            catch_up.on_number_announced(2, member(name), 0.0)
            await asyncio.sleep(gap_s)
        while others.number < 2 and loop.time() < last_s:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return loop.time()

    def test_one_that_told_of_it_is_asked(self):
        others = Others()
        assert run_in_simulated_time(self.hear_from(others, "a")) < 0.6
        assert others.asked == ["a:1"]

    @pytest.mark.parametrize("silent", ["a", "b", "c"])
    def test_a_silent_one_does_not_keep_the_others_from_being_asked(self, silent):
        """They told of it while the silent one was waited for, and not again.

        The wait for the store, for the silent node, and until somebody told of the
        version once more added up to more than is promised.
        """
        others = Others(silent={f"{silent}:1"})
        taken_at = run_in_simulated_time(self.hear_from(others, "a", "b", "c"))
        assert taken_at < IN_FORCE_S

    def test_nobody_is_asked_while_it_comes(self):
        """A second copy over the same link held up the first one."""
        others = Others()

        async def hear():
            others.newest = 2
            catch_up = PeerCatchUp(
                others.ask,
                lambda: others.number,
                lambda: True,
                lambda: [],
                lambda: others.number < 2,
            )
            catch_up.on_number_announced(2, member("a"), 0.0)
            await asyncio.sleep(0.9)
            others.number = 2
            await asyncio.sleep(2.0)

        run_in_simulated_time(hear())
        assert others.asked == []

    def test_one_that_does_not_come_to_its_end_is_asked_for(self):
        others = Others(silent={"b:1"})
        others.newest = 2
        loop_time = []

        async def hear():
            catch_up = PeerCatchUp(
                others.ask,
                lambda: others.number,
                lambda: True,
                lambda: [],
                lambda: True,
            )
            for name in ("a", "b"):
                catch_up.on_number_announced(2, member(name), 0.0)
            while others.number < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            loop_time.append(asyncio.get_running_loop().time())

        run_in_simulated_time(hear())
        assert loop_time[0] <= 2 * 0.5 + SILENT_S + 0.1

    def test_all_that_told_of_it_are_asked(self):
        others = Others(silent={"a:1", "b:1"})
        run_in_simulated_time(self.hear_from(others, "a", "b", "c", "b", "a"))
        assert sorted(others.asked) == ["a:1", "b:1", "c:1"]
        assert others.number == 2

    def test_nobody_is_asked_for_what_the_store_has_brought(self):
        others = Others()

        async def hear():
            others.newest = 2
            others.catch_up().on_number_announced(2, member("a"), 0.0)
            others.number = 2
            await asyncio.sleep(2.0)

        run_in_simulated_time(hear())
        assert others.asked == []
