"""A node that the store does not answer gets newer configurations from peers."""

import asyncio

import pytest

from eelgrass_node.exceptions import PeerUnreachable
from eelgrass_node.process.peer_catch_up import PeerCatchUp
from support.members import member
from support.simulated_time import run_in_simulated_time

# A confirmed configuration must be in force within this time.
IN_FORCE_S = 2.0
# How long it takes to give up a node that does not answer.
SILENT_S = 1.0


class Others:
    """Other nodes, some of them silent; ``number`` is the number in force here."""

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


class TestAnnouncements:
    async def announced_by(self, others, *names, gap_s=0.01, last_s=3.0):
        """Let nodes announce version 2 in turn; return when it is in force."""
        others.newest = 2
        loop = asyncio.get_running_loop()
        catch_up = others.catch_up()
        for name in names:
            catch_up.on_number_announced(2, member(name), 0.0)
            await asyncio.sleep(gap_s)
        while others.number < 2 and loop.time() < last_s:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return loop.time()

    def test_the_announcing_node_is_asked(self):
        others = Others()
        assert run_in_simulated_time(self.announced_by(others, "a")) < 0.6
        assert others.asked == ["a:1"]

    @pytest.mark.parametrize("silent", ["a", "b", "c"])
    def test_a_silent_node_does_not_delay_the_others(self, silent):
        """The others announced the version while the silent node was waited for.

        If only later announcements counted, the waits for the store, for the silent
        node and for the next announcement would exceed the deadline.
        """
        others = Others(silent={f"{silent}:1"})
        in_force_at = run_in_simulated_time(self.announced_by(others, "a", "b", "c"))
        assert in_force_at < IN_FORCE_S

    def test_no_node_is_asked_while_the_answer_arrives(self):
        """A second copy would slow down the first one on the same link."""
        others = Others()

        async def announce():
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

        run_in_simulated_time(announce())
        assert others.asked == []

    def test_nodes_are_asked_if_the_answer_does_not_complete(self):
        others = Others(silent={"b:1"})
        others.newest = 2
        loop_time = []

        async def announce():
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

        run_in_simulated_time(announce())
        assert loop_time[0] <= 2 * 0.5 + SILENT_S + 0.1

    def test_all_announcing_nodes_are_asked(self):
        others = Others(silent={"a:1", "b:1"})
        run_in_simulated_time(self.announced_by(others, "a", "b", "c", "b", "a"))
        assert sorted(others.asked) == ["a:1", "b:1", "c:1"]
        assert others.number == 2

    def test_no_node_is_asked_once_the_store_has_delivered(self):
        others = Others()

        async def announce():
            others.newest = 2
            others.catch_up().on_number_announced(2, member("a"), 0.0)
            others.number = 2
            await asyncio.sleep(2.0)

        run_in_simulated_time(announce())
        assert others.asked == []
