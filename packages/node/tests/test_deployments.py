"""Whether the configuration in force is known to be superseded."""

import asyncio

from eelgrass_node.process.deployments import ANNOUNCEMENT_TIMEOUT_S, DeploymentInForce
from eelgrass_node.version.deployment import CallerLimits, Deployment
from support.simulated_time import run_in_simulated_time


def deployments():
    def decode(raw):
        return Deployment(int(raw), {}, {}, {}, False, CallerLimits(1, 1.0))

    return DeploymentInForce("config", decode, lambda number: None)


class TestSuperseded:
    def test_it_is_until_the_newer_one_is_in_force(self):
        async def main():
            found = deployments()
            found.apply(b"42", "store")
            states = [found.superseded]
            found.on_number_announced(51)
            states.append(found.superseded)
            found.apply(b"51", "store")
            return [*states, found.superseded]

        assert run_in_simulated_time(main()) == [False, True, False]

    def test_a_node_that_is_behind_as_well_changes_nothing(self):
        """It told of a number in between, and the newest one was forgotten with it."""

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            found.on_number_announced(51)
            found.on_number_announced(44)
            found.apply(b"44", "node")
            return found.superseded

        assert run_in_simulated_time(main())

    def test_one_that_never_comes_is_not_awaited_for_ever(self):
        """A newer release may have accepted what this one cannot read.

        Others tell its number again and again; unknown routes are refused for good by
        what is known, in the end.
        """

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            for _ in range(int(ANNOUNCEMENT_TIMEOUT_S) + 2):
                found.on_number_announced(51)
                await asyncio.sleep(1.0)
            gone = found.superseded
            found.on_number_announced(52)
            return gone, found.superseded

        assert run_in_simulated_time(main()) == (False, True)

    def test_a_number_that_never_comes_does_not_hide_the_next_ones(self):
        """A faulty node told of it; the numbers of others are lower."""

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            found.on_number_announced(10**9)
            await asyncio.sleep(ANNOUNCEMENT_TIMEOUT_S + 1.0)
            found.on_number_announced(43)
            states = [found.superseded]
            found.on_number_announced(10**9)
            found.apply(b"43", "store")
            return [*states, found.superseded]

        assert run_in_simulated_time(main()) == [True, False]

    def test_one_that_never_comes_is_not_awaited_again_each_time_it_is_told(self):
        """Others tell its number each second for as long as they have it."""

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            states = []
            for _ in range(4 * int(ANNOUNCEMENT_TIMEOUT_S)):
                found.on_number_announced(51)
                states.append(found.superseded)
                await asyncio.sleep(1.0)
            return states[int(ANNOUNCEMENT_TIMEOUT_S) + 1 :]

        assert not any(run_in_simulated_time(main()))

    def test_two_that_never_come_are_not_awaited_in_turn(self):
        """Two nodes of a newer release have different ones, and both tell theirs."""

        async def main():
            found = deployments()
            found.apply(b"42", "store")
            states = []
            for second in range(6 * int(ANNOUNCEMENT_TIMEOUT_S)):
                found.on_number_announced(51 + second % 2)
                states.append(found.superseded)
                await asyncio.sleep(1.0)
            return states[2 * int(ANNOUNCEMENT_TIMEOUT_S) + 4 :]

        assert not any(run_in_simulated_time(main()))
